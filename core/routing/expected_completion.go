package routing

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// expectedCompletion picks the upstream where the request is expected to complete
// first. The estimate adds the round trip, the wait for a slot, the slowdown of the
// upstream and the time for which it has been unexpectedly silent. While the request
// may still be rejected, its queue timeout is zero (see the package comment).
type expectedCompletion struct{}

const (
	// maxFullScan is the largest pool in which every candidate is scored. In a larger
	// pool only a random sample is scored: sampleLocal candidates of the local zone and
	// sampleRemote of other zones.
	maxFullScan  = 16
	sampleLocal  = 8
	sampleRemote = 4
	// occupancyCost is the penalty, in typical service times, of an upstream whose slots
	// are all occupied: the fuller an upstream, the likelier its last slot is taken
	// before the request arrives.
	occupancyCost = 0.2
	// jitter bounds the random part of a score, in typical service times. It spreads
	// the requests of entries that see the same upstream idle.
	jitter = 0.05
	// maxRejectionRTT is the longest round trip, as a share of the typical service
	// time, at which a request may be rejected and sent elsewhere instead of waiting.
	maxRejectionRTT = 0.25
	// saturation is the number of requests at the chosen upstream, as a multiple of its
	// limit, from which a new request may wait in its queue until the deadline. As the
	// best upstream was chosen, all are then so full that rejections would only cost
	// round trips.
	saturation = 2
	// defaultServiceTime is the typical service time assumed until one is known, in
	// nanoseconds.
	defaultServiceTime = 2e6
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

// queueTimeout returns zero if the round trip is at most maxRejectionRTT and another
// upstream may have a free slot. Otherwise the request may wait until its deadline.
func (p *expectedCompletion) queueTimeout(r *Router, now model.Instant, c *candidate, rejections int) time.Duration {
	if 2*float64(c.oneWayDelay) > maxRejectionRTT*r.pool.typicalServiceTime() {
		return WaitForDeadline
	}
	if c.estimatedRequests(now, &r.pool) >= saturation*float64(c.limit()) {
		return WaitForDeadline
	}
	return 0
}

func (p *expectedCompletion) hedges() bool { return true }

// typicalServiceTime returns the median over the upstreams of the mean service time, in
// nanoseconds.
func (p *pool) typicalServiceTime() float64 {
	if p.medianServiceTime == 0 {
		return defaultServiceTime
	}
	return p.medianServiceTime
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

// sample scores n random candidates, with replacement, or all of them if there are no
// more than n.
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

// consider keeps the candidate if it is usable and its score is the lowest so far.
func (s *search) consider(c *candidate) {
	if !c.usable(s.now, s.exclude, s.panicking) {
		return
	}
	score := s.r.score(s.now, c)
	if s.best == nil || score < s.score {
		s.best, s.score = c, score
	}
}

// score returns the expected time until the request completes at the candidate, less
// the typical service time, in nanoseconds. Lower is better.
func (r *Router) score(now model.Instant, c *candidate) float64 {
	serviceTime := r.pool.typicalServiceTime()
	slowdown := c.slowdown(now, &r.pool)
	limit := float64(c.limit()) * c.rampFraction(now, r.opts.Ramp)
	requests := c.estimatedRequests(now, &r.pool)
	wait := max(requests-limit+1, 0) / limit * slowdown
	occupancyPenalty := occupancyCost * min(requests/limit, 1)
	silence := c.excessSilence(now, &r.pool)
	return 2*float64(c.oneWayDelay) + silence + serviceTime*(wait+occupancyPenalty+slowdown-1+jitter*r.rng.Float64())
}
