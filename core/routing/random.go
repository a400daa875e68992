package routing

import "github.com/dottereltiller/dottereltiller/core/model"

// random picks a usable upstream at random.
type random struct{ waitsAtUpstream }

func (random) choose(r *Router, now model.Instant, exclude []model.UpstreamID, ignoreEjections bool) *candidate {
	return r.randomUsable(now, exclude, ignoreEjections)
}
