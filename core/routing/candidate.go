package routing

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// candidate is what one entry knows of one upstream.
type candidate struct {
	upstream    model.Upstream
	oneWayDelay time.Duration
	load        model.Load
	loadAt      model.Instant
	hasLoad     bool
	// inFlight counts this entry's requests there, inFlightAt how many there
	// were when load came.
	inFlight       int32
	inFlightAtLoad int32
	// unanswered counts the requests sent since the last reply, silentSince is
	// when the first of them went out.
	unanswered  int32
	silentSince model.Instant
	// lastReplyAt is when the last reply came that the upstream's daemon sent.
	lastReplyAt model.Instant
	rampEnd     model.Instant
	queueShares queueShares
	health
}

// longAgo is before every instant that matters.
const longAgo = model.Instant(-1 << 62)

// pool is what the candidates have in common.
type pool struct {
	// medianService is near the median of the mean slot times, in nanoseconds.
	medianService float64
	// meanOthersPerSlot is the mean number of requests per slot that other entries have at
	// an upstream.
	meanOthersPerSlot float64
	// ejected counts the upstreams ejected because they fail, unreachable those
	// ejected because no connection could be made, well those that do not fail.
	ejected     int
	unreachable int
	healthy     int
	// placingGroup is the group whose request is being placed, empty for none.
	placingGroup model.GroupName
}

const (
	othersWeight = 1.0 / 64
	// medianStep is the relative step with which the median follows.
	medianStep = 0.01
)

// observe takes in the candidate's new load.
func (p *pool) observe(c *candidate) {
	perSlot := c.otherRequests() / float64(c.limit())
	p.meanOthersPerSlot += (perSlot - p.meanOthersPerSlot) * othersWeight
	service := float64(c.load.Service)
	switch {
	case service == 0:
	case p.medianService == 0:
		p.medianService = service
	case service > p.medianService:
		p.medianService *= 1 + medianStep
	default:
		p.medianService /= 1 + medianStep
	}
}

// limit returns the number of requests the upstream runs at once.
func (c *candidate) limit() int32 {
	if c.load.Limit > 0 {
		return c.load.Limit
	}
	return int32(max(c.upstream.Slots, 1))
}

// otherRequests returns the requests of other entries in the newest load.
func (c *candidate) otherRequests() float64 {
	return float64(max(c.load.Running+c.load.Waiting-c.inFlightAtLoad, 0))
}

// loadHalfLife is the number of mean slot times after which a load figure of other
// entries counts half.
const loadHalfLife = 2

// estimatedRequests estimates how many requests are at the upstream now: this entry's
// own are known, those of others fade from the last figure to the pool's mean,
// but never beyond a full upstream without a queue: one that every entry has
// left is likely idle, and only a try can tell.
func (c *candidate) estimatedRequests(now model.Instant, p *pool) float64 {
	meanOthers := min(p.meanOthersPerSlot, 1) * float64(c.limit())
	if !c.hasLoad {
		return meanOthers + float64(c.inFlight)
	}
	age := float64(max(now.Sub(c.loadAt), 0))
	keep := 1.0
	if p.medianService > 0 {
		keep = 1 / (1 + age/(loadHalfLife*p.medianService))
	}
	return c.requestsAheadOf(float64(c.inFlight)+meanOthers+(c.otherRequests()-meanOthers)*keep, p.placingGroup)
}

// recordSent counts a request that goes out.
func (c *candidate) recordSent(now model.Instant) {
	c.inFlight++
	if c.unanswered == 0 {
		c.silentSince = now
	}
	c.unanswered++
}

// recordReply counts a reply.
func (c *candidate) recordReply(now model.Instant) {
	c.inFlight = max(c.inFlight-1, 0)
	c.unanswered = 0
	c.silentSince = now
	if c.inFlight > 0 {
		c.unanswered = 1
	}
}

const (
	// stuckUnanswered is the number of unanswered requests, silentFor the silence in
	// mean slot times beyond the way there and back, from which an upstream is
	// held to be stuck.
	stuckUnanswered = 2
	stuckSilence    = 4
)

// excessSilence returns how long an upstream has been silent beyond what is usual,
// in nanoseconds. It tells of a straggler, a paused daemon or a cut link before
// any reply can.
func (c *candidate) excessSilence(now model.Instant, p *pool) float64 {
	if c.unanswered < stuckUnanswered {
		return 0
	}
	expected := 2*float64(c.oneWayDelay) + stuckSilence*p.meanService()
	return max(float64(now.Sub(c.silentSince))-expected, 0)
}

// stragglerRatio is the ratio to the median slot time from which an upstream counts
// as a straggler; below it the ratio is put down to the mix of requests.
const stragglerRatio = 2

// stragglerHalfLife is the age of a load figure at which a straggler's excess counts
// half, so that an upstream left alone is tried again.
const stragglerHalfLife = 250 * time.Millisecond

// slowdown returns how many times slower than its peers the upstream is.
func (c *candidate) slowdown(now model.Instant, p *pool) float64 {
	if p.medianService == 0 {
		return 1
	}
	ratio := float64(c.load.Service) / p.medianService
	if ratio < stragglerRatio {
		return 1
	}
	age := float64(max(now.Sub(c.loadAt), 0))
	return 1 + (ratio-1)/(1+age/float64(stragglerHalfLife))
}

// rampFraction returns the part of its capacity that a joining upstream may use now.
func (c *candidate) rampFraction(now model.Instant, ramp time.Duration) float64 {
	if now >= c.rampEnd {
		return 1
	}
	remaining := float64(c.rampEnd.Sub(now)) / float64(ramp)
	return max(1-remaining, minRampFraction)
}

const minRampFraction = 0.1
