package sidecar

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/placement"
)

// withLoad returns a copy of the result with the load of the upstream, the calls per run and the
// version of the configuration. If the call was meant for another upstream, only the version is
// set.
func (g *guard) withLoad(result *Result) *Result {
	resultCopy := *result
	resultCopy.Version = g.configVersion()
	if result.Outcome.Reason == outcome.ReasonNoUpstream {
		return &resultCopy
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.load()
	resultCopy.Load = &l
	resultCopy.CallsPerRun = g.callsPerRun()
	return &resultCopy
}

func (g *guard) currentLoad() placement.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load()
}

const (
	// slowdownMaxAge is how long a slowdown that the upstream reported is used unchanged.
	slowdownMaxAge = time.Second
	// slowdownHalfLife is the time in which a slowdown that is older than slowdownMaxAge moves
	// halfway to 1. Without this decay, a slowdown that causes every call to be rejected would
	// never be corrected, because no response would report a new one.
	slowdownHalfLife = 500 * time.Millisecond
)

// currentSlowdown returns the slowdown of the upstream, that is its service time divided by its
// usual service time. This is the latest reported value, which decays towards 1 once it is older
// than slowdownMaxAge. g.mu is held.
func (g *guard) currentSlowdown() float64 {
	pastMaxAge := g.now().Sub(g.slowdownAt) - slowdownMaxAge
	if pastMaxAge <= 0 {
		return g.slowdown
	}
	return 1 + (g.slowdown-1)*math.Exp2(-float64(pastMaxAge)/float64(slowdownHalfLife))
}

// load returns the load of the upstream. g.mu is held.
func (g *guard) load() placement.Load {
	l := placement.Load{
		Running: g.queue.Running(), Waiting: g.queue.Waiting(), Limit: g.queue.Limit(),
		Slowdown: g.currentSlowdown(), SlowdownAge: g.now().Sub(g.slowdownAt), FailureRate: g.failures.At(g.now()),
		StartDelay: g.queue.StartDelay(g.now(), g.queue.Waiting()),
	}
	switch {
	case g.slowdownReported:
	case g.loadUnreported():
		// The measured service times include the slowdown of an upstream that does not report it.
		l.Slowdown, l.SlowdownAge = 1, 0
	default:
		// Zero marks the slowdown as unknown.
		l.Slowdown = 0
	}
	return l
}

// accountsWaiting returns the number of client accounts that have calls in the queue.
func (g *guard) accountsWaiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.AccountsWaiting()
}

// guaranteedStarts returns how many calls started before calls of lower ranks because their accounts
// were owed the start.
func (g *guard) guaranteedStarts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.GuaranteedStarts()
}
