package sidecar

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/placement"
)

// finish puts the load and the version on an answer. The load is left out where the
// caller meant another upstream.
func (g *guard) finish(a *Answer) *Answer {
	out := *a
	out.Version = g.version()
	if a.Outcome.Reason == outcome.ReasonNoUpstream {
		return &out
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.load()
	out.Load = &l
	out.CallsPerRun = g.callsPerRun()
	return &out
}

// snapshot returns the load of the upstream.
func (g *guard) snapshot() placement.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load()
}

const (
	// slowTrusted is how long the slowness that an upstream told is taken as it is,
	// and slowHalf the time in which it loses half of its meaning after that. Where
	// it has every call refused, no answer would ever tell another one.
	slowdownMaxAge   = time.Second
	slowdownHalfLife = 500 * time.Millisecond
)

// slowNow returns how long work takes, 1 being as usual. g.mu is held.
func (g *guard) currentSlowdown() float64 {
	old := g.now().Sub(g.slowdownAt) - slowdownMaxAge
	if old <= 0 {
		return g.slowdown
	}
	return 1 + (g.slowdown-1)*math.Exp2(-float64(old)/float64(slowdownHalfLife))
}

// load returns the load of the upstream. g.mu is held.
func (g *guard) load() placement.Load {
	l := placement.Load{
		Running: g.queue.Running(), Waiting: g.queue.Waiting(), Limit: g.queue.Limit(),
		Slow: g.currentSlowdown(), SlowAge: g.now().Sub(g.slowdownAt), Failing: g.failures.Share(g.now()),
	}
	switch {
	case g.slowdownReported:
	case g.doesNotReportLoad():
		// Its slowness is part of the time that requests are known to take.
		l.Slow, l.SlowAge = 1, 0
	default:
		l.Slow = 0
	}
	return l
}
