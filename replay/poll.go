package replay

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/measure"
)

const (
	// pollBytes is the size of a poll's request and response together.
	pollBytes = 400
	// pollReserveFactor is the slot time that is reserved before a poll starts, as a
	// multiple of Service.ReportCost.
	pollReserveFactor = 4
)

// poll requests a load report from the upstream if the measuring budget allows it. Then
// it schedules the next poll. Polling stops at the end of the trace.
func (g *guard) poll() {
	s := g.sim
	if s.now > s.lastEventAt {
		return
	}
	cost := time.Duration(g.spec.ReportCost)
	r, ok := g.monitor.BeginPoll(s.now, measure.Cost{SlotTime: pollReserveFactor * cost, Connections: 1, Bytes: pollBytes})
	if !ok {
		s.schedule(g.monitor.NextPoll().Sub(s.now), g.poll)
		return
	}
	g.simulatedUpstream.adjustRunning(s.now, 1)
	s.schedule(cost, func() {
		g.simulatedUpstream.adjustRunning(s.now, -1)
		g.finishPoll(&r, measure.Cost{SlotTime: cost, Connections: g.openPollConnections(), Bytes: pollBytes})
		s.schedule(g.monitor.NextPoll().Sub(s.now), g.poll)
	})
}

// finishPoll passes the result of a poll to the monitor. The poll has failed if the
// upstream is down after a crash or the daemon is paused.
func (g *guard) finishPoll(r *measure.Reservation, cost measure.Cost) {
	now := g.sim.now
	if g.simulatedUpstream.crashed || g.pausedUntil > now {
		g.monitor.PollFailed(now, r, cost)
		return
	}
	report := measure.Report{Running: g.simulatedUpstream.reportedRunning(now)}
	g.monitor.PollSucceeded(now, r, cost, report, g.limiter.Slowed())
}

// openPollConnections counts a poll and returns the number of connections that it
// opens. The first poll opens one connection, which later polls reuse.
func (g *guard) openPollConnections() int {
	if g.pollCount++; g.pollCount == 1 {
		return 1
	}
	return 0
}
