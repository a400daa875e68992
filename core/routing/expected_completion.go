package routing

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// expectedCompletion picks the upstream where the request is expected to complete first. The
// expected time is the sum of the round trip, the wait for a slot, the slowdown of the upstream
// and the time for which it has been unexpectedly silent. The queue timeout of a request that
// may still be rejected is zero (see the package comment), except in the cases described at
// queueTimeout.
type expectedCompletion struct{}

const (
	// maxFullScan is the largest pool in which every candidate is scored. In a larger
	// pool only a random sample is scored.
	maxFullScan = 16
	// localSampleSize is the number of candidates of the local zone in the sample.
	localSampleSize = 8
	// remoteSampleSize is the number of candidates of other zones in the sample.
	remoteSampleSize = 4
	// occupancyCost is the penalty, in typical service times, of an upstream whose slots
	// are all occupied. A partly occupied upstream gets a proportional part of the
	// penalty. The fuller an upstream is, the likelier its last slot is taken before the
	// request arrives.
	occupancyCost = 0.2
	// jitter is the upper bound of the random part of a score, in typical service times.
	// Without the random part, entries that know the same upstream to be idle would all
	// choose it at the same time.
	jitter = 0.05
	// maxRejectionRTTShare is the longest round trip at which a request gets a queue timeout of
	// zero, as a share of the typical service time. Over a longer round trip, a rejection would
	// cost too much time.
	maxRejectionRTTShare = 0.25
	// saturationFactor is a multiple of an upstream's limit. An upstream at which the number of
	// requests is at least that multiple of the limit counts as saturated. A request placed at
	// a saturated upstream may wait there until its deadline. A rejection would only cost a
	// round trip: since the best upstream was chosen, all others are about as full.
	saturationFactor = 2
	// defaultServiceTime is the typical service time assumed until one is known, in
	// nanoseconds.
	defaultServiceTime = 2e6
)

func (p *expectedCompletion) choose(r *Router, now model.Instant, exclude []model.UpstreamID, ignoreEjections bool) *candidate {
	s := search{r: r, now: now, exclude: exclude, ignoreEjections: ignoreEjections}
	if len(r.candidates) <= maxFullScan {
		for _, c := range r.candidates {
			s.consider(c)
		}
		return s.best
	}
	s.sample(r.localCandidates, localSampleSize)
	s.sample(r.remoteCandidates, remoteSampleSize)
	if s.best == nil {
		return r.randomUsable(now, exclude, ignoreEjections)
	}
	return s.best
}

// queueTimeout returns zero if the round trip is at most maxRejectionRTTShare of the typical
// service time and the chosen upstream is not saturated. Otherwise it returns WaitForDeadline.
func (p *expectedCompletion) queueTimeout(r *Router, now model.Instant, c *candidate, rejectionCount int) time.Duration {
	if 2*float64(c.oneWayDelay) > maxRejectionRTTShare*r.pool.typicalServiceTime() {
		return WaitForDeadline
	}
	if c.estimatedRequests(now, &r.pool) >= saturationFactor*float64(c.limit()) {
		return WaitForDeadline
	}
	return 0
}

func (p *expectedCompletion) hedges() bool { return true }

// typicalServiceTime returns the median of the upstreams' mean service times, in
// nanoseconds. It returns defaultServiceTime while the median is unknown.
func (p *pool) typicalServiceTime() float64 {
	if p.medianServiceTime == 0 {
		return defaultServiceTime
	}
	return p.medianServiceTime
}

// search finds the candidate with the lowest score.
type search struct {
	r               *Router
	now             model.Instant
	exclude         []model.UpstreamID
	ignoreEjections bool
	best            *candidate
	bestScore       float64
}

// sample passes n random candidates, drawn with replacement, to consider. If there are at most
// n candidates, it passes each of them once.
func (s *search) sample(candidates []*candidate, n int) {
	if len(candidates) <= n {
		for _, c := range candidates {
			s.consider(c)
		}
		return
	}
	for range n {
		s.consider(candidates[s.r.rng.IntN(len(candidates))])
	}
}

// consider keeps the candidate if it is usable and its score is the lowest so far.
func (s *search) consider(c *candidate) {
	if !c.usable(s.now, s.exclude, s.ignoreEjections) {
		return
	}
	score := s.r.score(s.now, c)
	if s.best == nil || score < s.bestScore {
		s.best, s.bestScore = c, score
	}
}

// score returns the expected time until the request completes at the candidate, minus
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
