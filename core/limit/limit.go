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
	// Max is the largest allowed limit. Default: Slots, so that an upstream never runs
	// more requests than it announced.
	Max int
}

const (
	// windowSize is the number of samples at the limit that one decision is based on,
	// uncontendedSize the number of uncontended samples that are kept, and
	// minUncontended the number of those that a decision needs.
	windowSize      = 256
	uncontendedSize = 128
	minUncontended  = 64
	// comparedQuantile is the quantile that is compared between the two kinds of
	// samples.
	comparedQuantile = 0.1
	// The slot time at the limit is divided by the uncontended slot time. The limit is
	// lowered if this ratio is above shrinkRatio, and raised if it is below growRatio.
	shrinkRatio = 1.5
	growRatio   = 1.2
	// shrinkAfter is the number of consecutive windows above shrinkRatio that lower the
	// limit. growAfter is the number of windows between the two ratios that raise it,
	// so that a limit lowered by mistake rises again.
	shrinkAfter = 2
	growAfter   = 8
	// meanWeight makes the recent mean slot time cover about 32 requests.
	meanWeight = 1.0 / 32
	// longTermWeight makes the long-term mean slot time cover about 2048 requests.
	// Requests count as slowed if the recent mean is more than slowedRatio times the
	// long-term mean.
	longTermWeight = 1.0 / 2048
	slowedRatio    = 1.5
	// failureWeight makes the failure rate cover about 8 requests.
	failureWeight = 1.0 / 8
	// After probeEvery windows without an uncontended sample, probeLength requests run
	// at half the limit.
	probeEvery  = 32
	probeLength = 32
)

// Limiter holds the concurrency limit for one incarnation of an upstream. It is not
// safe for concurrent use.
type Limiter struct {
	opts        Options
	limit       int
	uncontended ring
	// atLimit[:atLimitCount] are the slot times of the current window, in nanoseconds.
	atLimit      [windowSize]float64
	atLimitCount int
	recentMean   mean
	longTermMean mean
	failureRate  float64
	// windowsWithoutUncontended counts the windows since the last uncontended sample.
	// probeRemaining counts the samples that the current probe still needs.
	windowsWithoutUncontended int
	probeRemaining            int
	// contendedWindows counts consecutive windows above shrinkRatio. stableWindows
	// counts windows between the two ratios; a window below growRatio sets it to
	// growAfter.
	contendedWindows int
	stableWindows    int
}

// New returns a Limiter whose initial limit is the announced number of slots.
func New(opts Options) *Limiter {
	opts.Slots = max(opts.Slots, 1)
	if opts.Max <= 0 {
		opts.Max = opts.Slots
	}
	return &Limiter{opts: opts, limit: min(opts.Slots, opts.Max)}
}

// Limit returns the number of requests that may run concurrently, at least 1.
func (l *Limiter) Limit() int {
	if l.probeRemaining > 0 {
		return max(l.limit/2, 1)
	}
	return l.limit
}

// Observe records a request that held a slot for slotTime. running is the number of
// requests that were running when it ended, including itself.
func (l *Limiter) Observe(now model.Instant, slotTime time.Duration, running int, failed bool) {
	l.observeFailure(failed)
	if failed || slotTime <= 0 {
		return
	}
	l.recentMean.add(float64(slotTime), meanWeight)
	l.longTermMean.add(float64(slotTime), longTermWeight)
	if running <= (l.limit+1)/2 {
		l.uncontended.add(float64(slotTime))
		l.windowsWithoutUncontended = 0
		l.probeRemaining = max(l.probeRemaining-1, 0)
		return
	}
	if running < l.limit || l.probeRemaining > 0 {
		return
	}
	l.atLimit[l.atLimitCount] = float64(slotTime)
	l.atLimitCount++
	if l.atLimitCount == windowSize {
		l.evaluateWindow()
	}
}

// Annotate returns the load with the mean slot time and the failure rate filled in.
func (l *Limiter) Annotate(load model.Load) model.Load {
	load.ServiceTime = time.Duration(l.recentMean.value)
	load.FailureRate = float32(l.failureRate)
	return load
}

// Slowed reports whether recent requests have taken clearly longer than the long-term
// mean.
func (l *Limiter) Slowed() bool { return l.recentMean.value > slowedRatio*l.longTermMean.value }

// observeFailure updates the failure rate.
func (l *Limiter) observeFailure(failed bool) {
	failure := 0.0
	if failed {
		failure = 1
	}
	l.failureRate += (failure - l.failureRate) * failureWeight
}

// evaluateWindow adjusts the limit after a full window of samples at the limit.
func (l *Limiter) evaluateWindow() {
	atLimit := lowQuantile(l.atLimit[:])
	l.atLimitCount = 0
	l.windowsWithoutUncontended++
	if l.windowsWithoutUncontended >= probeEvery && l.limit > 1 {
		l.windowsWithoutUncontended, l.probeRemaining = 0, probeLength
	}
	if l.uncontended.n < minUncontended {
		return
	}
	ratio := atLimit / l.uncontended.lowQuantile()
	switch {
	case ratio > shrinkRatio:
		l.contendedWindows++
	case ratio < growRatio:
		l.contendedWindows, l.stableWindows = 0, growAfter
	default:
		l.contendedWindows = 0
		l.stableWindows++
	}
	l.adjustLimit()
}

// adjustLimit lowers the limit after consecutive contended windows. It raises the limit
// after one window below growRatio or several between the two ratios.
func (l *Limiter) adjustLimit() {
	switch {
	case l.contendedWindows >= shrinkAfter:
		l.limit = max(l.limit-1, 1)
		l.contendedWindows, l.stableWindows = 0, 0
	case l.stableWindows >= growAfter:
		l.limit = min(l.limit+1, l.opts.Max)
		l.stableWindows = 0
	}
}

// lowQuantile returns the comparedQuantile of the samples. It sorts them in place.
func lowQuantile(samples []float64) float64 {
	slices.Sort(samples)
	return samples[int(comparedQuantile*float64(len(samples)))]
}

// ring holds the latest uncontended slot times, in nanoseconds.
type ring struct {
	samples [uncontendedSize]float64
	next    int
	n       int
}

// add stores a slot time in place of the oldest one.
func (r *ring) add(x float64) {
	r.samples[r.next] = x
	r.next = (r.next + 1) % uncontendedSize
	r.n = min(r.n+1, uncontendedSize)
}

// lowQuantile returns the comparedQuantile of the stored slot times.
func (r *ring) lowQuantile() float64 {
	sorted := r.samples
	return lowQuantile(sorted[:r.n])
}

// mean is an exponentially weighted mean. The first values have equal weights.
type mean struct {
	value float64
	n     int
}

// add updates the mean with a value.
func (m *mean) add(x, weight float64) {
	m.n++
	m.value += (x - m.value) * max(1/float64(m.n), weight)
}
