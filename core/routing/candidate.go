package routing

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// candidate is what one entry knows about one upstream.
type candidate struct {
	upstream model.Upstream
	// oneWayDelay is the network delay from this entry to the upstream's guard.
	oneWayDelay time.Duration
	// load is the latest load received. It is not set while hasLoad is false.
	load model.Load
	// loadReceivedAt is when load was received.
	loadReceivedAt model.Instant
	// hasLoad is set once a load has been received.
	hasLoad bool
	// inFlight counts this entry's unfinished requests at the upstream.
	inFlight int32
	// inFlightAtLoad is the value that inFlight had when load was received.
	inFlightAtLoad int32
	// unansweredCount counts the requests sent since the last reply. All requests that were
	// already in flight at that reply count as one request together.
	unansweredCount int32
	// silentSince is when the wait for the next reply began. If requests were in flight
	// at the last reply, it is the time of that reply. Otherwise it is the time at which
	// the next request was sent.
	silentSince model.Instant
	// lastLoadReplyAt is when the last reply that carried a load was received. Only the
	// upstream's daemon sends loads, so the upstream's zone was reachable at that time.
	lastLoadReplyAt model.Instant
	// rampEnd is when the upstream may first use its full capacity. See rampFraction.
	rampEnd model.Instant
	// queueShares estimates how many of the waiting requests delay a request of a group.
	queueShares queueShares
	health
}

// longAgo is an instant before the start of the process. It stands for "never" in
// candidate.lastLoadReplyAt.
const longAgo = model.Instant(-1 << 62)

// pool holds statistics over all candidates of a Router, and the group of the request that is
// being placed.
type pool struct {
	// medianServiceTime estimates the median of the upstreams' mean service times, in
	// nanoseconds.
	medianServiceTime float64
	// meanOtherRequestsPerSlot is the mean number of requests per slot that other entries have
	// at an upstream.
	meanOtherRequestsPerSlot float64
	// ejectedCount counts the upstreams that are ejected because of failed requests.
	ejectedCount int
	// unreachableCount counts the upstreams that are ejected because a connection attempt
	// failed.
	unreachableCount int
	// healthyCount counts the upstreams whose failure rate is below healthyFailureRate.
	healthyCount int
	// placingGroup is the group of the request that is being placed. It is empty while
	// no request is being placed.
	placingGroup model.GroupName
}

const (
	// otherRequestsWeight is the weight of a new load in the moving average
	// pool.meanOtherRequestsPerSlot.
	otherRequestsWeight = 1.0 / 64
	// medianStep is the relative change of pool.medianServiceTime for each mean service time
	// that an upstream reports.
	medianStep = 0.01
)

// observe updates the statistics with the new load of a candidate.
func (p *pool) observe(c *candidate) {
	perSlot := c.otherRequests() / float64(c.limit())
	p.meanOtherRequestsPerSlot += (perSlot - p.meanOtherRequestsPerSlot) * otherRequestsWeight
	serviceTime := float64(c.load.ServiceTime)
	switch {
	case serviceTime == 0:
	case p.medianServiceTime == 0:
		p.medianServiceTime = serviceTime
	case serviceTime > p.medianServiceTime:
		p.medianServiceTime *= 1 + medianStep
	default:
		p.medianServiceTime /= 1 + medianStep
	}
}

// limit returns how many requests the upstream may run concurrently.
func (c *candidate) limit() int32 {
	if c.load.Limit > 0 {
		return c.load.Limit
	}
	return int32(max(c.upstream.Slots, 1))
}

// otherRequests returns how many requests of other entries were at the upstream
// according to the latest load.
func (c *candidate) otherRequests() float64 {
	return float64(max(c.load.Running+c.load.Waiting-c.inFlightAtLoad, 0))
}

// loadHalfLife is the age at which a load has half its weight in the estimated number of other
// entries' requests. The unit is the typical service time (see pool.typicalServiceTime).
const loadHalfLife = 2

// estimatedRequests estimates how many requests are at the upstream now. This entry's own
// requests are known exactly. The number of requests of other entries decays from the last
// reported value towards the mean over all upstreams. That mean is capped at the limit of the
// upstream, which corresponds to a full upstream without a queue. The reason for the cap: an
// upstream that all entries have stopped using is probably idle, and only a request sent there
// can confirm that. Of the requests beyond saturation (see saturationFactor), only those that
// delay the request being placed are included (see requestsAheadOf).
func (c *candidate) estimatedRequests(now model.Instant, p *pool) float64 {
	meanOtherRequests := min(p.meanOtherRequestsPerSlot, 1) * float64(c.limit())
	if !c.hasLoad {
		return meanOtherRequests + float64(c.inFlight)
	}
	age := float64(max(now.Sub(c.loadReceivedAt), 0))
	weight := 1.0
	if p.medianServiceTime > 0 {
		weight = 1 / (1 + age/(loadHalfLife*p.medianServiceTime))
	}
	return c.requestsAheadOf(float64(c.inFlight)+meanOtherRequests+(c.otherRequests()-meanOtherRequests)*weight, p.placingGroup)
}

// recordSent counts a request that is sent to the upstream.
func (c *candidate) recordSent(now model.Instant) {
	c.inFlight++
	if c.unansweredCount == 0 {
		c.silentSince = now
	}
	c.unansweredCount++
}

// recordReply records that a reply from the upstream was received. One request is then no longer
// in flight. If other requests are still in flight, a new silence begins now.
func (c *candidate) recordReply(now model.Instant) {
	c.inFlight = max(c.inFlight-1, 0)
	c.unansweredCount = 0
	c.silentSince = now
	if c.inFlight > 0 {
		c.unansweredCount = 1
	}
}

const (
	// stuckUnanswered is the lowest number of unanswered requests at which an upstream
	// can count as stuck. The silence must also be long enough; see stuckSilence.
	stuckUnanswered = 2
	// stuckSilence is the longest silence that is expected of an upstream, in typical
	// service times and in addition to the round trip. An upstream that is silent for
	// longer counts as stuck if at least stuckUnanswered requests are unanswered.
	stuckSilence = 4
)

// excessSilence returns by how many nanoseconds the silence of the upstream exceeds the
// expected time. It returns 0 for an upstream that is not stuck. Excess silence reveals a
// slow upstream, a paused daemon or a broken link before any reply can.
func (c *candidate) excessSilence(now model.Instant, p *pool) float64 {
	if c.unansweredCount < stuckUnanswered {
		return 0
	}
	expected := 2*float64(c.oneWayDelay) + stuckSilence*p.typicalServiceTime()
	return max(float64(now.Sub(c.silentSince))-expected, 0)
}

// stragglerRatio is the lowest ratio of an upstream's service time to the median
// (pool.medianServiceTime) at which the upstream counts as a straggler. A lower ratio is
// attributed to the mix of requests.
const stragglerRatio = 2

// stragglerHalfLife is the age of a load at which the excess service time of a
// straggler has half its weight. Without this decay, a straggler that gets no requests
// would never be tried again.
const stragglerHalfLife = 250 * time.Millisecond

// slowdown returns the ratio of the upstream's service time to the median over all upstreams.
// The excess of the ratio over 1 decays with the age of the load. slowdown returns 1 for an
// upstream that is not a straggler.
func (c *candidate) slowdown(now model.Instant, p *pool) float64 {
	if p.medianServiceTime == 0 {
		return 1
	}
	ratio := float64(c.load.ServiceTime) / p.medianServiceTime
	if ratio < stragglerRatio {
		return 1
	}
	age := float64(max(now.Sub(c.loadReceivedAt), 0))
	return 1 + (ratio-1)/(1+age/float64(stragglerHalfLife))
}

// rampFraction returns the fraction of its capacity that the upstream may use now. The fraction
// rises linearly from 0 to 1 after the upstream has joined, but is never below minRampFraction.
// ramp is the time after which the upstream may use its full capacity.
func (c *candidate) rampFraction(now model.Instant, ramp time.Duration) float64 {
	if now >= c.rampEnd {
		return 1
	}
	remaining := float64(c.rampEnd.Sub(now)) / float64(ramp)
	return max(1-remaining, minRampFraction)
}

// minRampFraction is the fraction of the capacity that a new upstream may use at once.
const minRampFraction = 0.1
