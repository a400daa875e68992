package sidecar

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/slots"
)

// setStop sets when the callers of the stopping daemon have had time to leave, and when the daemon
// ends at the latest. From now on the guard rejects calls that might still be running at the
// deadline.
func (g *guard) setStop(callersLeft, deadline model.Instant) {
	g.mu.Lock()
	g.callersLeft, g.stopDeadline = callersLeft, deadline
	g.mu.Unlock()
}

// maxDurationFactor is the longest duration assumed for a request, as a multiple of its expected
// duration. A stopping daemon does not start a request that it might have to abort.
const maxDurationFactor = 3

// endsBeforeStop reports whether a call that starts now will end before the daemon does, even if it
// takes the longest duration that is assumed (see maxDurationFactor).
func (g *guard) endsBeforeStop(serviceTime, timeLeft time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.spareTime(serviceTime, timeLeft) >= 0
}

// spareTime returns the time between the latest possible end of a request and the end of the
// daemon. It is negative if the request might have to be aborted. timeLeft is the time until the
// request times out; spareTime returns it if the daemon is not stopping. A request that arrives
// after the callers have had time to leave is assumed to run until it times out: an upstream may
// take far longer than maxDurationFactor allows, and a late request must not be aborted. g.mu is
// held.
func (g *guard) spareTime(serviceTime, timeLeft time.Duration) time.Duration {
	if g.stopDeadline == 0 {
		return timeLeft
	}
	now, maxDuration := g.now(), timeLeft
	if now < g.callersLeft {
		maxDuration = min(timeLeft, time.Duration(maxDurationFactor*g.currentSlowdown()*float64(serviceTime)))
	}
	return g.stopDeadline.Sub(now) - maxDuration
}

// refuseIfTooLong returns a refusal for a request that might still be running when the daemon
// ends. The Retry-After value is the time until a new daemon has presumably replaced this one.
// For any other request, refuseIfTooLong returns nil.
func (g *guard) refuseIfTooLong(serviceTime, timeLeft time.Duration) *Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.spareTime(serviceTime, timeLeft) >= 0 {
		return nil
	}
	return refusalResult(outcome.ReasonDraining, max(g.stopDeadline.Sub(g.now()), 0)+noUpstreamRetryAfter)
}

// isRunning reports whether the upstream is running calls.
func (g *guard) isRunning() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Running() > 0
}

// stopAdmitting rejects the waiting calls, and lets no further call start.
func (g *guard) stopAdmitting() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.dispatch()
}

// stopIfIdle closes the guard and returns true if no call is waiting or running. Otherwise it
// returns false.
func (g *guard) stopIfIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	idle := g.queue.Running() == 0 && g.queue.Waiting() == 0
	g.closed = g.closed || idle
	return idle
}

// rejectAllWaiting rejects every waiting call as if its queue timeout had expired. After such a
// rejection, the entry picks another upstream. g.mu is held.
func (g *guard) rejectAllWaiting() {
	for id := range g.waiters {
		g.rejectWaiting(id, slots.QueueTimeoutExpired)
	}
}

// rejectWaiting removes a call from the queue for the given reason. g.mu is held.
func (g *guard) rejectWaiting(id uint64, reason slots.DequeueReason) {
	if g.queue.Remove(id) {
		g.waiters[id].dequeueReason <- reason
		delete(g.waiters, id)
	}
}

// rejectRevoked rejects the waiting calls that must not run under their accounts any more. It is
// called when a configuration has come into force.
func (g *guard) rejectRevoked() {
	g.mu.Lock()
	for id, w := range g.waiters {
		if g.keyRejection(w.call) != outcome.ReasonNone {
			g.rejectWaiting(id, slots.Revoked)
		}
	}
	g.mu.Unlock()
	g.dispatch()
}
