package fairqueue

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// meanGain is the part of the newest sample in the recent mean.
	ewmaGain = 1.0 / 16
	// firstEstimate is assumed before anything is known of an upstream.
	initialEstimate = time.Millisecond
	// deviations is how many mean deviations above the mean still count as an
	// ordinary run.
	upperDeviations = 2
)

// estimator keeps the recent mean and mean deviation of slot times.
type estimator struct {
	mean          float64
	meanDeviation float64
	hasSample     bool
	updated       model.Instant
}

func (e *estimator) observe(now model.Instant, slotTime time.Duration) {
	sample := float64(slotTime)
	e.updated = now
	if !e.hasSample {
		e.mean, e.meanDeviation, e.hasSample = sample, sample/2, true
		return
	}
	diff := sample - e.mean
	e.mean += ewmaGain * diff
	if diff < 0 {
		diff = -diff
	}
	e.meanDeviation += ewmaGain * (diff - e.meanDeviation)
}

// Estimate is what is expected of the next request of a group.
type Estimate struct {
	// Mean is the recent mean slot time.
	Mean time.Duration
	// Long is the slot time that few requests exceed.
	Upper time.Duration
	// Updated is when a request of the group last ended. Known is false, and
	// Updated meaningless, as long as none has.
	Updated model.Instant
	Known   bool
}

func (e *estimator) estimate() Estimate {
	return Estimate{
		Mean:    time.Duration(e.mean),
		Upper:   time.Duration(e.mean + upperDeviations*e.meanDeviation),
		Updated: e.updated,
		Known:   e.hasSample,
	}
}
