package placement

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Load is the state of an upstream as its guard reports it.
type Load struct {
	// Running counts requests that are running in the upstream.
	Running int
	// Waiting counts requests that are queued at the upstream's guard.
	Waiting int
	// Limit is how many requests the guard lets run concurrently.
	Limit int
	// Slowdown is the current service time divided by the usual service time, so 1 is the usual
	// speed. Zero means unknown.
	Slowdown float64
	// SlowdownAge is how old Slowdown already was when the guard reported the Load.
	SlowdownAge time.Duration
	// StartDelay is how long a new request waits because the rate of requests to the upstream is
	// limited. Zero if the rate is not limited or the request could start at once.
	StartDelay time.Duration
	// FailureRate is the share of recent requests that failed, from 0 to 1.
	FailureRate float64
}

const (
	// loadHalfLife is the age at which a reported slowdown or number of requests has half its
	// weight. It is short because the other processes on a shared VM start and stop working a
	// few times a second.
	loadHalfLife = 150 * time.Millisecond
	// initialSlowdown is the mean slowdown assumed before any has been reported.
	initialSlowdown = 1.5
	// meanSlowdownWeight is the weight of one reported slowdown in the mean slowdown of a
	// service. The mean thus covers about 64 responses.
	meanSlowdownWeight = 1.0 / 64
	// coldSlowdown is the lowest slowdown assumed for an upstream that has just started
	// (see Upstream.ColdUntil). The caches of such an upstream are still filling, and its
	// code is still being compiled.
	coldSlowdown = 2.0
	// maxFailureRate bounds the failure rate from which the expected time is calculated.
	// An upstream that fails every request therefore still gets a trial request now and
	// then, which shows when it has recovered.
	maxFailureRate = 0.95
	// maxStartDelay bounds the delay that this entry's own requests cause where the rate of requests to
	// an upstream is limited. The rate may be as small as a float64 can be.
	maxStartDelay = time.Hour
	// maxUtilization is the share of its slots that an upstream with 3 or more slots stays
	// below by default (see DefaultLimit). Servers slow down near saturation.
	maxUtilization = 0.8
	// saturatedSlowdown is the slowdown of an upstream whose slots are all busy. The value was
	// recorded on services with 6 slots. DefaultLimit uses it for any number of slots.
	saturatedSlowdown = 1.7
)

// DefaultLimit returns the concurrency limit with which an upstream has the highest throughput,
// as far as this can be told from its number of slots. The limit is at least 1. With 2 slots,
// filling both gives more throughput than staying below saturation; with 3 or more slots it
// does not.
func DefaultLimit(slots int) int {
	reduced := int(math.Ceil(float64(slots)*maxUtilization)) - 1
	if float64(slots)/saturatedSlowdown > float64(reduced) {
		return max(slots, 1)
	}
	return reduced
}

// ExpectedTime returns the time until a request is expected to complete at an upstream.
// serviceTime is the usual service time of the request. ahead is the number of requests at the
// upstream that run now or start before the request. slowdown, limit and failureRate are the
// estimates for the upstream; limit must be at least 1. startDelay is the shortest wait for the start
// of the request.
func ExpectedTime(serviceTime time.Duration, slowdown float64, ahead, limit int, startDelay time.Duration, failureRate float64) time.Duration {
	runTime := float64(serviceTime) * slowdown
	wait := 0.0
	if excess := ahead + 1 - limit; excess > 0 {
		wait = float64(excess) * runTime / float64(limit)
	}
	wait = max(wait, float64(startDelay))
	return time.Duration((runTime + wait) / (1 - min(failureRate, maxFailureRate)))
}

// loadDecay returns the weight that a load of the given age still has, from 0 to 1.
func loadDecay(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(loadHalfLife))
}

// candidate holds what this entry knows about one upstream.
type candidate struct {
	upstream Upstream
	// load is the latest reported load. It is not set while hasLoad is false.
	load           Load
	loadReceivedAt model.Instant
	hasLoad        bool
	// inFlight counts this entry's unfinished requests at the upstream.
	inFlight int
	// inFlightAtLoad is the value that inFlight had when load was received.
	inFlightAtLoad int
	// meanOtherRequests is the moving average of the number of requests that other entries have
	// at the upstream. It is updated with each load.
	meanOtherRequests float64
	// unreachableUntil is the end of the period in which the upstream is avoided
	// because it could not be reached.
	unreachableUntil model.Instant
}

// slowdown returns the slowdown to expect of the upstream now. meanSlowdown is the mean
// slowdown of the service.
func (c *candidate) slowdown(now model.Instant, meanSlowdown float64) float64 {
	slowdown := meanSlowdown
	if c.hasLoad && c.load.Slowdown > 0 {
		weight := loadDecay(now.Sub(c.loadReceivedAt) + c.load.SlowdownAge)
		slowdown = meanSlowdown + (c.load.Slowdown-meanSlowdown)*weight
	}
	if c.upstream.ColdUntil > now {
		slowdown = max(slowdown, coldSlowdown)
	}
	return slowdown
}

// expectedRequests estimates how many requests are at the upstream now. This entry's own
// requests are known exactly. The number of other entries' requests decays from the last
// reported value towards meanOtherRequests. Other entries' requests count as 0 until a load has
// been received.
func (c *candidate) expectedRequests(now model.Instant) int {
	if !c.hasLoad {
		return c.inFlight
	}
	weight := loadDecay(now.Sub(c.loadReceivedAt))
	otherRequestsAtLoad := max(float64(c.load.Running+c.load.Waiting-c.inFlightAtLoad), 0)
	return c.inFlight + int(math.Round(c.meanOtherRequests+(otherRequestsAtLoad-c.meanOtherRequests)*weight))
}

func (c *candidate) limit() int {
	if c.hasLoad && c.load.Limit > 0 {
		return c.load.Limit
	}
	return DefaultLimit(c.upstream.Slots)
}

// startDelay returns how long a request has to wait now because the rate of requests to the
// upstream is limited. This entry's own requests since the load was received come first.
func (c *candidate) startDelay(now model.Instant) time.Duration {
	if !c.hasLoad || c.load.StartDelay <= 0 {
		return 0
	}
	delay := c.load.StartDelay
	if rate := c.upstream.StartRate; rate > 0 {
		sent := float64(max(c.inFlight-c.inFlightAtLoad, 0))
		delay += time.Duration(min(sent/rate, maxStartDelay.Seconds()) * float64(time.Second))
	}
	return max(delay-now.Sub(c.loadReceivedAt), 0)
}

// failureRate returns the failure rate to expect of the upstream now. It is 0 until a load has
// been received.
func (c *candidate) failureRate(now model.Instant) float64 {
	if !c.hasLoad {
		return 0
	}
	return c.load.FailureRate * failureDecay(now.Sub(c.loadReceivedAt))
}
