package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCanaryMeasuresDelay guards against a canary that hides a request which an upstream starts late:
// it must report only what it has measured, and forget it.
func TestCanaryMeasuresDelay(t *testing.T) {
	c := newCanary()
	now := time.Now()
	require.Zero(t, c.delay(now))
	first, _ := c.begin(now)
	second, _ := c.begin(now.Add(time.Second))
	require.Equal(t, 3*time.Second, c.delay(now.Add(3*time.Second)), "in progress")
	c.end(first, now.Add(4*time.Second))
	c.end(second, now.Add(4*time.Second))
	require.Equal(t, 4*time.Second, c.delay(now.Add(4*time.Second+canaryMemory)))
	require.Zero(t, c.delay(now.Add(4*time.Second+canaryMemory+1)), "completed long ago")
	for range maxCanaries {
		_, ok := c.begin(now)
		require.True(t, ok)
	}
	_, ok := c.begin(now)
	require.False(t, ok, "too many in progress")
}

// TestCanaryRuns checks that canary requests complete.
func TestCanaryRuns(t *testing.T) {
	c := newCanary()
	require.NoError(t, c.start(t.Context(), "127.99.0.1:8147", "127.99.0.1:8247"))
	defer c.close()
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.completed) > 0
	}, 20*time.Second, 10*time.Millisecond)
}
