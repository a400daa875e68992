package callgroup_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/callgroup"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/retry"
)

// The load: the upstreams of a service reject more than half of their requests for some seconds,
// without running them. Runs of another service need two calls to it each, in parallel. Other
// callers send single requests to it. The retry budget covers a third of what is rejected. The simulation covers
// one daemon and its share of the budget.
const (
	runInterval      = 200 * time.Millisecond // mean time between runs
	singleInterval   = 700 * time.Millisecond // mean time between single requests
	outageStart      = 20 * time.Second
	outageEnd        = 28 * time.Second
	simulationEnd    = 40 * time.Second
	acceptedShare    = 0.45 // of the requests in the outage
	runTime          = 300 * time.Millisecond
	retryAfter       = time.Second // after which the caller of a refused run comes back
	budgetSpan       = 10 * time.Second
	budgetRatio      = 0.15
	budgetSlack      = 2
	daemonCount      = 300 // independent daemons to average over
	callsPerRun      = 2
	secondsOfOutage  = int((outageEnd - outageStart) / time.Second)
	noOrder          = way(0)
	repeatsLast      = way(1)
	groups           = way(2)
	groupsAndRefusal = way(3)
)

// way is a way to spend the budget.
type way int

// daemon simulates the retries at one entry.
type daemon struct {
	way     way
	rng     *rand.Rand
	window  *retry.WindowBudget
	reserve *retry.Reserve
	tracker callgroup.Tracker
	events  []event
	counts
}

// counts holds what happened to the runs and single requests that arrived in the outage.
type counts struct {
	runs, served       float64
	badRuns            float64 // runs whose work was useless, repeats included
	singles, singlesOK float64
	retries            float64
	runsBySecond       [secondsOfOutage]float64
	servedBySecond     [secondsOfOutage]float64
}

type event struct {
	at model.Instant
	do func(model.Instant)
}

func (d *daemon) schedule(at model.Instant, do func(model.Instant)) {
	i, _ := slices.BinarySearchFunc(d.events, at, func(e event, at model.Instant) int { return int(at - e.at) })
	d.events = slices.Insert(d.events, i, event{at, do})
}

func inOutage(at model.Instant) bool {
	return at >= model.Instant(outageStart) && at < model.Instant(outageEnd)
}

// accepts reports whether an upstream runs a request.
func (d *daemon) accepts(now model.Instant) bool {
	return !inOutage(now) || d.rng.Float64() < acceptedShare
}

// mayRetry charges a retry of a class.
func (d *daemon) mayRetry(now model.Instant, class retry.Class) bool {
	if d.way == noOrder || d.way == repeatsLast && class < retry.Repeating {
		class = retry.Completing
	}
	d.reserve.CountDemand(now, class, 1)
	if d.window.Remaining(now)-d.reserve.Kept(now, class) < 1 {
		return false
	}
	d.retries++
	return d.window.TryCharge(now, 1)
}

// single sends a request with no group. Its caller comes back once after a refusal.
func (d *daemon) single(now model.Instant, arrived model.Instant, callerRetries int) {
	d.window.CountRequest(now)
	served := d.accepts(now) || d.mayRetry(now, retry.Completing) && d.accepts(now)
	if !served && callerRetries > 0 {
		d.schedule(now.Add(runTime/3), func(now model.Instant) { d.single(now, arrived, callerRetries-1) })
		return
	}
	if inOutage(arrived) {
		d.singles++
		if served {
			d.singlesOK++
		}
	}
}

// call sends the calls of a run and reports whether all were served.
func (d *daemon) call(now model.Instant, repeat bool) bool {
	var rejected []*callgroup.Group
	for range callsPerRun {
		if !repeat {
			d.window.CountRequest(now)
		}
		g := d.tracker.Join(now, "call")
		if !d.accepts(now) {
			g.Reject()
			rejected = append(rejected, g)
		}
	}
	served := true
	for _, g := range rejected {
		class := []retry.Class{retry.Completing, retry.Partial, retry.Hopeless}[g.Prospect()]
		retried := d.mayRetry(now, class)
		if retried {
			g.Resume()
		}
		if !retried || !d.accepts(now) {
			g.Fail()
			served = false
		}
	}
	return served
}

// run runs a request with calls. A failed run is repeated once by the daemon if the budget allows it,
// then once by the caller.
func (d *daemon) run(now, arrived model.Instant, repeat bool, callerRetries int) {
	if d.way == groupsAndRefusal && inOutage(now) && !repeat && d.rng.IntN(2) == 0 {
		if callerRetries == 0 {
			d.finishRun(arrived, false)
			return
		}
		d.schedule(now.Add(retryAfter), func(now model.Instant) { d.run(now, arrived, false, callerRetries-1) })
		return
	}
	served := d.call(now, repeat)
	if !served {
		d.badRuns++
	}
	d.schedule(now.Add(runTime), func(now model.Instant) {
		switch {
		case served:
			d.finishRun(arrived, true)
		case !repeat && d.mayRetry(now, retry.Repeating):
			d.run(now, arrived, true, callerRetries)
		case callerRetries > 0:
			d.run(now, arrived, false, callerRetries-1)
		default:
			d.finishRun(arrived, false)
		}
	})
}

func (d *daemon) finishRun(arrived model.Instant, served bool) {
	if !inOutage(arrived) {
		return
	}
	second := int(arrived.Sub(model.Instant(outageStart)) / time.Second)
	d.runs++
	d.runsBySecond[second]++
	if served {
		d.served++
		d.servedBySecond[second]++
	}
}

// arrive schedules requests at random times.
func (d *daemon) arrive(interval time.Duration, do func(model.Instant)) {
	for at := time.Duration(0); at < simulationEnd; at += time.Duration(d.rng.ExpFloat64() * float64(interval)) {
		d.schedule(model.Instant(at), do)
	}
}

// simulate returns the counts of all daemons together.
func simulate(w way) counts {
	var total counts
	for i := range daemonCount {
		d := &daemon{
			way: w, rng: rand.New(rand.NewPCG(uint64(i), 0)),
			window: retry.NewWindowBudget(budgetSpan, budgetRatio, budgetSlack), reserve: retry.NewReserve(budgetSpan),
		}
		d.arrive(runInterval, func(now model.Instant) { d.run(now, now, false, 1) })
		d.arrive(singleInterval, func(now model.Instant) { d.single(now, now, 1) })
		for len(d.events) > 0 {
			last := len(d.events) - 1
			next := d.events[last]
			d.events = d.events[:last]
			next.do(next.at)
		}
		total.add(&d.counts)
	}
	return total
}

func (c *counts) add(o *counts) {
	c.runs, c.served, c.badRuns, c.retries = c.runs+o.runs, c.served+o.served, c.badRuns+o.badRuns, c.retries+o.retries
	c.singles, c.singlesOK = c.singles+o.singles, c.singlesOK+o.singlesOK
	for i := range c.runsBySecond {
		c.runsBySecond[i] += o.runsBySecond[i]
		c.servedBySecond[i] += o.servedBySecond[i]
	}
}

func (c *counts) worstSecond() float64 {
	worst := 1.0
	for i := range c.runsBySecond {
		worst = min(worst, c.servedBySecond[i]/c.runsBySecond[i])
	}
	return worst
}

// TestCalledServiceRejectsHalfWhileRunsNeedTwoCalls compares ways to spend a scarce budget. One of them
// also refuses every second run before it starts.
func TestCalledServiceRejectsHalfWhileRunsNeedTwoCalls(t *testing.T) {
	results := make(map[way]counts)
	for _, w := range []way{noOrder, repeatsLast, groups, groupsAndRefusal} {
		c := simulate(w)
		results[w] = c
		t.Logf("way %d: runs served %.3f, in the worst second %.3f, single requests served %.3f, useless runs a served run %.2f, retries %.0f",
			w, c.served/c.runs, c.worstSecond(), c.singlesOK/c.singles, c.badRuns/c.served, c.retries)
	}
	standing, kept, refusing := results[noOrder], results[groups], results[groupsAndRefusal]
	require.Greater(t, kept.served/kept.runs, standing.served/standing.runs+0.03)
	require.Greater(t, kept.worstSecond(), standing.worstSecond()+0.05)
	require.Greater(t, kept.singlesOK/kept.singles, standing.singlesOK/standing.singles)
	require.Less(t, kept.badRuns, standing.badRuns)
	require.Less(t, refusing.served/refusing.runs, standing.served/standing.runs, "refusing runs serves fewer callers")
}
