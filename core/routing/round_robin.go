package routing

import "github.com/dottereltiller/dottereltiller/core/model"

// roundRobin picks the usable upstreams in turn.
type roundRobin struct {
	waitsAtUpstream
	next int
}

func (p *roundRobin) choose(r *Router, now model.Instant, exclude []model.UpstreamID, panicking bool) *candidate {
	n := len(r.candidates)
	for range n {
		c := r.candidates[p.next%n]
		p.next = (p.next + 1) % n
		if c.usable(now, exclude, panicking) {
			return c
		}
	}
	return nil
}
