package sidecar

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/slots"
)

// endBy has calls refused that may not end in time.
func (g *guard) endBy(until model.Instant) {
	g.mu.Lock()
	g.until = until
	g.mu.Unlock()
}

// stopFactor is how many times longer than usual a call may run. A daemon that stops
// does not start one that it might have to cut.
const stopFactor = 6

// fits reports whether a call surely ends before the daemon does. g.mu is held.
func (g *guard) fits(c *Call) bool {
	most := min(c.Deadline, time.Duration(stopFactor*g.slowNow()*float64(c.Work)))
	return g.until == 0 || g.now().Add(most) <= g.until
}

// stop lets no further call start, and hands back those that wait.
func (g *guard) stop() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.pump()
}

// idle reports whether nothing waits or runs.
func (g *guard) idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Running() == 0 && g.queue.Waiting() == 0
}

// giveAllBack hands back every call that waits. g.mu is held.
func (g *guard) giveAllBack() {
	for id, exits := range g.waiting {
		if g.queue.Remove(id) {
			exits <- slots.Returned
			delete(g.waiting, id)
		}
	}
}
