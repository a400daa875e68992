package sidecar

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/slots"
)

// endBy has calls refused that may not end in time.
func (g *guard) endBy(until model.Instant) {
	g.mu.Lock()
	g.stopDeadline = until
	g.mu.Unlock()
}

// stopFactor is how many times longer than usual a request may run. A daemon that stops
// does not begin one that it might have to cut.
const maxDurationFactor = 3

// fits reports whether a call surely ends before the daemon does. g.mu is held.
func (g *guard) endsBeforeStop(c *Call) bool { return g.spareTime(c.ServiceTime, c.Deadline) >= 0 }

// left returns how much time would be left after a request, negative where it may have to
// be cut. g.mu is held.
func (g *guard) spareTime(work, deadline time.Duration) time.Duration {
	if g.stopDeadline == 0 {
		return deadline
	}
	most := min(deadline, time.Duration(maxDurationFactor*g.currentSlowdown()*float64(work)))
	return g.stopDeadline.Sub(g.now()) - most
}

// refuseLate refuses a request that may not end before the daemon does, and tells when
// the next one will be there.
func (g *guard) rejectIfTooLong(work, deadline time.Duration) *Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.spareTime(work, deadline) >= 0 {
		return nil
	}
	return refuse(outcome.ReasonDraining, max(g.stopDeadline.Sub(g.now()), 0)+noUpstreamRetryAfter)
}

// stop lets no further call start, and hands back those that wait.
func (g *guard) stop() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.dispatch()
}

// stopIdle lets no further call start if none waits or runs, and reports whether that is so.
func (g *guard) stopIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	idle := g.queue.Running() == 0 && g.queue.Waiting() == 0
	g.closed = g.closed || idle
	return idle
}

// giveAllBack hands back every call that waits. g.mu is held.
func (g *guard) rejectAllWaiting() {
	for id, exits := range g.waiters {
		if g.queue.Remove(id) {
			exits <- slots.Returned
			delete(g.waiters, id)
		}
	}
}
