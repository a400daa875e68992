package placement

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// failureWeight makes the share cover about 8 requests.
	failureWeight = 1.0 / 8
	// failureHalfLife is the time in which a share of failures loses half of its meaning.
	// An upstream that fails everything is tried again after three of these, and
	// then every one or two of them for as long as it goes on: well under one in a
	// hundred requests.
	failureHalfLife = 2 * time.Second
)

// Failing is the recent share of requests that an upstream failed. It fades with time:
// an upstream that nobody tries, because it has failed, would otherwise never be
// tried again. The zero value has seen none.
type Failing struct {
	rate float64
	at   model.Instant
}

// Count takes in how a request ended.
func (f *Failing) Count(now model.Instant, failed bool) {
	f.rate = f.Share(now)
	f.at = now
	sample := 0.0
	if failed {
		sample = 1
	}
	f.rate += (sample - f.rate) * failureWeight
}

// Share returns the share to expect, 0 to 1.
func (f *Failing) Share(now model.Instant) float64 { return f.rate * failureDecay(now.Sub(f.at)) }

// failureDecay returns how much of a share of failures is left after an age.
func failureDecay(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(failureHalfLife))
}
