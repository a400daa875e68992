package limit

import (
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Options configure a Limiter.
type Options struct {
	// Slots is the announced number of slots, at least 1. It is the initial limit.
	Slots int
	// Max is the largest allowed limit. Default: Slots. With the default, an upstream
	// never runs more requests than the number of slots that it announced.
	Max int
}

const (
	// windowSize is the number of samples at the limit on which one decision is based.
	// These samples are called a window.
	windowSize = 256
	// uncontendedRingSize is the number of uncontended samples that are kept. A sample is the
	// slot time of one successful request. It is uncontended if at most half of the limit
	// (rounded up) was running when the request ended.
	uncontendedRingSize = 128
	// minUncontendedSamples is the number of uncontended samples that a decision needs.
	minUncontendedSamples = 64
	// comparedQuantile is the quantile of the slot times that is compared between samples
	// at the limit and uncontended samples.
	comparedQuantile = 0.1
	// shrinkRatio is the ratio above which the limit is lowered (see shrinkAfterWindows). The
	// ratio is the quantile comparedQuantile of the samples at the limit divided by that of the
	// uncontended samples.
	shrinkRatio = 1.5
	// growRatio is the ratio, as defined at shrinkRatio, below which the limit is raised at
	// once.
	growRatio = 1.2
	// shrinkAfterWindows is the number of consecutive windows after which the limit is lowered
	// if the ratio is above shrinkRatio in each of them.
	shrinkAfterWindows = 2
	// growAfterWindows is the number of windows with a ratio between growRatio and shrinkRatio
	// after which the limit is raised. A limit lowered by mistake thus rises again.
	growAfterWindows = 8
	// recentMeanWeight makes the recent mean slot time cover about 32 requests.
	recentMeanWeight = 1.0 / 32
	// longTermMeanWeight makes the long-term mean slot time cover about 2048 requests.
	longTermMeanWeight = 1.0 / 2048
	// slowedRatio is the ratio of the recent mean to the long-term mean above which
	// requests count as slowed.
	slowedRatio = 1.5
	// failureWeight is the weight of one request in the failure rate, a moving average. The
	// failure rate thus covers about 8 requests.
	failureWeight = 1.0 / 8
	// probeAfterWindows is the number of windows without an uncontended sample after which a
	// probe begins. During a probe, Limit returns half of the limit, so that requests run
	// uncontended.
	probeAfterWindows = 32
	// probeSamples is the number of uncontended samples after which a probe ends.
	probeSamples = 32
)

// Limiter holds the concurrency limit for one incarnation of an upstream. It is not
// safe for concurrent use.
type Limiter struct {
	opts Options
	// limit is the current limit outside of probes.
	limit int
	// uncontended holds the latest uncontended samples.
	uncontended ring
	// atLimitSamples holds the slot times of the current window, in nanoseconds. Its first
	// atLimitCount elements are in use.
	atLimitSamples [windowSize]float64
	atLimitCount   int
	recentMean     mean
	longTermMean   mean
	failureRate    float64
	// windowCountSinceUncontended counts the windows since the last uncontended sample or the
	// start of the last probe.
	windowCountSinceUncontended int
	// probeSamplesLeft counts the samples that the current probe still needs. It is 0 if no
	// probe is running.
	probeSamplesLeft int
	// contendedWindowCount counts consecutive windows whose ratio (see the constant
	// shrinkRatio) is above shrinkRatio.
	contendedWindowCount int
	// stableWindowCount counts the windows whose ratio is between growRatio and shrinkRatio.
	// They need not be consecutive. A window whose ratio is below growRatio sets
	// stableWindowCount to growAfterWindows, so that the limit is raised at once. The count
	// restarts whenever the limit is changed.
	stableWindowCount int
}

// New returns a Limiter whose initial limit is the announced number of slots.
func New(opts Options) *Limiter {
	opts.Slots = max(opts.Slots, 1)
	if opts.Max <= 0 {
		opts.Max = opts.Slots
	}
	return &Limiter{opts: opts, limit: min(opts.Slots, opts.Max)}
}

// Limit returns the number of requests that may run concurrently, at least 1. During a probe,
// the number is half of the limit that applies otherwise.
func (l *Limiter) Limit() int {
	if l.probeSamplesLeft > 0 {
		return max(l.limit/2, 1)
	}
	return l.limit
}

// Observe records a request that held a slot for slotTime. running is the number of requests
// that were running when the request ended, including itself. A failed request counts only
// towards the failure rate.
func (l *Limiter) Observe(now model.Instant, slotTime time.Duration, running int, failed bool) {
	l.observeFailure(failed)
	if failed || slotTime <= 0 {
		return
	}
	l.recentMean.add(float64(slotTime), recentMeanWeight)
	l.longTermMean.add(float64(slotTime), longTermMeanWeight)
	if running <= (l.limit+1)/2 {
		l.uncontended.add(float64(slotTime))
		l.windowCountSinceUncontended = 0
		l.probeSamplesLeft = max(l.probeSamplesLeft-1, 0)
		return
	}
	if running < l.limit || l.probeSamplesLeft > 0 {
		return
	}
	l.atLimitSamples[l.atLimitCount] = float64(slotTime)
	l.atLimitCount++
	if l.atLimitCount == windowSize {
		l.evaluateWindow()
	}
}

// Annotate returns load with ServiceTime set to the recent mean slot time, and FailureRate to
// the failure rate.
func (l *Limiter) Annotate(load model.Load) model.Load {
	load.ServiceTime = time.Duration(l.recentMean.value)
	load.FailureRate = float32(l.failureRate)
	return load
}

// Slowed reports whether recent requests have taken clearly longer than the long-term
// mean (see slowedRatio).
func (l *Limiter) Slowed() bool { return l.recentMean.value > slowedRatio*l.longTermMean.value }

// observeFailure updates the failure rate.
func (l *Limiter) observeFailure(failed bool) {
	failure := 0.0
	if failed {
		failure = 1
	}
	l.failureRate += (failure - l.failureRate) * failureWeight
}

// evaluateWindow adjusts the limit after a full window of samples at the limit. It does not
// adjust the limit if there are fewer than minUncontendedSamples uncontended samples. It also
// begins a probe if one is due (see probeAfterWindows).
func (l *Limiter) evaluateWindow() {
	atLimitQuantile := lowQuantile(l.atLimitSamples[:])
	l.atLimitCount = 0
	l.windowCountSinceUncontended++
	if l.windowCountSinceUncontended >= probeAfterWindows && l.limit > 1 {
		l.windowCountSinceUncontended, l.probeSamplesLeft = 0, probeSamples
	}
	if l.uncontended.n < minUncontendedSamples {
		return
	}
	ratio := atLimitQuantile / l.uncontended.lowQuantile()
	switch {
	case ratio > shrinkRatio:
		l.contendedWindowCount++
	case ratio < growRatio:
		l.contendedWindowCount, l.stableWindowCount = 0, growAfterWindows
	default:
		l.contendedWindowCount = 0
		l.stableWindowCount++
	}
	l.adjustLimit()
}

// adjustLimit lowers the limit after shrinkAfterWindows consecutive windows with a ratio above
// shrinkRatio. It raises the limit after one window with a ratio below growRatio, or after
// growAfterWindows windows with a ratio between growRatio and shrinkRatio.
func (l *Limiter) adjustLimit() {
	switch {
	case l.contendedWindowCount >= shrinkAfterWindows:
		l.limit = max(l.limit-1, 1)
		l.contendedWindowCount, l.stableWindowCount = 0, 0
	case l.stableWindowCount >= growAfterWindows:
		l.limit = min(l.limit+1, l.opts.Max)
		l.stableWindowCount = 0
	}
}

// lowQuantile returns the quantile comparedQuantile of the samples. It sorts samples in place.
func lowQuantile(samples []float64) float64 {
	slices.Sort(samples)
	return samples[int(comparedQuantile*float64(len(samples)))]
}

// ring holds the latest uncontended slot times, in nanoseconds.
type ring struct {
	samples [uncontendedRingSize]float64
	// next is the index at which the next slot time is stored.
	next int
	// n is the number of stored slot times.
	n int
}

// add stores a slot time. If the ring is full, the oldest slot time is overwritten.
func (r *ring) add(x float64) {
	r.samples[r.next] = x
	r.next = (r.next + 1) % uncontendedRingSize
	r.n = min(r.n+1, uncontendedRingSize)
}

// lowQuantile returns the quantile comparedQuantile of the stored slot times.
func (r *ring) lowQuantile() float64 {
	sorted := r.samples
	return lowQuantile(sorted[:r.n])
}

// mean is an exponentially weighted mean. The first values have equal weights.
type mean struct {
	value float64
	// n is the number of values added so far.
	n int
}

// add updates the mean with the value x. weight is the weight of x once 1/weight values have
// been added. Until then, the mean is the arithmetic mean of all values.
func (m *mean) add(x, weight float64) {
	m.n++
	m.value += (x - m.value) * max(1/float64(m.n), weight)
}
