package warmup

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// maxTransit is the longest time that a request is assumed to take from its start at the guard
	// to its arrival at the upstream on the same VM. It allows for a scheduling delay.
	maxTransit = 50 * time.Millisecond
	// window is the period in which starts count against Limits.Max, which is a bound on the
	// arrivals in a second.
	window = time.Second + maxTransit
	// reserve is how far the starts without a proof of warmth stay below Limits.Max.
	reserve = 2
	// maxTracked bounds the starts that a Limiter keeps. A larger Limits.Max is not enforced: no
	// upstream gets that many requests in a second from its guard.
	maxTracked = 4096
)

// Limits are what a cold upstream tolerates. The zero value limits nothing.
type Limits struct {
	// Rate is the number of requests per second that an upstream known to be cold is expected to
	// get. Zero or less: no limits are enforced.
	Rate float64
	// PeakRate is the number of requests per second that it gets at most, while more wait. Values
	// below Rate are raised to Rate.
	PeakRate float64
	// Max is the largest number of requests in any period of one second. Values below Rate are
	// raised to Rate, values below 1 to 1.
	Max int
	// Duration is the longest time that an upstream stays cold, zero if unknown. Statements of a
	// longer time are cut to it.
	Duration time.Duration
}

// Limiter limits the starts of requests at one upstream. It is not safe for concurrent use. The
// zero value limits nothing.
type Limiter struct {
	limits Limits
	// starts holds the latest starts in ascending order, at most limits.Max of them.
	starts []model.Instant
	// warmUntil is the latest instant for which it is proven that all earlier starts arrived at a
	// warm upstream.
	warmUntil model.Instant
	// coldUntil is the expected end of the current cold phase, zero if no cold phase is known.
	coldUntil model.Instant
	// observedAt is when the newest health check that was observed had been sent.
	observedAt model.Instant
}

// SetLimits changes the limits. Starts in the past count against the new limits as far as they
// are still kept.
func (l *Limiter) SetLimits(limits Limits) {
	limits.PeakRate = max(limits.PeakRate, limits.Rate)
	limits.Max = max(limits.Max, int(math.Min(limits.Rate, maxTracked+1)), 1)
	l.limits = limits
}

// Limited reports whether there are limits to enforce.
func (l *Limiter) Limited() bool { return l.limits.Rate > 0 && l.limits.Max <= maxTracked }

// IsCold reports whether the upstream is known to be cold.
func (l *Limiter) IsCold(now model.Instant) bool { return now < l.coldUntil }

// Observe records a response to a health check that was sent at the instant sent. left is how
// much longer the upstream stays cold, zero if it is warm. Responses to earlier health checks than
// the newest observed one are ignored.
func (l *Limiter) Observe(now, sent model.Instant, left time.Duration) {
	if sent < l.observedAt {
		return
	}
	l.observedAt = sent
	if left <= 0 {
		l.warmUntil, l.coldUntil = max(l.warmUntil, sent.Add(-maxTransit)), 0
		return
	}
	if coldSince := sent.Add(left - l.limits.Duration); left <= l.limits.Duration && l.wasWarmBefore(coldSince) {
		l.warmUntil = max(l.warmUntil, coldSince.Add(-maxTransit))
	}
	l.coldUntil = now.Add(l.bound(left))
}

// wasWarmBefore reports whether the upstream was warm before a cold phase that began at the instant
// coldSince. It was not if the known phase began earlier and had not ended by then.
func (l *Limiter) wasWarmBefore(coldSince model.Instant) bool {
	knownSince := l.coldUntil.Add(-l.limits.Duration)
	return l.coldUntil == 0 || l.coldUntil <= coldSince || knownSince >= coldSince.Add(-maxTransit)
}

// bound bounds the stated rest of a cold phase by Limits.Duration.
func (l *Limiter) bound(left time.Duration) time.Duration {
	if l.limits.Duration > 0 {
		return min(left, l.limits.Duration)
	}
	return left
}

// Report records that the upstream has reported to be cold for the time left. Reports may be late,
// so one that says that the upstream is warm proves nothing.
func (l *Limiter) Report(now model.Instant, left time.Duration) {
	if left > 0 {
		l.coldUntil = max(l.coldUntil, now.Add(l.bound(left)))
	}
}

// Replaced records that another incarnation of the upstream takes the place of the previous one.
// Health checks sent before prove nothing about it. Earlier starts still count.
func (l *Limiter) Replaced(now model.Instant) { l.observedAt, l.coldUntil = now, 0 }

// AssumeFull records as many starts at an instant as Limits.Max allows. It is called when a guard does
// not know what was sent to the upstream until then.
func (l *Limiter) AssumeFull(at model.Instant) {
	l.starts, l.warmUntil = l.starts[:0], min(l.warmUntil, at)
	for range min(l.limits.Max, maxTracked) {
		l.starts = append(l.starts, at)
	}
}

// RecordStart records that a request is sent to the upstream.
func (l *Limiter) RecordStart(now model.Instant) {
	if !l.Limited() {
		l.starts = l.starts[:0]
		return
	}
	if excess := len(l.starts) + 1 - l.limits.Max; excess > 0 {
		l.starts = append(l.starts[:0], l.starts[excess:]...)
	}
	l.starts = append(l.starts, now)
}

// NextStart returns the earliest instant, not before now, at which another request may be sent.
func (l *Limiter) NextStart(now model.Instant) model.Instant {
	if !l.Limited() {
		return now
	}
	next := l.nextWithin(now, max(l.limits.Max-reserve, 1), window)
	if !l.IsCold(now) {
		return next
	}
	paced := l.nextPaced(now, l.limits.PeakRate)
	return max(next, min(paced, l.coldUntil))
}

// nextPaced returns the earliest instant, not before now, at which a start does not exceed a rate.
func (l *Limiter) nextPaced(now model.Instant, rate float64) model.Instant {
	n, period := pacing(rate)
	return l.nextWithin(now, n, period)
}

// pacing returns how many starts make up a rate, and in which period: whole starts, in at least a
// second.
func pacing(rate float64) (n int, period time.Duration) {
	starts := max(math.Floor(rate), 1)
	return int(starts), time.Duration(starts / rate * float64(time.Second))
}

// nextWithin returns the earliest instant, not before now, at which fewer than n starts without a
// proof of warmth lie within the preceding period.
func (l *Limiter) nextWithin(now model.Instant, n int, period time.Duration) model.Instant {
	i := len(l.starts) - n
	if i < 0 || l.starts[i] < l.warmUntil {
		return now
	}
	return max(now, l.starts[i].Add(period))
}

// NeedsProof reports whether requests must wait now that could start at once if a health check
// showed that the upstream is warm.
func (l *Limiter) NeedsProof(now model.Instant) bool { return !l.IsCold(now) && l.NextStart(now) > now }

// Delay returns how long a request has to wait for its start if ahead other requests start before
// it. It is zero for an upstream that is not known to be cold.
func (l *Limiter) Delay(now model.Instant, ahead int) time.Duration {
	if !l.Limited() || !l.IsCold(now) {
		return 0
	}
	n, period := pacing(l.limits.Rate)
	next := max(l.nextPaced(now, l.limits.Rate), l.NextStart(now))
	if next == now {
		// The first of the requests, and those for which there is room, do not wait.
		ahead -= n - 1 - l.startsSince(now.Add(-period))
	}
	delay := next.Sub(now) + time.Duration(float64(max(ahead, 0))/l.limits.Rate*float64(time.Second))
	return min(delay, l.coldUntil.Sub(now))
}

// startsSince counts the starts after an instant that lack a proof of warmth.
func (l *Limiter) startsSince(instant model.Instant) int {
	n := 0
	for i := len(l.starts) - 1; i >= 0 && l.starts[i] > max(instant, l.warmUntil); i-- {
		n++
	}
	return n
}
