package routing

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

const (
	failureWeight = 1.0 / 4
	// ejectThreshold is the failing share from which an upstream is ejected, when
	// at least wellShare of the pool fails less than wellBelow. A request that
	// fails everywhere leaves none well and so ejects nobody.
	ejectThreshold  = 0.5
	healthyBelow    = 0.25
	minHealthyShare = 1.0 / 3
	// baseEjectionTime is doubled with each ejection in a row up to lastEjection.
	baseEjectionTime = 200 * time.Millisecond
	maxEjectionTime  = 10 * time.Second
	// baseUnreachableTime is the first ejection of an upstream that cannot be
	// reached.
	baseUnreachableTime = 500 * time.Millisecond
	// panicThreshold is the share of ejected upstreams above which ejections are
	// ignored.
	panicThreshold = 0.5
)

// health is how recent attempts at an upstream ended.
type health struct {
	failureRate  float64
	unhealthy    bool
	ejected      bool
	ejectionTime time.Duration
	retryAt      model.Instant
	// unreachable is set on ejected upstreams to which no connection could be
	// made. They are no help to a drowning pool, so they count for no panic.
	unreachable bool
}

// mayRetry reports whether an ejected upstream may be tried with one request.
func (c *candidate) mayRetry(now model.Instant) bool {
	return now >= c.retryAt && c.inFlight == 0
}

// failed reports whether a reply speaks against the upstream. Refusals by the
// guard's own policy do not.
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

// judged reports whether a reply says anything about the upstream.
func (reply Reply) conclusive() bool {
	return reply.failed() || reply.Outcome.Kind == outcome.Answered
}

// judge ejects an upstream that fails where others do not, and takes it back
// after an attempt that went well.
func (r *Router) updateHealth(now model.Instant, c *candidate, reply Reply) {
	if reply.HasLoad {
		c.lastReplyAt = now
	}
	if !reply.conclusive() {
		return
	}
	failure := 0.0
	if reply.failed() {
		failure = 1
	}
	c.failureRate += (failure - c.failureRate) * failureWeight
	r.updateHealthy(c)
	switch {
	case reply.Outcome.Reason == outcome.ReasonConnect:
		r.ejectUnreachable(now, c)
	case c.ejected && failure == 0:
		r.restore(c)
	case c.ejected:
		r.eject(now, c)
	case c.failureRate > ejectThreshold && float64(r.pool.healthy) >= minHealthyShare*float64(len(r.candidates)):
		r.eject(now, c)
	}
}

// eject leaves the upstream out for longer each time in a row.
func (r *Router) eject(now model.Instant, c *candidate) {
	if c.ejected && now < c.retryAt {
		return
	}
	r.setEjected(c, true, false)
	c.ejectionTime = min(max(2*c.ejectionTime, baseEjectionTime), maxEjectionTime)
	c.retryAt = now.Add(c.ejectionTime)
}

// ejectUnreachable leaves out an upstream to which no connection could be made
// and, when nothing has been heard from its zone since, the rest of the zone.
func (r *Router) ejectUnreachable(now model.Instant, c *candidate) {
	if c.ejected && now < c.retryAt {
		return
	}
	duration := min(max(2*c.ejectionTime, baseUnreachableTime), maxEjectionTime)
	zoneReachable := r.zoneReplied(now, c)
	for _, other := range r.candidates {
		sameZone := other.upstream.Zone == c.upstream.Zone
		if other != c && (zoneReachable || !sameZone) {
			continue
		}
		r.setEjected(other, true, true)
		other.ejectionTime = duration
		other.retryAt = now.Add(duration)
	}
}

// zoneHeard reports whether another upstream of the candidate's zone has
// replied lately; the own zone is always taken to be there.
func (r *Router) zoneReplied(now model.Instant, c *candidate) bool {
	if c.upstream.Zone == r.opts.Zone {
		return true
	}
	for _, other := range r.candidates {
		if other != c && other.upstream.Zone == c.upstream.Zone && now.Sub(other.lastReplyAt) < zoneReplyTimeout {
			return true
		}
	}
	return false
}

// zoneSilence is the time without a reply after which one failed connection
// speaks against a whole zone.
const zoneReplyTimeout = 40 * time.Millisecond

// setEjected keeps the pool's counts true.
func (r *Router) setEjected(c *candidate, ejected, unreachable bool) {
	if ejected && !c.ejected {
		r.stats.Ejections++
	}
	r.countEjected(c, -1)
	c.ejected, c.unreachable = ejected, unreachable
	r.countEjected(c, 1)
}

func (r *Router) countEjected(c *candidate, n int) {
	switch {
	case c.unreachable:
		r.pool.unreachable += n
	case c.ejected:
		r.pool.ejected += n
	}
}

func (r *Router) restore(c *candidate) {
	r.setEjected(c, false, false)
	c.ejectionTime = 0
	c.failureRate = 0
	r.updateHealthy(c)
}

// countWell keeps the pool's number of upstreams that do not fail.
func (r *Router) updateHealthy(c *candidate) {
	unhealthy := c.failureRate >= healthyBelow
	if unhealthy == c.unhealthy {
		return
	}
	c.unhealthy = unhealthy
	if unhealthy {
		r.pool.healthy--
	} else {
		r.pool.healthy++
	}
}

// panicking reports whether so many upstreams are ejected that the rest would
// drown; then ejections are ignored.
func (r *Router) panicking() bool {
	reachable := len(r.candidates) - r.pool.unreachable
	if r.pool.ejected == 0 || float64(r.pool.ejected) <= panicThreshold*float64(reachable) {
		return false
	}
	r.stats.Panics++
	return true
}
