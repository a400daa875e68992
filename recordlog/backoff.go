package recordlog

import (
	"math/rand/v2"
	"time"
)

// Backoff gives the times to wait between tries that fail. The zero value is
// ready and starts at DefaultBackoffMin. It is not safe for concurrent use.
type Backoff struct {
	// Min and Max bound the wait. Defaults: 100ms and 3s.
	Min, Max time.Duration
	failures int
}

// The default bounds of a Backoff.
const (
	DefaultBackoffMin = 100 * time.Millisecond
	DefaultBackoffMax = 3 * time.Second
)

// maxDoublings keeps the shift below from overflowing.
const maxDoublings = 16

// Next counts a failure and returns how long to wait: a random time up to a
// bound that doubles, at least half of it.
func (b *Backoff) Next(rng *rand.Rand) time.Duration {
	low, high := b.Min, b.Max
	if low <= 0 {
		low = DefaultBackoffMin
	}
	if high <= 0 {
		high = DefaultBackoffMax
	}
	bound := min(low<<min(b.failures, maxDoublings), high)
	b.failures++
	return bound/2 + time.Duration(rng.Int64N(int64(bound/2)+1))
}

// Reset forgets the failures, after a success.
func (b *Backoff) Reset() { b.failures = 0 }

// Failures returns the failures since the last success.
func (b *Backoff) Failures() int { return b.failures }
