package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/core/account"
)

// ID identifies an account in messages.
type ID uint64

// IDOf returns the ID of the account of the given name.
func IDOf(name account.Name) ID { return ID(xxhash.Sum64String(string(name))) }

// Rules states what a deployment tolerates: in any period of length Window, all daemons together may
// let pass (rate * Window + burst) * (1 + Overage) + Slack requests of an account.
type Rules struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// maxAmount bounds rates and bursts, so that sums of them stay exact enough.
const maxAmount = 1e9

// amount returns v as a rate or burst: at least 0, at most maxAmount, 0 if v is not a number.
func amount(v float64) float64 {
	if !(v > 0) {
		return 0
	}
	return math.Min(v, maxAmount)
}

// share is the share of one zone in the quota of an account.
type share struct {
	// rate is the number of tokens per second, zero if the account has no limit.
	rate float64
	// capacity is the largest number of tokens that a bucket holds.
	capacity float64
	// accountRate is the rate over all zones.
	accountRate float64
}

func (s share) limited() bool { return s.accountRate > 0 }

// fillTime returns the time in which an empty bucket fills, at most maxDrainTime.
func (s share) fillTime() time.Duration { return timeFor(s.capacity, s.rate, maxDrainTime) }

// shareOf returns the share of one of numZones zones.
//
// A bucket that is full loses what it would be filled with, even if another zone could use it, and buckets
// that hold less than one token have to be put together for every request. So each bucket holds one token
// more than its share of the burst, as far as half of what the rules tolerate allows.
func (r Rules) shareOf(q account.Quota, numZones int) share {
	zones := float64(max(numZones, 1))
	rate, burst := amount(q.PerSecond), amount(q.Burst)
	tolerated := (rate*max(r.Window.Seconds(), 0)+burst)*amount(r.Overage) + amount(r.Slack)
	return share{rate: rate / zones, accountRate: rate, capacity: (burst + min(zones, tolerated/2)) / zones}
}

// startCredit returns for how long the buckets of a daemon that has just learned of the others have been filling.
// Other daemons may have granted the same tokens meanwhile. Half of the overage covers that.
func (r Rules) startCredit() time.Duration {
	return time.Duration(min(amount(r.Overage)/2, 1) * float64(max(r.Window, 0)))
}

// timeFor returns the time in which a rate yields n tokens, at most limit.
func timeFor(n, rate float64, limit time.Duration) time.Duration {
	if n <= 0 {
		return 0
	}
	if n >= rate*limit.Seconds() {
		return limit
	}
	return time.Duration(n / rate * float64(time.Second))
}
