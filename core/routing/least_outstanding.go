package routing

import "github.com/dottereltiller/dottereltiller/core/model"

// leastOutstanding picks the upstream with the fewest in-flight requests of this entry. The
// scan starts at a random candidate. Among equals, the first scanned candidate is picked. If
// none of the scanned candidates is usable, any usable one is picked at random.
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
