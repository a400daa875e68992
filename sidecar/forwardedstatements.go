package sidecar

import (
	"log/slog"
	"math"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/decision"
)

// forwardedStatements is what the responses of an upstream of another daemon state that this daemon has
// forwarded. It is kept while that daemon restarts and no longer knows it.
type forwardedStatements struct {
	// upstream is the incarnation that has responded. Its ID is empty if none has.
	upstream lifecycle.Incarnation
	limit    RateLimit
	// leaving is set once the incarnation has stated that it is leaving.
	leaving bool
}

// isLeaving reports whether an upstream has stated that it is leaving.
func (s *forwardedStatements) isLeaving(upstream lifecycle.Incarnation) bool {
	return s.leaving && s.upstream.Matches(upstream)
}

// setBorn completes the incarnation if its start time is unknown and upstream has the same id.
func (s *forwardedStatements) setBorn(upstream lifecycle.Incarnation) {
	if s.upstream.ID == upstream.ID && s.upstream.Born == 0 {
		s.upstream.Born = upstream.Born
	}
}

// limitOf returns the rate limit that an upstream has stated. The limit of another incarnation does not
// count.
func (s *forwardedStatements) limitOf(upstream lifecycle.Incarnation) RateLimit {
	if !s.upstream.Matches(upstream) {
		return RateLimit{}
	}
	return s.limit
}

// startRate returns the rate at which an upstream with this limit gets requests while their rate is limited.
// coldRate is the rate if the upstream is cold, zero if there is none.
func (l RateLimit) startRate(coldRate float64) float64 {
	switch {
	case !l.Limited:
		return coldRate
	case coldRate <= 0:
		return l.PerSecond
	default:
		return min(l.PerSecond, coldRate)
	}
}

// limitChangeShare is the share by which a rate limit must change for the change to be recorded, because each
// recorded change causes the candidates to be updated. Entries use the limit only to estimate delays.
const limitChangeShare = 0.1

// recordForwarded records what a response of the upstream of another daemon states. It does nothing for
// the local upstream, whose guard records the statements.
func (p *peers) recordForwarded(e endpoint, stated Statements) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.others[e.address]
	if q == nil {
		return
	}
	f := &q.forwarded
	if !f.upstream.Matches(e.upstream) {
		if f.upstream.ID != "" && f.upstream.Matches(q.record.Upstream) {
			// The response of an earlier incarnation is late.
			return
		}
		*f = forwardedStatements{upstream: e.upstream}
	}
	if f.limit.differs(stated.RateLimit) {
		f.limit = stated.RateLimit
		p.generation++
	}
	if stated.Leaving && !f.leaving {
		f.leaving = true
		p.generation++
		p.decisions.Write(decision.PeerLeaving, "", slog.String("peer", e.address), slog.String("upstream", string(e.upstream.ID)), slog.Int64("born", e.upstream.Born))
	}
}

// differs reports whether a limit differs so much that it replaces l.
func (l RateLimit) differs(other RateLimit) bool {
	if other.Invalid != "" {
		return false
	}
	return l.Limited != other.Limited || math.Abs(l.PerSecond-other.PerSecond) > limitChangeShare*l.PerSecond
}
