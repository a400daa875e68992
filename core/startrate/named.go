package startrate

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// namedPeriod is the period in which an upstream gets at most namedOverage times as many requests
	// as its limit allows, plus namedSlack. The starts are counted in namedWindow.
	namedPeriod  = 4 * time.Second
	namedWindow  = namedPeriod + maxTransit
	namedOverage = 1.5
	namedSlack   = 5
	// namedReserve is how far the starts stay below that.
	namedReserve = 2
	// maxNamedRate is the largest limit that is enforced, in requests per second. It bounds the
	// memory for the starts in a namedWindow.
	maxNamedRate = 1000
	// trialRate is the number of requests per second that an upstream gets even if it names a smaller
	// limit. Without them, no response could show that the limit is lifted. An upstream that names its
	// limit in responses to health checks gets none.
	trialRate = 0.25
)

// Statement is what a response states of the limit.
type Statement struct {
	// Limited is set if the response names a limit.
	Limited bool
	// PerSecond is the limit in requests per second.
	PerSecond float64
	// SentAt is when the request or the health check was sent.
	SentAt model.Instant
	// HealthCheck is set for a response to a health check.
	HealthCheck bool
}

// Named limits the starts at an upstream to the number of requests per second that it names. It is not
// safe for concurrent use. The zero value limits nothing.
type Named struct {
	limited   bool
	perSecond float64
	// namedAt is when the limit was last named.
	namedAt model.Instant
	// inHealthChecks is set once a response to a health check has named a limit.
	inHealthChecks bool
	// starts holds the latest starts since the limit was first named.
	starts startLog
	// predecessorEnd is until when another guard may have sent requests to the upstream. It is valid
	// if hasPredecessor is set.
	predecessorEnd model.Instant
	hasPredecessor bool
}

// Limit returns the limit in requests per second, and false if there is none.
func (n *Named) Limit() (perSecond float64, limited bool) { return n.perSecond, n.limited }

// Observe records the statement of a response that arrives now. running is how many requests run in
// the upstream. They count as starts where the limit is new, because the upstream may have got them after
// it had named the limit.
func (n *Named) Observe(now model.Instant, s Statement, running int) {
	if !s.Limited {
		n.lift(s)
		return
	}
	isNew := !n.limited
	n.limited, n.perSecond, n.namedAt = true, s.PerSecond, now
	n.inHealthChecks = n.inHealthChecks || s.HealthCheck
	if isNew {
		n.assumeStartsOfPredecessor(now)
		for range running {
			n.RecordStart(now)
		}
	}
}

// lift ends the limit if a response that does not name it proves that the upstream has lifted it.
func (n *Named) lift(s Statement) {
	if !n.limited || s.SentAt < n.namedAt || s.HealthCheck && !n.inHealthChecks {
		return
	}
	n.limited, n.perSecond = false, 0
	n.starts.clear()
}

// SetPredecessor records that another guard may have sent requests to the upstream until the instant
// end. It is assumed to have kept to the limit.
func (n *Named) SetPredecessor(end model.Instant) { n.predecessorEnd, n.hasPredecessor = end, true }

// assumeStartsOfPredecessor records the starts that another guard may have made in the namedWindow before
// now.
func (n *Named) assumeStartsOfPredecessor(now model.Instant) {
	rate := n.rate()
	if !n.hasPredecessor || now.Sub(n.predecessorEnd) > namedWindow || !n.enforced() || rate <= 0 {
		return
	}
	for i := int(rate * namedWindow.Seconds()); i >= 0; i-- {
		n.RecordStart(n.predecessorEnd.Add(-duration(float64(i) / rate)))
	}
}

// replaced records that another incarnation of the upstream takes the place of the previous one.
func (n *Named) replaced() {
	*n = Named{predecessorEnd: n.predecessorEnd, hasPredecessor: n.hasPredecessor}
}

// enforced reports whether there is a limit to enforce.
func (n *Named) enforced() bool { return n.limited && n.perSecond <= maxNamedRate }

// rate returns the number of requests per second that the upstream gets.
func (n *Named) rate() float64 {
	if n.inHealthChecks {
		return n.perSecond
	}
	return max(n.perSecond, trialRate)
}

// maxInWindow returns the largest number of starts in a namedWindow.
func (n *Named) maxInWindow() int {
	return max(int(math.Floor(namedOverage*n.rate()*namedPeriod.Seconds()+namedSlack))-namedReserve, 1)
}

// RecordStart records that a request is sent to the upstream.
func (n *Named) RecordStart(now model.Instant) {
	if n.enforced() {
		n.starts.add(now, n.maxInWindow())
	}
}

// NextStart returns the earliest instant, not before now, at which another request may be sent.
func (n *Named) NextStart(now model.Instant) model.Instant {
	if !n.enforced() {
		return now
	}
	rate := n.rate()
	if rate <= 0 {
		return now.Add(maxDuration)
	}
	next := n.starts.nextWithin(now, n.maxInWindow(), namedWindow, anyInstant)
	return max(next, paceOf(rate).next(&n.starts, now, anyInstant))
}

// Delay returns how long a request has to wait for its start if ahead other requests start before
// it. It is zero for an upstream that does not limit its rate.
func (n *Named) Delay(now model.Instant, ahead int) time.Duration {
	if !n.enforced() {
		return 0
	}
	next := n.NextStart(now)
	if n.rate() <= 0 {
		return next.Sub(now)
	}
	return paceOf(n.rate()).delay(&n.starts, now, next, ahead, anyInstant)
}
