package placement

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// failureWeight is the weight of one request in the failure rate, a moving average. The
	// failure rate thus covers about 8 requests.
	failureWeight = 1.0 / 8
	// failureHalfLife is the time in which a failure rate halves. An upstream that fails
	// every request is tried again after three half-lives. While the upstream keeps
	// failing, further trials follow every one or two half-lives. All trials together are
	// well under 1% of requests.
	failureHalfLife = 2 * time.Second
)

// FailureRate is the share of recent requests to an upstream that failed. It decays with time.
// Without the decay, an upstream that gets no requests because it has failed would never be
// tried again. The zero value is a failure rate of 0.
type FailureRate struct {
	// rate is the failure rate at the instant setAt.
	rate float64
	// setAt is when the last result was recorded.
	setAt model.Instant
}

// Record records the result of a request.
func (f *FailureRate) Record(now model.Instant, failed bool) {
	f.rate = f.At(now)
	f.setAt = now
	sample := 0.0
	if failed {
		sample = 1
	}
	f.rate += (sample - f.rate) * failureWeight
}

// At returns the failure rate at the instant now, from 0 to 1.
func (f *FailureRate) At(now model.Instant) float64 { return f.rate * failureDecay(now.Sub(f.setAt)) }

// failureDecay returns the fraction, from 0 to 1, that is left of a failure rate of the
// given age.
func failureDecay(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(failureHalfLife))
}
