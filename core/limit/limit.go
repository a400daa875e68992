package limit

import (
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Options configure a Limiter.
type Options struct {
	// Slots is the announced number of slots, at least 1. The limit starts
	// there.
	Slots int
	// Max is the largest limit. Default: Slots, so that an upstream never runs
	// more than it announced.
	Max int
}

const (
	// busyWindow is the number of requests at the limit that one decision
	// weighs, quietWindow the number of undisturbed ones remembered, and
	// quietEnough how many of these a decision needs.
	windowSize      = 256
	uncontendedSize = 128
	minUncontended  = 64
	// quantile is compared between the two.
	comparedQuantile = 0.1
	// shrinkRatio is the ratio of slot times (at the limit to undisturbed) above
	// which the limit falls, growRatio the one below which it rises.
	shrinkRatio = 1.5
	growRatio   = 1.2
	// crowdedFor is the number of windows in a row above shrinkRatio that lower
	// the limit, holdFor the number between the two ratios that raise it, so
	// that a limit lowered by mistake comes back.
	shrinkAfter = 2
	growAfter   = 8
	// meanWeight makes the mean slot time cover about 32 requests.
	meanWeight = 1.0 / 32
	// usualWeight makes the usual slot time cover about 2048 requests, and
	// slowedRatio is the ratio of the mean to it from which requests count as
	// slowed.
	longTermWeight = 1.0 / 2048
	slowedRatio    = 1.5
	// failWeight makes the failing share cover about 8 requests.
	failureWeight = 1.0 / 8
	// probeEvery is the number of busy windows without an undisturbed request
	// after which probeLength requests run at half the limit.
	probeEvery  = 32
	probeLength = 32
)

// Limiter holds the concurrency limit of one incarnation of an upstream. It is
// not safe for concurrent use.
type Limiter struct {
	opts         Options
	limit        int
	uncontended  ring
	atLimit      [windowSize]float64
	atLimitCount int
	recentMean   mean
	longTermMean mean
	failureRate  float64
	// dull counts busy windows since the last undisturbed request, probe the
	// requests left of a probe.
	windowsWithoutUncontended int
	probeRemaining            int
	// crowded and held count windows; see move.
	contendedWindows, stableWindows int
}

// New returns a Limiter at the announced slots.
func New(opts Options) *Limiter {
	opts.Slots = max(opts.Slots, 1)
	if opts.Max <= 0 {
		opts.Max = opts.Slots
	}
	return &Limiter{opts: opts, limit: min(opts.Slots, opts.Max)}
}

// Limit returns the number of requests that may run at once, at least 1.
func (l *Limiter) Limit() int {
	if l.probeRemaining > 0 {
		return max(l.limit/2, 1)
	}
	return l.limit
}

// Observe takes in a request that held a slot for used while running requests,
// itself among them, ran when it ended.
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

// Annotate returns the load with the mean slot time and the failing share
// filled in.
func (l *Limiter) Annotate(load model.Load) model.Load {
	load.Service = time.Duration(l.recentMean.value)
	load.Failing = float32(l.failureRate)
	return load
}

// Slowed reports whether requests lately take clearly longer than usual.
func (l *Limiter) Slowed() bool { return l.recentMean.value > slowedRatio*l.longTermMean.value }

func (l *Limiter) observeFailure(failed bool) {
	failure := 0.0
	if failed {
		failure = 1
	}
	l.failureRate += (failure - l.failureRate) * failureWeight
}

// decide moves the limit by the busy window just filled.
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

// move shrinks the limit after crowded windows in a row, and grows it after
// a clear one or when it has been held for a while.
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

// lowQuantile sorts the samples.
func lowQuantile(samples []float64) float64 {
	slices.Sort(samples)
	return samples[int(comparedQuantile*float64(len(samples)))]
}

// ring remembers the last undisturbed slot times.
type ring struct {
	samples [uncontendedSize]float64
	next, n int
}

func (r *ring) add(x float64) {
	r.samples[r.next] = x
	r.next = (r.next + 1) % uncontendedSize
	r.n = min(r.n+1, uncontendedSize)
}

func (r *ring) lowQuantile() float64 {
	sorted := r.samples
	return lowQuantile(sorted[:r.n])
}

// mean is an exponentially weighted mean that starts as a plain one.
type mean struct {
	value float64
	n     int
}

func (m *mean) add(x, weight float64) {
	m.n++
	m.value += (x - m.value) * max(1/float64(m.n), weight)
}
