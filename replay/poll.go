package replay

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/measure"
)

const (
	// pollBytes is the size of a poll and its report.
	pollBytes = 400
	// pollTimeoutFactor bounds a poll, in report costs.
	pollTimeoutFactor = 4
)

// poll asks the upstream for its load when the monitor says so, until the
// trace ends.
func (g *guard) poll() {
	s := g.sim
	if s.now > s.end {
		return
	}
	cost := time.Duration(g.spec.ReportCost)
	r, ok := g.monitor.BeginPoll(s.now, measure.Cost{SlotTime: pollTimeoutFactor * cost, Connections: 1, Bytes: pollBytes})
	if !ok {
		s.schedule(g.monitor.NextPoll().Sub(s.now), g.poll)
		return
	}
	g.fake.adjustRunning(s.now, 1)
	s.schedule(cost, func() {
		g.fake.adjustRunning(s.now, -1)
		g.finishPoll(&r, measure.Cost{SlotTime: cost, Connections: g.openPollConnections(), Bytes: pollBytes})
		s.schedule(g.monitor.NextPoll().Sub(s.now), g.poll)
	})
}

func (g *guard) finishPoll(r *measure.Reservation, cost measure.Cost) {
	now := g.sim.now
	if g.fake.crashed || g.pausedUntil > now {
		g.monitor.PollFailed(now, r, cost)
		return
	}
	report := measure.Report{Running: g.fake.reportedRunning(now)}
	g.monitor.PollSucceeded(now, r, cost, report, g.limiter.Slowed())
}

// openPollConnections returns the connections that this poll opened: one at first.
func (g *guard) openPollConnections() int {
	if g.pollCount++; g.pollCount == 1 {
		return 1
	}
	return 0
}
