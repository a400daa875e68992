package routing

import "github.com/dottereltiller/dottereltiller/core/model"

// twoChoices picks the less loaded of two random usable upstreams, which may be the same one.
// The load is the larger of the latest reported number of requests and this entry's own
// requests in flight.
type twoChoices struct{ waitsAtUpstream }

func (twoChoices) choose(r *Router, now model.Instant, exclude []model.UpstreamID, ignoreEjections bool) *candidate {
	a, b := r.randomUsable(now, exclude, ignoreEjections), r.randomUsable(now, exclude, ignoreEjections)
	if a == nil || b == nil {
		return a
	}
	if b.knownRequests() < a.knownRequests() {
		return b
	}
	return a
}

// knownRequests returns the larger of the latest reported number of requests at the upstream
// and the number of this entry's requests in flight there.
func (c *candidate) knownRequests() int32 { return max(c.load.Running+c.load.Waiting, c.inFlight) }
