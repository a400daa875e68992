package pause

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/bubble"
)

func TestBackoffDoublesUpToMax(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	backoff := Backoff{Min: 100 * time.Millisecond, Max: time.Second}
	for i := range 100 {
		bound := min(100*time.Millisecond<<min(i, 10), time.Second)
		wait := backoff.Next(rng)
		require.LessOrEqual(t, wait, bound)
		require.GreaterOrEqual(t, wait, bound/2)
	}
	backoff.Reset()
	require.LessOrEqual(t, backoff.Next(rng), 100*time.Millisecond)
}

// TestBackoffWaitSleepsUnlessContextEnds checks that Wait sleeps for at least half
// of its upper bound, and returns the error of a context that has ended.
func TestBackoffWaitSleepsUnlessContextEnds(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		backoff := Backoff{Min: time.Second, Max: time.Second}
		start := time.Now()
		require.NoError(t, backoff.Wait(t.Context()))
		require.GreaterOrEqual(t, time.Since(start), 500*time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		require.ErrorIs(t, backoff.Wait(ctx), context.Canceled)
	})
}
