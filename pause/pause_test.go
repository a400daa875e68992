package pause

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/bubble"
)

func TestDoublesUpToItsBound(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	p := Backoff{Min: 100 * time.Millisecond, Max: time.Second}
	for i := range 100 {
		bound := min(100*time.Millisecond<<min(i, 10), time.Second)
		d := p.Next(rng)
		require.LessOrEqual(t, d, bound)
		require.GreaterOrEqual(t, d, bound/2)
	}
	p.Reset()
	require.LessOrEqual(t, p.Next(rng), 100*time.Millisecond)
}

func TestWaits(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		p := Backoff{Min: time.Second, Max: time.Second}
		began := time.Now()
		require.NoError(t, p.Wait(t.Context()))
		require.GreaterOrEqual(t, time.Since(began), 500*time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		require.ErrorIs(t, p.Wait(ctx), context.Canceled)
	})
}
