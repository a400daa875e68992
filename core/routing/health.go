package routing

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

const (
	// failureWeight is the weight of a new result in the moving average
	// health.failureRate.
	failureWeight = 1.0 / 4
	// ejectionFailureRate is the failure rate above which an upstream is ejected, provided that
	// enough others are healthy (see minHealthyShare).
	ejectionFailureRate = 0.5
	// healthyFailureRate is the failure rate below which an upstream counts as healthy.
	healthyFailureRate = 0.25
	// minHealthyShare is the share of the pool that must be healthy for an ejection. A
	// kind of request that fails on every upstream leaves none of them healthy and
	// therefore ejects none.
	minHealthyShare = 1.0 / 3
	// baseEjectionTime is the length of the first ejection. The length doubles with each
	// consecutive ejection, up to maxEjectionTime.
	baseEjectionTime = 200 * time.Millisecond
	// maxEjectionTime is the longest ejection.
	maxEjectionTime = 10 * time.Second
	// baseUnreachableTime is the length of the first ejection of an upstream to which no
	// connection can be made.
	baseUnreachableTime = 500 * time.Millisecond
	// panicThreshold is the share of the reachable upstreams that may be ejected. While
	// more are ejected, ejections are ignored (panic mode).
	panicThreshold = 0.5
)

// health tracks the results of recent attempts at one upstream.
type health struct {
	// failureRate is a moving average of the results, from 0 (success) to 1 (failure).
	failureRate float64
	// unhealthy is set if failureRate is at least healthyFailureRate.
	unhealthy bool
	// ejected is set while the upstream gets no requests, apart from trial requests and in
	// panic mode.
	ejected bool
	// ejectionTime is the duration of the latest ejection. It is 0 while the upstream is
	// not ejected.
	ejectionTime time.Duration
	// trialAt is the instant from which a trial request is allowed.
	trialAt model.Instant
	// unreachable is set if the upstream is ejected because a connection attempt to it, or to
	// another upstream of its zone, failed. Requests sent to an unreachable upstream would not
	// relieve an overloaded pool, so such upstreams do not count towards panic mode.
	unreachable bool
}

// allowsTrial reports whether one trial request may be sent to an ejected upstream.
func (c *candidate) allowsTrial(now model.Instant) bool {
	return now >= c.trialAt && c.inFlight == 0
}

// failed reports whether the reply shows a failure of the upstream. A rejection that the
// guard itself decided, for example to shed load, is not a failure of the upstream.
func (reply Reply) failed() bool {
	if reply.Failed {
		return true
	}
	switch reply.Outcome.Reason {
	case outcome.ReasonUpstreamRefused, outcome.ReasonConnect, outcome.ReasonConnectionLost,
		outcome.ReasonUpstreamCrashed, outcome.ReasonTruncated:
		return true
	default:
		return false
	}
}

// conclusive reports whether the reply shows that the upstream works or that it fails.
func (reply Reply) conclusive() bool {
	return reply.failed() || reply.Outcome.Kind == outcome.Answered
}

// updateHealth updates the health of an upstream after a reply. It ejects an upstream that
// fails while others do not, and ends the ejection after a successful attempt. A reply that is
// not conclusive changes only lastLoadReplyAt.
func (r *Router) updateHealth(now model.Instant, c *candidate, reply Reply) {
	if reply.HasLoad {
		c.lastLoadReplyAt = now
	}
	if !reply.conclusive() {
		return
	}
	failure := 0.0
	if reply.failed() {
		failure = 1
	}
	c.failureRate += (failure - c.failureRate) * failureWeight
	r.updateHealthyCount(c)
	switch {
	case reply.Outcome.Reason == outcome.ReasonConnect:
		r.ejectUnreachable(now, c)
	case c.ejected && failure == 0:
		r.restore(c)
	case c.ejected:
		r.eject(now, c)
	case c.failureRate > ejectionFailureRate && float64(r.pool.healthyCount) >= minHealthyShare*float64(len(r.candidates)):
		r.eject(now, c)
	}
}

// eject ejects the upstream: it gets no requests, apart from one trial request at a time once
// c.ejectionTime has passed. Each consecutive ejection lasts twice as long, up to
// maxEjectionTime. eject does nothing if the upstream is ejected and its trial request is not
// due yet.
func (r *Router) eject(now model.Instant, c *candidate) {
	if c.ejected && now < c.trialAt {
		return
	}
	r.setEjected(c, true, false)
	c.ejectionTime = min(max(2*c.ejectionTime, baseEjectionTime), maxEjectionTime)
	c.trialAt = now.Add(c.ejectionTime)
}

// ejectUnreachable ejects an upstream after a failed connection attempt. If no other
// upstream of its zone has replied recently, the whole zone is ejected (see zoneReachable).
func (r *Router) ejectUnreachable(now model.Instant, c *candidate) {
	if c.ejected && now < c.trialAt {
		return
	}
	duration := min(max(2*c.ejectionTime, baseUnreachableTime), maxEjectionTime)
	zoneReachable := r.zoneReachable(now, c)
	for _, other := range r.candidates {
		sameZone := other.upstream.Zone == c.upstream.Zone
		if other != c && (zoneReachable || !sameZone) {
			continue
		}
		r.setEjected(other, true, true)
		other.ejectionTime = duration
		other.trialAt = now.Add(duration)
	}
}

// zoneReachable reports whether a reply with a load was received from another upstream of
// the candidate's zone within the last zoneReplyTimeout. It always reports true for the
// entry's own zone.
func (r *Router) zoneReachable(now model.Instant, c *candidate) bool {
	if c.upstream.Zone == r.opts.Zone {
		return true
	}
	for _, other := range r.candidates {
		if other != c && other.upstream.Zone == c.upstream.Zone && now.Sub(other.lastLoadReplyAt) < zoneReplyTimeout {
			return true
		}
	}
	return false
}

// zoneReplyTimeout is how long a zone may send no reply before one failed connection
// attempt ejects all of its upstreams.
const zoneReplyTimeout = 40 * time.Millisecond

// setEjected changes the ejection state of a candidate. It also updates the pool's counters and
// Stats.Ejections.
func (r *Router) setEjected(c *candidate, ejected, unreachable bool) {
	if ejected && !c.ejected {
		r.stats.Ejections++
	}
	r.countEjected(c, -1)
	c.ejected, c.unreachable = ejected, unreachable
	r.countEjected(c, 1)
}

// countEjected adds delta to the pool's count of unreachable upstreams or of other ejected
// upstreams, whichever includes the candidate. It does nothing if the candidate is not
// ejected.
func (r *Router) countEjected(c *candidate, delta int) {
	switch {
	case c.unreachable:
		r.pool.unreachableCount += delta
	case c.ejected:
		r.pool.ejectedCount += delta
	}
}

// restore ends the ejection of a candidate and sets its failure rate to 0.
func (r *Router) restore(c *candidate) {
	r.setEjected(c, false, false)
	c.ejectionTime = 0
	c.failureRate = 0
	r.updateHealthyCount(c)
}

// updateHealthyCount updates the candidate's unhealthy field and the pool's number of
// healthy upstreams.
func (r *Router) updateHealthyCount(c *candidate) {
	unhealthy := c.failureRate >= healthyFailureRate
	if unhealthy == c.unhealthy {
		return
	}
	c.unhealthy = unhealthy
	if unhealthy {
		r.pool.healthyCount--
	} else {
		r.pool.healthyCount++
	}
}

// checkPanicMode reports whether so many upstreams are ejected that the others would be
// overloaded (see panicThreshold). In that case the caller ignores the ejections, and
// checkPanicMode counts the placement in Stats.Panics.
func (r *Router) checkPanicMode() bool {
	reachableCount := len(r.candidates) - r.pool.unreachableCount
	if r.pool.ejectedCount == 0 || float64(r.pool.ejectedCount) <= panicThreshold*float64(reachableCount) {
		return false
	}
	r.stats.Panics++
	return true
}
