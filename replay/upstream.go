package replay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// fakeUpstream simulates an upstream. It computes the duration of each request from
// the request's cost, the number of running requests and the current faults.
type fakeUpstream struct {
	spec *Service
	// realSlots is the number of requests that run without slowing each other
	// down.
	realSlots       int
	runningCount    int // requests and load reports being executed
	connectionCount int // open connections; Crash closes all of them
	faults          faultState
	crashed         bool
	// runningHistory holds the numbers of running requests over at least the past
	// ReportLag, oldest first. Load reports are computed from it.
	runningHistory []runningSample
}

// runningSample is the number of running requests from the instant at until the
// instant of the next sample.
type runningSample struct {
	at           model.Instant
	runningCount int
}

// faultState holds the current faults that affect service times, failures and
// load reports.
type faultState struct {
	// straggleFactor is the factor of Straggle on service times. Without the fault
	// it is 1.
	straggleFactor float64
	// coldFactor is the factor of ColdStart on service times at the instant coldFrom.
	// From then on the factor on service times decreases linearly. It reaches 1 at
	// the instant coldUntil.
	coldFactor float64
	coldFrom   model.Instant
	coldUntil  model.Instant
	failFast   bool
	// reportedLoadFactor is the factor of Misreport on reported loads. Without the
	// fault it is 1.
	reportedLoadFactor float64
}

// failureTime is the time that an upstream takes to fail a request during Crash or
// FailFast.
const failureTime = 50 * time.Microsecond

func newFakeUpstream(u Upstream, spec *Service) fakeUpstream {
	realSlots := u.RealSlots
	if realSlots == 0 {
		realSlots = u.Slots
	}
	return fakeUpstream{spec: spec, realSlots: realSlots, faults: faultState{straggleFactor: 1, reportedLoadFactor: 1}}
}

// run starts an attempt. It returns the duration and the outcome of the
// execution, and whether the outcome counts as a failure of the upstream. The
// duration includes the time to open a connection if one is needed.
func (f *fakeUpstream) run(now model.Instant, a *attempt) (time.Duration, outcome.Outcome, bool) {
	f.adjustRunning(now, 1)
	switch {
	case f.crashed:
		return failureTime, outcome.NotRunBecause(outcome.ReasonConnect), true
	case f.faults.failFast:
		return failureTime, outcome.NotRunBecause(outcome.ReasonUpstreamRefused), true
	}
	took := time.Duration(a.req.event.CostUs) * time.Microsecond
	overload := max(1, float64(f.runningCount)/float64(f.realSlots))
	took = time.Duration(float64(took) * overload * f.faults.slowdown(now))
	return took + f.openConnection(), outcome.ResponseComplete(), false
}

func (f *fakeUpstream) release(now model.Instant) { f.adjustRunning(now, -1) }

// adjustRunning adds delta to the number of running requests and records it in
// the history.
func (f *fakeUpstream) adjustRunning(now model.Instant, delta int) {
	f.runningCount += delta
	f.runningHistory = append(f.runningHistory, runningSample{now, f.runningCount})
	f.trimHistory(now)
}

// trimHistory drops samples that load reports no longer need. A sample is no longer
// needed if the next sample is at least ReportLag old. To save copying, trimHistory
// does nothing until such samples are more than half of the history.
func (f *fakeUpstream) trimHistory(now model.Instant) {
	reportedAt := now.Add(-time.Duration(f.spec.ReportLag))
	dropCount := 0
	for dropCount+1 < len(f.runningHistory) && f.runningHistory[dropCount+1].at <= reportedAt {
		dropCount++
	}
	if dropCount > len(f.runningHistory)/2 {
		f.runningHistory = append(f.runningHistory[:0], f.runningHistory[dropCount:]...)
	}
}

// reportedRunning returns the number of running requests that a load report
// contains. It is the number that were running ReportLag ago, multiplied by the factor
// of Misreport.
func (f *fakeUpstream) reportedRunning(now model.Instant) int {
	reportedAt := now.Add(-time.Duration(f.spec.ReportLag))
	running := 0
	for _, sample := range f.runningHistory {
		if sample.at > reportedAt {
			break
		}
		running = sample.runningCount
	}
	return int(math.Round(float64(running) * f.faults.reportedLoadFactor))
}

// openConnection opens a connection if none is idle and fewer than Service.Connections are
// open. It returns the time that opening takes, or 0 if no connection is opened.
func (f *fakeUpstream) openConnection() time.Duration {
	if f.runningCount <= f.connectionCount || f.connectionCount >= f.spec.Connections {
		return 0
	}
	f.connectionCount++
	return time.Duration(f.spec.ConnectionCost)
}

// slowdown returns the factor by which the faults multiply service times now.
func (s *faultState) slowdown(now model.Instant) float64 {
	factor := s.straggleFactor
	if now < s.coldUntil {
		remaining := float64(s.coldUntil.Sub(now)) / float64(s.coldUntil.Sub(s.coldFrom))
		factor *= 1 + (s.coldFactor-1)*remaining
	}
	return factor
}

// sortedAttempts returns the guard's attempts sorted by id, so that results do not
// depend on the iteration order of the map.
func (g *guard) sortedAttempts() []*attempt {
	attempts := make([]*attempt, 0, len(g.attemptsByID))
	for _, a := range g.attemptsByID {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(x, y *attempt) int { return cmp.Compare(x.id, y.id) })
	return attempts
}
