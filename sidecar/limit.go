package sidecar

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/core/slots"
	"github.com/dottereltiller/dottereltiller/decision"
)

// measuredRun is a run by whose length the limit is judged.
type measuredRun struct {
	slots.Run
	limiter *slots.Limiter
	slow    float64
}

// setSlots takes in how many slots the upstream has. What is known of an upstream
// with as many is kept: its next incarnation runs the same software. g.mu is held.
func (g *guard) setSlots(n int) {
	if n <= 0 || n == g.limiter.Slots() {
		return
	}
	g.limiter = slots.NewLimiter(placement.LimitOf(n), n)
	g.limiter.Runs(g.now(), g.queue.Running())
	g.queue.SetLimit(placement.LimitOf(n))
}

// followLimit sets how many calls may run now. g.mu is held.
func (g *guard) followLimit(now model.Instant) {
	g.queue.SetLimit(g.limiter.Limit(now, g.queue.Waiting() > 0))
}

// beginRun notes that a run begins. g.mu is held.
func (g *guard) beginRun() measuredRun {
	return measuredRun{Run: g.limiter.Begin(g.now()), limiter: g.limiter, slow: g.slow}
}

// endRun judges the limit by a run that ended well.
func (g *guard) endRun(r measuredRun, c *Call, a *Answer) {
	if a.Outcome.Kind != outcome.Answered || a.Status >= http.StatusInternalServerError {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.limiter != g.limiter {
		return
	}
	before := g.limiter.InUse()
	slow := (r.slow + g.slow) / 2
	g.limiter.End(r.Run, g.now(), time.Duration(float64(c.Work)*slow))
	if after := g.limiter.InUse(); after != before {
		g.opts.Decisions.Write(decision.LimitChanged, "", slog.String("upstream", string(g.tracker.Current().ID)),
			slog.Int("limit", after), slog.Int("previous", before), slog.Int("slots", g.limiter.Slots()))
	}
}
