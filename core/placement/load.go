package placement

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Load is what the guard of an upstream knows of it.
type Load struct {
	// Running and Waiting count requests in the upstream and at its guard.
	Running int
	Waiting int
	// Limit is how many the guard lets run at once.
	Limit int
	// Slow is how long work takes there, 1 being as usual. Zero means unknown.
	Slow float64
	// SlowAge is how long before the Load was taken Slow was told.
	SlowAge time.Duration
	// Failing is the recent share of failed requests, 0 to 1.
	Failing float64
}

const (
	// loadHalfLife is the time in which a figure of slowness or load loses half of its
	// meaning. Neighbours on shared VMs come and go a few times a second.
	loadHalfLife = 150 * time.Millisecond
	// initialSlowdown is assumed of upstreams nothing is known of.
	initialSlowdown = 1.5
	// meanSlowdownWeight makes the mean slowness of a service cover about 64 answers.
	meanSlowdownWeight = 1.0 / 64
	// coldSlowdown is the slowness assumed of upstreams that say that they have just
	// started, as caches and compiled code fill up.
	coldSlowdown = 2.0
	// maxFailureRate bounds how far failures count against an upstream, so that a
	// trial now and then finds out when they have ended.
	maxFailureRate = 0.95
	// maxUtilization is the share of the slots that is filled: servers slow down near
	// saturation.
	maxUtilization = 0.8
	// saturatedSlowdown is how many times longer requests take on all slots of an
	// upstream that slows down near saturation, as recorded of services with 6 of
	// them: 1.7 times.
	saturatedSlowdown = 1.7
)

// LimitOf returns how many requests may run at once in an upstream with the
// given number of slots for it to get most done, as long as nothing else is known.
// With 2 slots an upstream gets more done when both are busy than when it stays clear
// of saturation, with 3 and more it does not.
func LimitOf(slots int) int {
	reduced := int(math.Ceil(float64(slots)*maxUtilization)) - 1
	if float64(slots)/saturatedSlowdown > float64(reduced) {
		return max(slots, 1)
	}
	return reduced
}

// Expected returns the time until a request of the given work ends at an upstream
// with this load, when ahead others are there. Slow is the slowness to assume.
func Expected(work time.Duration, slowdown float64, ahead, limit int, failureRate float64) time.Duration {
	run := float64(work) * slowdown
	wait := 0.0
	if over := ahead + 1 - limit; over > 0 {
		wait = float64(over) * run / float64(limit)
	}
	return time.Duration((run + wait) / (1 - min(failureRate, maxFailureRate)))
}

// loadDecay returns the share of a figure that is left after an age.
func loadDecay(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(loadHalfLife))
}

// view is what an entry holds of one upstream.
type view struct {
	upstream Upstream
	// load was taken at loadAt; known tells whether there is any.
	load    Load
	loadAt  model.Instant
	hasLoad bool
	// inFlight counts the requests this entry has there now, and mineThen those it
	// had when load was taken.
	inFlight       int
	inFlightAtLoad int
	// meanOthers is the mean number of requests that meanOthers have there.
	meanOthers float64
	// unreachableUntil is until when it is passed over after it could not be reached.
	unreachableUntil model.Instant
}

// slowdown returns the slowness to expect now.
func (v *view) slowdown(now model.Instant, mean float64) float64 {
	slowdown := mean
	if v.hasLoad && v.load.Slow > 0 {
		keep := loadDecay(now.Sub(v.loadAt) + v.load.SlowAge)
		slowdown = mean + (v.load.Slow-mean)*keep
	}
	if v.upstream.ColdUntil > now {
		slowdown = max(slowdown, coldSlowdown)
	}
	return slowdown
}

// expectedRequests returns how many requests are expected there now.
func (v *view) expectedRequests(now model.Instant) int {
	if !v.hasLoad {
		return v.inFlight
	}
	keep := loadDecay(now.Sub(v.loadAt))
	othersAtLoad := max(float64(v.load.Running+v.load.Waiting-v.inFlightAtLoad), 0)
	return v.inFlight + int(math.Round(v.meanOthers+(othersAtLoad-v.meanOthers)*keep))
}

func (v *view) limit() int {
	if v.hasLoad && v.load.Limit > 0 {
		return v.load.Limit
	}
	return LimitOf(v.upstream.Slots)
}

// failureRate returns the share of failures to expect.
func (v *view) failureRate(now model.Instant) float64 {
	if !v.hasLoad {
		return 0
	}
	return v.load.Failing * failureDecay(now.Sub(v.loadAt))
}
