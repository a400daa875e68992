package routing

import "github.com/dottereltiller/dottereltiller/core/model"

// roundRobin picks the usable upstreams in turn.
type roundRobin struct {
	waitsAtUpstream
	// nextIndex is the index in Router.candidates at which the next search begins.
	nextIndex int
}

func (p *roundRobin) choose(r *Router, now model.Instant, exclude []model.UpstreamID, ignoreEjections bool) *candidate {
	n := len(r.candidates)
	for range n {
		c := r.candidates[p.nextIndex%n]
		p.nextIndex = (p.nextIndex + 1) % n
		if c.usable(now, exclude, ignoreEjections) {
			return c
		}
	}
	return nil
}
