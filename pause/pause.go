package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff gives the times to wait between tries of one call that keeps failing. The
// zero value is ready and starts at DefaultMin. It is not safe for concurrent
// use.
type Backoff struct {
	// Min and Max bound the wait. Defaults: 100ms and 3s.
	Min, Max time.Duration
	failures int
}

// The default bounds of a Backoff.
const (
	DefaultMin = 100 * time.Millisecond
	DefaultMax = 3 * time.Second
)

// maxDoublings keeps the shift below from overflowing.
const maxDoublings = 16

// Next counts a failure and returns how long to wait: a random time up to a
// bound that doubles, at least half of it. Without an rng the process's own is
// used.
func (b *Backoff) Next(rng *rand.Rand) time.Duration {
	low, high := b.Min, b.Max
	if low <= 0 {
		low = DefaultMin
	}
	if high <= 0 {
		high = DefaultMax
	}
	bound := min(low<<min(b.failures, maxDoublings), high)
	b.failures++
	random := rand.Int64N
	if rng != nil {
		random = rng.Int64N
	}
	return bound/2 + time.Duration(random(int64(bound/2)+1))
}

// Wait counts a failure and waits after it. It returns early with the context's
// error when the context ends.
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

// Reset forgets the failures, after a success.
func (b *Backoff) Reset() { b.failures = 0 }
