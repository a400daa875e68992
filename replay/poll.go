package replay

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/measure"
)

const (
	// pollBytes is the size of a poll's request and response together.
	pollBytes = 400
	// pollReserveFactor is the slot time that is reserved for a poll, as a
	// multiple of the report cost.
	pollReserveFactor = 4
)

// poll requests the upstream's load report if the measuring budget allows it, and
// then schedules the next poll. Polling ends with the trace.
func (g *guard) poll() {
	s := g.sim
	if s.now > s.end {
		return
	}
	cost := time.Duration(g.spec.ReportCost)
	r, ok := g.monitor.BeginPoll(s.now, measure.Cost{SlotTime: pollReserveFactor * cost, Connections: 1, Bytes: pollBytes})
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

// finishPoll passes the result of a poll to the monitor.
func (g *guard) finishPoll(r *measure.Reservation, cost measure.Cost) {
	now := g.sim.now
	if g.fake.crashed || g.pausedUntil > now {
		g.monitor.PollFailed(now, r, cost)
		return
	}
	report := measure.Report{Running: g.fake.reportedRunning(now)}
	g.monitor.PollSucceeded(now, r, cost, report, g.limiter.Slowed())
}

// openPollConnections returns the number of connections that this poll opens:
// one for the first poll, none for later polls, which reuse it.
func (g *guard) openPollConnections() int {
	if g.pollCount++; g.pollCount == 1 {
		return 1
	}
	return 0
}
