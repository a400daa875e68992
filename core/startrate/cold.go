package startrate

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// coldWindow is the period in which starts count against ColdLimits.Max, which is a bound on the
	// arrivals in a second.
	coldWindow = time.Second + maxTransit
	// coldReserve is how far the starts without a proof of warmth stay below ColdLimits.Max.
	coldReserve = 2
	// maxTracked bounds the starts that a Cold keeps. A larger ColdLimits.Max is not enforced: no
	// upstream gets that many requests in a second from its guard.
	maxTracked = 4096
)

// ColdLimits are what a cold upstream tolerates. The zero value limits nothing.
type ColdLimits struct {
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

// Cold limits the starts at an upstream while it is cold. It is not safe for concurrent use. The
// zero value limits nothing.
type Cold struct {
	limits ColdLimits
	// starts holds the latest starts, at least limits.Max of them.
	starts startLog
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
func (c *Cold) SetLimits(limits ColdLimits) {
	limits.PeakRate = max(limits.PeakRate, limits.Rate)
	limits.Max = max(limits.Max, int(math.Min(limits.Rate, maxTracked+1)), 1)
	c.limits = limits
}

// Limited reports whether there are limits to enforce.
func (c *Cold) Limited() bool { return c.limits.Rate > 0 && c.limits.Max <= maxTracked }

// IsCold reports whether the upstream is known to be cold.
func (c *Cold) IsCold(now model.Instant) bool { return now < c.coldUntil }

// Observe records a response to a health check that was sent at the instant sent. left is how
// much longer the upstream stays cold, zero if it is warm. Responses to earlier health checks than
// the newest observed one are ignored.
func (c *Cold) Observe(now, sent model.Instant, left time.Duration) {
	if sent < c.observedAt {
		return
	}
	c.observedAt = sent
	if left <= 0 {
		c.warmUntil, c.coldUntil = max(c.warmUntil, sent.Add(-maxTransit)), 0
		return
	}
	if coldSince := sent.Add(left - c.limits.Duration); left <= c.limits.Duration && c.wasWarmBefore(coldSince) {
		c.warmUntil = max(c.warmUntil, coldSince.Add(-maxTransit))
	}
	c.coldUntil = now.Add(c.bound(left))
}

// wasWarmBefore reports whether the upstream was warm before a cold phase that began at the instant
// coldSince. It was not if the known phase began earlier and had not ended by then.
func (c *Cold) wasWarmBefore(coldSince model.Instant) bool {
	knownSince := c.coldUntil.Add(-c.limits.Duration)
	return c.coldUntil == 0 || c.coldUntil <= coldSince || knownSince >= coldSince.Add(-maxTransit)
}

// bound bounds the stated rest of a cold phase by ColdLimits.Duration.
func (c *Cold) bound(left time.Duration) time.Duration {
	if c.limits.Duration > 0 {
		return min(left, c.limits.Duration)
	}
	return left
}

// Report records that the upstream has reported to be cold for the time left. Reports may be late, as may
// responses to health checks that are no proof, so one that says that the upstream is warm proves nothing.
func (c *Cold) Report(now model.Instant, left time.Duration) {
	if left > 0 {
		c.coldUntil = max(c.coldUntil, now.Add(c.bound(left)))
	}
}

// Replaced records that another incarnation of the upstream takes the place of the previous one.
// Health checks sent before prove nothing about it. Earlier starts still count.
func (c *Cold) Replaced(now model.Instant) { c.observedAt, c.coldUntil = now, 0 }

// AssumeFull records as many starts at an instant as ColdLimits.Max allows. It is called when a guard does
// not know what was sent to the upstream until then.
func (c *Cold) AssumeFull(at model.Instant) {
	c.starts.clear()
	c.warmUntil = min(c.warmUntil, at)
	for range min(c.limits.Max, maxTracked) {
		c.starts.add(at, maxTracked)
	}
}

// RecordStart records that a request is sent to the upstream.
func (c *Cold) RecordStart(now model.Instant) {
	if !c.Limited() {
		c.starts.clear()
		return
	}
	c.starts.add(now, c.limits.Max)
}

// NextStart returns the earliest instant, not before now, at which another request may be sent.
func (c *Cold) NextStart(now model.Instant) model.Instant {
	if !c.Limited() {
		return now
	}
	next := c.starts.nextWithin(now, max(c.limits.Max-coldReserve, 1), coldWindow, c.warmUntil)
	if !c.IsCold(now) {
		return next
	}
	paced := paceOf(c.limits.PeakRate).next(&c.starts, now, c.warmUntil)
	return max(next, min(paced, c.coldUntil))
}

// NeedsProof reports whether requests must wait now that could start at once if a health check
// showed that the upstream is warm.
func (c *Cold) NeedsProof(now model.Instant) bool { return !c.IsCold(now) && c.NextStart(now) > now }

// ProofDue reports whether the response to a health check should prove that the upstream is warm: it is known
// to be cold, or half as many starts as ColdLimits.Max allows lack a proof.
func (c *Cold) ProofDue(now model.Instant) bool {
	return c.Limited() && (c.IsCold(now) || c.starts.nextWithin(now, max(c.limits.Max/2, 1), coldWindow, c.warmUntil) > now)
}

// Delay returns how long a request has to wait for its start if ahead other requests start before
// it. It is zero for an upstream that is not known to be cold.
func (c *Cold) Delay(now model.Instant, ahead int) time.Duration {
	if !c.Limited() || !c.IsCold(now) {
		return 0
	}
	p := paceOf(c.limits.Rate)
	next := max(p.next(&c.starts, now, c.warmUntil), c.NextStart(now))
	return min(p.delay(&c.starts, now, next, ahead, c.warmUntil), c.coldUntil.Sub(now))
}
