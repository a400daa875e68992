package replay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// fakeUpstream is slots, a service-time source and its faults.
type fakeUpstream struct {
	spec        *Service
	realSlots   int
	running     int
	connections int
	faults      faultState
	crashed     bool
	// history holds what ran since the report lag ago, oldest first.
	history []runningSample
}

// runningSample is the number of requests running from an instant on.
type runningSample struct {
	at      model.Instant
	running int
}

// faultState holds the faults that bear on service times and reports.
type faultState struct {
	straggle  float64
	cold      float64
	coldFrom  model.Instant
	coldUntil model.Instant
	failFast  bool
	misreport float64
}

// rejectTime is how long a failing upstream takes to reject a request.
const rejectTime = 50 * time.Microsecond

func newFakeUpstream(u Upstream, spec *Service) fakeUpstream {
	real := u.RealSlots
	if real == 0 {
		real = u.Slots
	}
	return fakeUpstream{spec: spec, realSlots: real, faults: faultState{straggle: 1, misreport: 1}}
}

// run starts a request and tells how long it takes and how it ends.
func (f *fakeUpstream) run(now model.Instant, a *attempt) (time.Duration, outcome.Outcome, bool) {
	f.adjustRunning(now, 1)
	switch {
	case f.crashed:
		return rejectTime, outcome.NotRunBecause(outcome.ReasonConnect), true
	case f.faults.failFast:
		return rejectTime, outcome.NotRunBecause(outcome.ReasonUpstreamRefused), true
	}
	took := time.Duration(a.req.event.CostUs) * time.Microsecond
	crowd := max(1, float64(f.running)/float64(f.realSlots))
	took = time.Duration(float64(took) * crowd * f.faults.slowdown(now))
	return took + f.connectionDelay(), outcome.Done(), false
}

func (f *fakeUpstream) release(now model.Instant) { f.adjustRunning(now, -1) }

// adjustRunning counts a request that starts or ends.
func (f *fakeUpstream) adjustRunning(now model.Instant, n int) {
	f.running += n
	f.history = append(f.history, runningSample{now, f.running})
	f.trimHistory(now)
}

// trimHistory drops what is older than the report lag, but for the newest of it.
func (f *fakeUpstream) trimHistory(now model.Instant) {
	then := now.Add(-time.Duration(f.spec.ReportLag))
	old := 0
	for old+1 < len(f.history) && f.history[old+1].at <= then {
		old++
	}
	if old > len(f.history)/2 {
		f.history = append(f.history[:0], f.history[old:]...)
	}
}

// reportedRunning is what the upstream says it runs: late, and times the lie.
func (f *fakeUpstream) reportedRunning(now model.Instant) int {
	then := now.Add(-time.Duration(f.spec.ReportLag))
	said := 0
	for _, m := range f.history {
		if m.at > then {
			break
		}
		said = m.running
	}
	return int(math.Round(float64(said) * f.faults.misreport))
}

// connectionDelay returns the cost of a new connection when none is idle.
func (f *fakeUpstream) connectionDelay() time.Duration {
	if f.running <= f.connections || f.connections >= f.spec.Connections {
		return 0
	}
	f.connections++
	return time.Duration(f.spec.ConnectionCost)
}

// slowdown is the factor on service times now.
func (s *faultState) slowdown(now model.Instant) float64 {
	factor := s.straggle
	if now < s.coldUntil {
		left := float64(s.coldUntil.Sub(now)) / float64(s.coldUntil.Sub(s.coldFrom))
		factor *= 1 + (s.cold-1)*left
	}
	return factor
}

// attemptsByID returns the guard's calls by id, so that the order does not depend
// on the map.
func (g *guard) attemptsByID() []*attempt {
	attempts := make([]*attempt, 0, len(g.attempts))
	for _, a := range g.attempts {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(x, y *attempt) int { return cmp.Compare(x.id, y.id) })
	return attempts
}
