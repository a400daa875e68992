package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff computes the wait before each retry of a call that keeps failing. The
// zero value is ready to use and has the default bounds. A Backoff is not safe for
// concurrent use.
type Backoff struct {
	// Min is the upper bound of the first wait, and Max that of every wait. A wait
	// is at least half of its upper bound. Defaults: DefaultMin (100ms) and
	// DefaultMax (3s).
	Min, Max time.Duration
	// failures counts the failures since the last success.
	failures int
}

// Defaults of Backoff.Min and Backoff.Max.
const (
	DefaultMin = 100 * time.Millisecond
	DefaultMax = 3 * time.Second
)

// maxDoublings keeps the shift in Next from overflowing.
const maxDoublings = 16

// Next counts a failure and returns how long to wait before the next retry. The
// wait is a random duration between half of a bound and the whole bound. The
// bound starts at Min and doubles with each failure, up to Max. If rng is nil,
// the global random source is used.
func (b *Backoff) Next(rng *rand.Rand) time.Duration {
	minBound, maxBound := b.Min, b.Max
	if minBound <= 0 {
		minBound = DefaultMin
	}
	if maxBound <= 0 {
		maxBound = DefaultMax
	}
	bound := min(minBound<<min(b.failures, maxDoublings), maxBound)
	b.failures++
	int64N := rand.Int64N
	if rng != nil {
		int64N = rng.Int64N
	}
	return bound/2 + time.Duration(int64N(int64(bound/2)+1))
}

// Wait counts a failure and sleeps for the duration that Next returns. If the
// context ends first, it returns the error of the context.
func (b *Backoff) Wait(ctx context.Context) error {
	timer := time.NewTimer(b.Next(nil))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Reset clears the count of failures. It is called after a success.
func (b *Backoff) Reset() { b.failures = 0 }
