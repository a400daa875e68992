package routing

import "github.com/dottereltiller/dottereltiller/core/model"

// random chooses any usable upstream.
type random struct{ waitsAtUpstream }

func (random) choose(r *Router, now model.Instant, exclude []model.UpstreamID, panicking bool) *candidate {
	return r.random(now, exclude, panicking)
}
