package routing

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// expectedCompletion sends a request where it is expected to complete first:
// the way there and back, the wait for a slot, how much slower than its peers
// the upstream is, and how long it has been silent. While the request may still be given back, it is sent
// with no patience (see the package comment).
type expectedCompletion struct{}

const (
	// maxFullScan is the pool size up to which every candidate is scored; of a
	// larger pool a sample is.
	maxFullScan  = 16
	sampleLocal  = 8
	sampleRemote = 4
	// occupancyCost is the cost of a fully occupied upstream in mean slot
	// times: a fuller one is likelier to be taken when the request arrives.
	occupancyCost = 0.2
	// jitter spreads entries that see the same upstream idle, in mean slot
	// times.
	jitter = 0.05
	// maxRejectionRTT is the largest round trip, as a share of the mean slot time,
	// for which being given back is cheap.
	maxRejectionRTT = 0.25
	// saturation is the occupancy, in limits, from which the best upstream is so
	// full that a request queues there at once: bounces would cost hops and find
	// nothing.
	saturation = 2
	// defaultService stands in for the mean slot time before any is known, in
	// nanoseconds.
	defaultService = 2e6
)

func (p *expectedCompletion) choose(r *Router, now model.Instant, exclude []model.UpstreamID, panicking bool) *candidate {
	s := search{r: r, now: now, exclude: exclude, panicking: panicking}
	if len(r.candidates) <= maxFullScan {
		for _, c := range r.candidates {
			s.consider(c)
		}
		return s.best
	}
	s.sample(r.local, sampleLocal)
	s.sample(r.remote, sampleRemote)
	if s.best == nil {
		return r.random(now, exclude, panicking)
	}
	return s.best
}

func (p *expectedCompletion) queueTimeout(r *Router, now model.Instant, c *candidate, rejections int) time.Duration {
	if 2*float64(c.oneWayDelay) > maxRejectionRTT*r.pool.meanService() {
		return WaitForDeadline
	}
	if c.estimatedRequests(now, &r.pool) >= saturation*float64(c.limit()) {
		return WaitForDeadline
	}
	return 0
}

func (p *expectedCompletion) hedges() bool { return true }

func (p *pool) meanService() float64 {
	if p.medianService == 0 {
		return defaultService
	}
	return p.medianService
}

// search finds the candidate with the lowest score.
type search struct {
	r         *Router
	now       model.Instant
	exclude   []model.UpstreamID
	panicking bool
	best      *candidate
	score     float64
}

func (s *search) sample(from []*candidate, n int) {
	if len(from) <= n {
		for _, c := range from {
			s.consider(c)
		}
		return
	}
	for range n {
		s.consider(from[s.r.rng.IntN(len(from))])
	}
}

func (s *search) consider(c *candidate) {
	if !c.usable(s.now, s.exclude, s.panicking) {
		return
	}
	score := s.r.score(s.now, c)
	if s.best == nil || score < s.score {
		s.best, s.score = c, score
	}
}

// score scores a candidate: the expected time until the request completes
// beyond the mean slot time of an undisturbed upstream, in nanoseconds.
func (r *Router) score(now model.Instant, c *candidate) float64 {
	service := r.pool.meanService()
	slowdown := c.slowdown(now, &r.pool)
	limit := float64(c.limit()) * c.rampFraction(now, r.opts.Ramp)
	requests := c.estimatedRequests(now, &r.pool)
	wait := max(requests-limit+1, 0) / limit * slowdown
	occupancy := occupancyCost * min(requests/limit, 1)
	silence := c.excessSilence(now, &r.pool)
	return 2*float64(c.oneWayDelay) + silence + service*(wait+occupancy+slowdown-1+jitter*r.rng.Float64())
}
