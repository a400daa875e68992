package sidecar

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/core/limit"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/decision"
)

// foundLimit is at how many concurrent runs upstreams of the own service get most done, as
// a guard has found out. The zero value is none.
type foundLimit struct {
	Limit int `json:"l"`
	// Slots are those of the upstream it was found at.
	Slots int `json:"s"`
	// At is when, in Unix milliseconds. The newest counts.
	At int64 `json:"at"`
}

// setSlots takes in how many slots the upstream has. g.mu is held.
func (g *guard) setSlots(n int) {
	if g.learner != nil && n == g.learner.Slots() {
		return
	}
	g.learner = limit.NewLearner(n, placement.LimitOf(n), g.mayTry)
	g.queue.SetLimit(g.learner.InUse())
	g.adopt()
}

// forgetRuns has the learner begin anew with an upstream that has just started, under the
// limit that was found. g.mu is held.
func (g *guard) forgetRuns(cold time.Duration) {
	g.warmAt = g.now().Add(cold)
	if g.learner != nil {
		g.learner.Reset()
	}
}

// limitNow has the queue let as many run as is best, or as are being tried. g.mu is held.
func (g *guard) limitNow(now model.Instant) {
	if g.learner == nil {
		return
	}
	before := g.learner.InUse()
	n := g.learner.Limit(now, g.queue.Waiting() > 0 && now >= g.warmAt)
	g.queue.SetLimit(n)
	found := g.learner.InUse()
	if found == before {
		return
	}
	// A clock that was set back must not hide what is found after that.
	g.found = foundLimit{Limit: found, Slots: g.learner.Slots(), At: max(time.Now().UnixMilli(), g.found.At+1)}
	g.opts.Decisions.Write(decision.LimitFound, "", slog.Int("limit", found), slog.Int("before", before), slog.Int("slots", g.found.Slots), slog.String("from", "runs"))
	go g.tellFound(g.found)
}

// hearFound takes in what another guard of the service has found.
func (g *guard) hearFound(f foundLimit, from string) {
	g.take(f, from)
	g.pump()
}

func (g *guard) take(f foundLimit, from string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.At <= g.found.At || f.Limit < 1 || f.Limit > f.Slots {
		return
	}
	g.found = f
	before := 0
	if g.learner != nil {
		before = g.learner.InUse()
	}
	if g.adopt() && before != f.Limit {
		g.opts.Decisions.Write(decision.LimitFound, "", slog.Int("limit", f.Limit), slog.Int("before", before), slog.Int("slots", f.Slots), slog.String("from", from))
	}
}

// newestFound returns the newest limit that is known.
func (g *guard) newestFound() foundLimit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.found
}

// adopt has the learner go on from the limit that was found, and reports whether it is for
// as many slots. g.mu is held.
func (g *guard) adopt() bool {
	if g.learner == nil || g.found.Slots != g.learner.Slots() {
		return false
	}
	g.learner.Adopt(g.found.Limit)
	g.queue.SetLimit(g.learner.InUse())
	return true
}

// beginRun takes in that the upstream is sent a call. g.mu is held.
func (g *guard) beginRun(now model.Instant) limit.Run {
	if g.learner == nil {
		return limit.Run{}
	}
	if g.told {
		g.learner.Slow(now, g.slowNow())
	}
	return g.learner.Begin(now)
}

// endRun takes in that a call has come back.
func (g *guard) endRun(r limit.Run, c *Call, a *Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.learner == nil {
		return
	}
	now := g.now()
	if g.told {
		g.learner.Slow(now, g.slowNow())
	}
	served := a.Outcome.Kind == outcome.Answered && a.Status < http.StatusInternalServerError
	g.learner.End(now, r, c.Work, served && now >= g.warmAt)
}
