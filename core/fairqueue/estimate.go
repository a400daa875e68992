package fairqueue

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// ewmaGain is the weight of the newest sample in the moving averages.
	ewmaGain = 1.0 / 16
	// initialEstimate is the slot time assumed until a first request has ended.
	initialEstimate = time.Millisecond
	// upperDeviations is the number of mean deviations by which Estimate.Upper
	// exceeds the mean.
	upperDeviations = 2
)

// estimator keeps exponentially weighted moving averages of the slot time and
// of its deviation from the mean.
type estimator struct {
	mean          float64 // in nanoseconds
	meanDeviation float64 // in nanoseconds
	hasSample     bool
	// updatedAt is the instant of the last sample.
	updatedAt model.Instant
}

// observe adds the slot time of a request that ended at the instant now.
func (e *estimator) observe(now model.Instant, slotTime time.Duration) {
	sample := float64(slotTime)
	e.updatedAt = now
	if !e.hasSample {
		// The deviation starts at half of the first sample, as in RFC 6298.
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

// Estimate is the expected slot time of the next request of a group.
type Estimate struct {
	// Mean is the recent mean slot time.
	Mean time.Duration
	// Upper is a slot time that few requests exceed.
	Upper time.Duration
	// Updated is when a request of the group last ended. It is valid only when
	// Known is true.
	Updated model.Instant
	// Known reports whether at least one request of the group has ended.
	Known bool
}

func (e *estimator) estimate() Estimate {
	return Estimate{
		Mean:    time.Duration(e.mean),
		Upper:   time.Duration(e.mean + upperDeviations*e.meanDeviation),
		Updated: e.updatedAt,
		Known:   e.hasSample,
	}
}
