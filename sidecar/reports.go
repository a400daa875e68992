package sidecar

import (
	"log/slog"
	"time"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/decision"
)

// maxIdentityAge is how long the identity of the process at the address is used for further reports. It
// bounds the health checks that a flood of reports causes.
const maxIdentityAge = 100 * time.Millisecond

// handleReport applies a status report of the upstream and returns its effect. If the report
// shows that a new incarnation has replaced a ready one, the previous incarnation has crashed, and
// handleReport passes it to the crash detector. cause says in the log where the report came from.
func (g *guard) handleReport(r lifecycle.Report, cause string) lifecycle.Effect {
	var responding lifecycle.Identity
	g.mu.Lock()
	if g.tracker.NeedsIdentity(r, g.moment()) {
		g.mu.Unlock()
		responding = g.identify()
		g.mu.Lock()
	}
	previous := g.tracker.Current()
	effect := g.trackReport(r, responding)
	g.applyReport(effect, r.WarmupLeft)
	current := g.tracker.Current()
	if effect == lifecycle.Stale && r.State == lifecycle.Ready && !(current.State == lifecycle.Ready && current.Incarnation.Matches(r.Incarnation)) {
		effect = lifecycle.Refused
		g.logRefusedReport(r, responding)
	}
	if r.State > lifecycle.Ready {
		g.logDeparture(statedDeparture{r.Incarnation, cause}, effect)
	}
	g.mu.Unlock()
	if effect == lifecycle.Started && previous.State == lifecycle.Ready {
		g.crashes.reportCrash(previous.Incarnation)
	}
	if effect == lifecycle.Started || effect == lifecycle.Changed {
		if responding.ID != "" {
			cause += ", confirmed by " + string(responding.ID) + " at the address"
		}
		g.logUpstreamState(current, cause)
	}
	g.dispatch()
	return effect
}

// trackReport applies a report to the tracker. responding is what the process at the address has said, if it was
// asked. Another statement that has arrived since may make the report one that needs its word. g.mu is held.
func (g *guard) trackReport(r lifecycle.Report, responding lifecycle.Identity) lifecycle.Effect {
	now := g.moment()
	if g.tracker.NeedsIdentity(r, now) {
		return g.tracker.Settle(r, responding, now)
	}
	return g.tracker.Observe(r, now)
}

// moment returns the current instant by the clock of the VM and by the monotonic one.
func (g *guard) moment() lifecycle.Moment {
	return lifecycle.Moment{Unix: time.Now().UnixMilli(), Steady: g.now()}
}

// momentAt returns a past instant by both clocks.
func (g *guard) momentAt(at model.Instant) lifecycle.Moment {
	now := g.moment()
	return lifecycle.Moment{Unix: now.Unix - now.Steady.Sub(at).Milliseconds(), Steady: at}
}

// identify asks the process at the address of the upstream who it is. Concurrent callers, and those within
// maxIdentityAge, get the same answer.
func (g *guard) identify() lifecycle.Identity {
	g.identityMu.Lock()
	defer g.identityMu.Unlock()
	asked := g.moment()
	g.mu.Lock()
	identity := g.identity
	g.mu.Unlock()
	if identity.AskedAt.Unix != 0 && asked.Steady.Sub(identity.AskedAt.Steady) < maxIdentityAge {
		return identity
	}
	r, healthy := g.checkHealth(healthCheckTimeout, true)
	identity = identityOf(r, healthy, asked)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.identity = identity
	return identity
}

// identityOf returns what the response to a health check that was sent at an instant says of the process. A response
// that refuses to run the check does not tell whether the process is healthy.
func identityOf(r ResponseInfo, healthy bool, asked lifecycle.Moment) lifecycle.Identity {
	return lifecycle.Identity{ID: r.Instance, Leaving: r.Leaving, Unhealthy: !healthy && !r.NotRun, AskedAt: asked}
}

// logRefusedReport logs the first of several refused reports of an incarnation. g.mu is held.
func (g *guard) logRefusedReport(r lifecycle.Report, responding lifecycle.Identity) {
	if g.refusedLogged == r.Incarnation {
		return
	}
	g.refusedLogged = r.Incarnation
	reason := "the incarnation has departed"
	switch {
	case responding.ID != "" && responding.ID != r.ID:
		reason = "another upstream responds at the address: " + string(responding.ID)
	case responding.Leaving:
		reason = "the upstream responds that it is leaving"
	case responding.Unhealthy:
		reason = "the upstream responds that it is not healthy"
	case responding.ID == "" && r.ID != g.tracker.Current().ID:
		reason = "another incarnation is current: " + string(g.tracker.Current().ID)
	}
	g.opts.Decisions.Write(decision.ReportRefused, "", slog.String("upstream", string(r.ID)), slog.String("error", reason))
}

// applyReport sets the concurrency limit from the newest report, which had the given effect on
// the tracker. If a new incarnation has started, applyReport also replaces the connection pool
// and resets slowdownReported and the failure rate. warmupLeft is how much longer the upstream
// stays cold according to the report. g.mu is held.
func (g *guard) applyReport(effect lifecycle.Effect, warmupLeft time.Duration) {
	if effect == lifecycle.Stale {
		return
	}
	if effect == lifecycle.Started {
		g.starts.Replaced(g.now())
	}
	g.starts.Cold.Report(g.now(), warmupLeft)
	if effect == lifecycle.Same {
		return
	}
	g.queue.SetLimit(placement.DefaultLimit(g.tracker.Current().Slots))
	if effect != lifecycle.Started {
		return
	}
	g.pool.Close()
	g.healthPool.Close()
	g.pool, g.healthPool = g.newPool(), g.newPool()
	g.slowdownReported, g.failures, g.failingLogged, g.cold.invalidLogged = false, placement.FailureRate{}, false, false
	g.stated = statements{}
}

// reportAndDeparted returns the newest report of the upstream and the departures.
func (g *guard) reportAndDeparted() (lifecycle.Report, []lifecycle.Departure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Current(), g.tracker.Departed()
}
