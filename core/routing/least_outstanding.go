package routing

import "github.com/dottereltiller/dottereltiller/core/model"

// leastOutstanding compares up to maxScan consecutive candidates, starting at a random one. It
// picks the usable candidate with the fewest in-flight requests of this entry. If several have
// the fewest, it picks the first of them. If none of the compared candidates is usable, it picks
// a random usable one from all candidates.
type leastOutstanding struct{ waitsAtUpstream }

func (leastOutstanding) choose(r *Router, now model.Instant, exclude []model.UpstreamID, ignoreEjections bool) *candidate {
	n := len(r.candidates)
	if n == 0 {
		return nil
	}
	start := r.rng.IntN(n)
	var best *candidate
	for i := range min(n, maxScan) {
		c := r.candidates[(start+i)%n]
		if !c.usable(now, exclude, ignoreEjections) {
			continue
		}
		if best == nil || c.inFlight < best.inFlight {
			best = c
		}
	}
	if best == nil {
		return r.randomUsable(now, exclude, ignoreEjections)
	}
	return best
}

// maxScan bounds the number of candidates that leastOutstanding compares for one request.
const maxScan = 64
