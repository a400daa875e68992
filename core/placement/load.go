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
	// fade is the time in which a figure of slowness or load loses half of its
	// meaning. Neighbours on shared VMs come and go a few times a second.
	fade = 150 * time.Millisecond
	// usualSlow is assumed of upstreams nothing is known of.
	usualSlow = 1.5
	// meanWeight makes the mean slowness of a service cover about 64 answers.
	meanWeight = 1.0 / 64
	// coldSlow is the slowness assumed of upstreams that say that they have just
	// started, as caches and compiled code fill up.
	coldSlow = 2.0
	// maxFailing bounds how far failures count against an upstream, so that a
	// trial now and then finds out when they have ended.
	maxFailing = 0.95
	// spareShare is the share of the slots that is filled: servers slow down near
	// saturation.
	spareShare = 0.8
	// saturatedSlow is how many times longer requests take on all slots of an
	// upstream that slows down near saturation, as recorded of services with 6 of
	// them: 1.7 times.
	saturatedSlow = 1.7
)

// LimitOf returns how many requests may run at once in an upstream with the
// given number of slots for it to get most done, as long as nothing else is known.
// With 2 slots an upstream gets more done when both are busy than when it stays clear
// of saturation, with 3 and more it does not.
func LimitOf(slots int) int {
	spare := int(math.Ceil(float64(slots)*spareShare)) - 1
	if float64(slots)/saturatedSlow > float64(spare) {
		return max(slots, 1)
	}
	return spare
}

// Expected returns the time until a request of the given work ends at an upstream
// with this load, when ahead others are there. Slow is the slowness to assume.
func Expected(work time.Duration, slow float64, ahead, limit int, failing float64) time.Duration {
	run := float64(work) * slow
	wait := 0.0
	if over := ahead + 1 - limit; over > 0 {
		wait = float64(over) * run / float64(limit)
	}
	return time.Duration((run + wait) / (1 - min(failing, maxFailing)))
}

// faded returns the share of a figure that is left after an age.
func faded(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(fade))
}

// view is what an entry holds of one upstream.
type view struct {
	up Upstream
	// load was taken at loadAt; known tells whether there is any.
	load   Load
	loadAt model.Instant
	known  bool
	// mine counts the requests this entry has there now, and mineThen those it
	// had when load was taken.
	mine     int
	mineThen int
	// others is the mean number of requests that others have there.
	others float64
	// avoidUntil is until when it is passed over after it could not be reached.
	avoidUntil model.Instant
}

// slow returns the slowness to expect now.
func (v *view) slow(now model.Instant, mean float64) float64 {
	slow := mean
	if v.known && v.load.Slow > 0 {
		keep := faded(now.Sub(v.loadAt) + v.load.SlowAge)
		slow = mean + (v.load.Slow-mean)*keep
	}
	if v.up.ColdUntil > now {
		slow = max(slow, coldSlow)
	}
	return slow
}

// ahead returns how many requests are expected there now.
func (v *view) ahead(now model.Instant) int {
	if !v.known {
		return v.mine
	}
	keep := faded(now.Sub(v.loadAt))
	then := max(float64(v.load.Running+v.load.Waiting-v.mineThen), 0)
	return v.mine + int(math.Round(v.others+(then-v.others)*keep))
}

func (v *view) limit() int {
	if v.known && v.load.Limit > 0 {
		return v.load.Limit
	}
	return LimitOf(v.up.Slots)
}

// failing returns the share of failures to expect.
func (v *view) failing(now model.Instant) float64 {
	if !v.known {
		return 0
	}
	return v.load.Failing * trusted(now.Sub(v.loadAt))
}
