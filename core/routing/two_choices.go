package routing

import "github.com/dottereltiller/dottereltiller/core/model"

// twoChoices takes the less loaded of two random upstreams, by the load that
// rode on the last reply or this entry's own requests, whichever is more.
type twoChoices struct{ waitsAtUpstream }

func (twoChoices) choose(r *Router, now model.Instant, exclude []model.UpstreamID, panicking bool) *candidate {
	a, b := r.random(now, exclude, panicking), r.random(now, exclude, panicking)
	if a == nil || b == nil {
		return a
	}
	if b.knownRequests() < a.knownRequests() {
		return b
	}
	return a
}

func (c *candidate) knownRequests() int32 { return max(c.load.Running+c.load.Waiting, c.inFlight) }
