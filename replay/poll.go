package replay

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/measure"
)

const (
	// pollBytes is the size of a poll and its report.
	pollBytes = 400
	// pollPatience bounds a poll, in report costs.
	pollPatience = 4
)

// poll asks the upstream for its load when the monitor says so, until the
// trace ends.
func (g *guard) poll() {
	s := g.sim
	if s.now > s.end {
		return
	}
	cost := time.Duration(g.spec.ReportCost)
	r, ok := g.monitor.BeginPoll(s.now, measure.Cost{SlotTime: pollPatience * cost, Connections: 1, Bytes: pollBytes})
	if !ok {
		s.after(g.monitor.NextPoll().Sub(s.now), g.poll)
		return
	}
	g.fake.change(s.now, 1)
	s.after(cost, func() {
		g.fake.change(s.now, -1)
		g.polled(&r, measure.Cost{SlotTime: cost, Connections: g.pollConnection(), Bytes: pollBytes})
		s.after(g.monitor.NextPoll().Sub(s.now), g.poll)
	})
}

func (g *guard) polled(r *measure.Reservation, cost measure.Cost) {
	now := g.sim.now
	if g.fake.crashed || g.pausedUntil > now {
		g.monitor.PollFailed(now, r, cost)
		return
	}
	report := measure.Report{Running: g.fake.report(now)}
	g.monitor.PollSucceeded(now, r, cost, report, g.limiter.Slowed())
}

// pollConnection returns the connections that this poll opened: one at first.
func (g *guard) pollConnection() int {
	if g.polls++; g.polls == 1 {
		return 1
	}
	return 0
}
