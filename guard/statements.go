package guard

import (
	"net/http"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/startrate"
	"github.com/dottereltiller/dottereltiller/wire"
)

// statement is a kind of statement that an upstream makes about itself in a response. It is the value of the tag "kind"
// of the counter "statements".
type statement string

// The kinds of statements.
const (
	statedRateLimit statement = "rate-limit"
	statedLeaving   statement = "leaving"
	// invalidStatement counts the statements that were ignored.
	invalidStatement statement = "invalid"
)

func (g *Guard) countStatement(s statement) {
	g.opts.Scope.Tagged(map[string]string{"kind": string(s)}).Counter("statements").Inc(1)
}

// RateLimits returns the number of requests per second that each upstream takes by its own statement. Upstreams that do
// not limit their rate are left out.
func (g *Guard) RateLimits() map[model.UpstreamID]float64 {
	g.mu.RLock()
	defer g.mu.RUnlock()
	limits := make(map[model.UpstreamID]float64)
	for id, u := range g.upstreams {
		u.mu.Lock()
		if perSecond, limited := u.starts.Named.Limit(); limited {
			limits[id] = perSecond
		}
		u.mu.Unlock()
	}
	return limits
}

// recordStatements records what the response to a request that was sent at the instant sentAt states about the
// upstream.
func (u *upstreamProxy) recordStatements(h http.Header, sentAt model.Instant) {
	perSecond, limited, err := startrate.ParseLimit(h.Values(wire.HeaderRateLimit))
	switch {
	case err != nil:
		u.countStatement(invalidStatement)
	case limited:
		u.countStatement(statedRateLimit)
		fallthrough
	default:
		u.mu.Lock()
		u.starts.Named.Observe(u.now(), startrate.Statement{Limited: limited, PerSecond: perSecond, SentAt: sentAt}, int(u.controller.Load(u.now()).Running))
		u.mu.Unlock()
	}
	switch h.Get(wire.HeaderLeaving) {
	case "":
	case "true":
		u.countStatement(statedLeaving)
		u.onLeaving(u.upstream.Upstream)
	default:
		u.countStatement(invalidStatement)
	}
}
