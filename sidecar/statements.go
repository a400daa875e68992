package sidecar

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/startrate"
	"github.com/dottereltiller/dottereltiller/decision"
)

const (
	// limitLogInterval is the shortest time between two log lines about the rate limit. An upstream may change it
	// with each response.
	limitLogInterval = time.Second
	// limitedCheckInterval is the shortest time between two health checks of an upstream that limits the
	// rate of its requests. Health checks are requests too.
	limitedCheckInterval = 1500 * time.Millisecond
)

// statements is what the guard keeps about the statements of the current incarnation of the local upstream,
// besides startrate.Named.
type statements struct {
	// heard is set once the upstream has responded to a request of this daemon.
	heard bool
	// loggedLimit is the limit in the latest log line about it, and limitLoggedAt when that was written.
	loggedLimit   RateLimit
	limitLoggedAt model.Instant
	// invalidLogged is set once the log says that a statement is invalid.
	invalidLogged bool
}

// rateLimit returns the limit of the rate of requests that the local upstream states.
func (g *guard) rateLimit() RateLimit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rateLimitLocked()
}

// rateLimitLocked returns what rateLimit returns. g.mu is held.
func (g *guard) rateLimitLocked() RateLimit {
	perSecond, limited := g.starts.Named.Limit()
	return RateLimit{Limited: limited, PerSecond: perSecond}
}

// response describes how a response of the local upstream was obtained.
type response struct {
	// upstream is the incarnation that has responded.
	upstream lifecycle.Incarnation
	// sentAt is when the request or the health check was sent.
	sentAt      model.Instant
	healthCheck bool
	// info is what the headers of the response state.
	info ResponseInfo
}

// recordStatements records what a response of the upstream states about itself. Statements of another
// incarnation than the current one are ignored.
func (g *guard) recordStatements(r *response) {
	g.recordRequestStatements(r)
	if r.info.Leaving {
		sent := g.momentAt(r.sentAt)
		g.recordDeparture("response states that it is leaving", func(t *lifecycle.Tracker, now lifecycle.Moment) lifecycle.Effect {
			return t.Drain(r.upstream, sent, now)
		})
	}
}

// recordDeparture applies a change that a response of the upstream has caused, and calls onDeparture if it has an
// effect. cause names the change in the log.
func (g *guard) recordDeparture(cause string, change stateChange) {
	if g.changeState(cause, change) == lifecycle.Changed {
		g.onDeparture()
	}
}

// recordRequestStatements records what a response states of the rate limit. It also counts the statements and
// logs invalid ones.
func (g *guard) recordRequestStatements(r *response) {
	info := &r.info
	if info.RateLimit.Limited {
		g.metrics.rateLimited.Inc(1)
	}
	if info.Leaving {
		g.metrics.leaving.Inc(1)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if current := g.tracker.Current(); current.State == lifecycle.Unknown || !current.Incarnation.Matches(r.upstream) {
		return
	}
	g.stated.heard = g.stated.heard || !r.healthCheck
	g.logInvalidStatements(info)
	if info.RateLimit.Invalid == "" {
		g.recordRateLimit(startrate.Statement{
			Limited: info.RateLimit.Limited, PerSecond: info.RateLimit.PerSecond, SentAt: r.sentAt, HealthCheck: r.healthCheck,
		})
	}
}

// adoptRateLimit adopts the limit that a call carries, unless the upstream has responded to a request of this
// daemon. A daemon that has just started learns so of the limit before the upstream gets a request from a
// caller who was told of it.
func (g *guard) adoptRateLimit(c *Call) {
	if !c.RateLimit.Limited {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.stated.heard && c.Upstream.Matches(g.tracker.Current().Incarnation) {
		g.recordRateLimit(startrate.Statement{Limited: true, PerSecond: c.RateLimit.PerSecond, SentAt: g.now()})
	}
}

// recordRateLimit records the statement of a limit. It logs the limit if that differs from the one logged last, at most
// once in each limitLogInterval. g.mu is held.
func (g *guard) recordRateLimit(s startrate.Statement) {
	now := g.now()
	g.starts.Named.Observe(now, s, g.queue.Running())
	limit, logged := g.rateLimitLocked(), g.stated.loggedLimit
	if limit == logged || g.stated.limitLoggedAt != 0 && now.Sub(g.stated.limitLoggedAt) < limitLogInterval {
		return
	}
	g.stated.loggedLimit, g.stated.limitLoggedAt = limit, now
	current := g.tracker.Current()
	g.opts.Decisions.Write(decision.UpstreamLimited, "", slog.String("upstream", string(current.ID)), slog.Int64("born", current.Born),
		slog.Bool("limited", limit.Limited), slog.Float64("per_second", limit.PerSecond), slog.Float64("previous", logged.PerSecond))
}

// logInvalidStatements logs the first invalid statement of an incarnation. g.mu is held.
func (g *guard) logInvalidStatements(info *ResponseInfo) {
	reason := ""
	switch {
	case g.stated.invalidLogged:
		return
	case info.RateLimit.Invalid != "":
		reason = "ignored " + info.RateLimit.Invalid
	case info.InvalidLeaving != "":
		reason = fmt.Sprintf("ignored leaving: got %q", info.InvalidLeaving)
	default:
		return
	}
	g.stated.invalidLogged = true
	g.opts.Decisions.Write(decision.ReportRefused, "", slog.String("upstream", string(g.tracker.Current().ID)),
		slog.String("error", "response: "+reason))
}
