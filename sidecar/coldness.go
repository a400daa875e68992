package sidecar

import (
	"fmt"
	"log/slog"
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/route"
	"github.com/dottereltiller/dottereltiller/core/startrate"
	"github.com/dottereltiller/dottereltiller/decision"
)

// proofInterval is the shortest time between two health checks that are sent only because too many
// requests lack a proof that the upstream is warm. An upstream that does not respond to health
// checks, or whose statement of its coldness is invalid, never gives a proof.
const proofInterval = 50 * time.Millisecond

// restartGap is the shortest time between the end of a daemon and the start of the next one on the
// same VM. What restarts daemons must wait at least that long.
const restartGap = 150 * time.Millisecond

// coldness is what the guard keeps about the cold phases of its upstream, besides startrate.Cold.
type coldness struct {
	// proofRequestedAt is when requestProof started a health check last.
	proofRequestedAt model.Instant
	// invalidLogged is set once the log says that the current incarnation states its coldness
	// wrongly.
	invalidLogged bool
}

// limits returns the limits for a cold upstream of this VM, given the configuration of its
// service.
func (b ColdBounds) limits(s *route.Service) startrate.ColdLimits {
	limits := startrate.ColdLimits{Rate: s.ColdRate, PeakRate: s.ColdRate * b.Overage, Duration: s.ColdDuration}
	limits.Max = int(math.Min(s.ColdRate*b.Overage+b.Slack, math.MaxInt32))
	return limits
}

// updateColdLimits passes to the guard what a cold upstream of this VM tolerates, according to the
// configuration in force and the settings.
func (d *Daemon) updateColdLimits(t *route.Table) {
	if t == nil {
		return
	}
	if s, ok := t.Service(d.service()); ok {
		d.guard.setColdLimits(d.tunables.Load().Cold.limits(s))
	}
}

func (g *guard) setColdLimits(l startrate.ColdLimits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasLimited := g.starts.Cold.Limited()
	g.starts.Cold.SetLimits(l)
	switch {
	case wasLimited || !g.starts.Cold.Limited():
	case g.runCount > 0:
		// The calls so far were not counted.
		g.starts.Cold.AssumeFull(g.now())
	case !g.opts.Bootstrap:
		// The previous daemon on this VM may have sent calls until restartGap before this one
		// started.
		g.starts.Cold.AssumeFull(model.Instant(-restartGap))
	}
}

// recordColdness records what the response to a health check states. sent is when the health check
// was sent. Unless the response is proof, it is taken as a report, which may be late. The first invalid value of
// an incarnation is logged.
func (g *guard) recordColdness(sent model.Instant, c Coldness, proof bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.Invalid != "" && !g.cold.invalidLogged {
		g.cold.invalidLogged = true
		g.opts.Decisions.Write(decision.ReportRefused, "", slog.String("upstream", string(g.tracker.Current().ID)),
			slog.String("error", fmt.Sprintf("health check: rest of the cold phase is ignored, got %q", c.Invalid)))
	}
	switch {
	case c.Invalid != "":
	case proof:
		g.starts.Cold.Observe(g.now(), sent, c.Left)
	default:
		g.starts.Cold.Report(g.now(), c.Left)
	}
}

func (g *guard) isCold() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.starts.Cold.IsCold(g.now())
}

// requestProof starts a health check, at most one in each proofInterval. It is called when calls wait
// because too many earlier ones lack a proof that the upstream is warm. It returns when to call it
// again if there is still no proof. g.mu is held.
func (g *guard) requestProof(now model.Instant) model.Instant {
	if next := g.cold.proofRequestedAt.Add(proofInterval); g.cold.proofRequestedAt != 0 && now < next {
		return next
	}
	g.cold.proofRequestedAt = now
	g.startHealthCheck()
	return now.Add(proofInterval)
}
