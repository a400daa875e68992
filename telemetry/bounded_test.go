package telemetry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestKeysBeyondTheLimitShareOneMetric(t *testing.T) {
	createCountByKey := map[int]int{}
	b := NewBoundedMetrics(2, func(int) int { return -1 }, func(k int) *int { createCountByKey[k]++; return new(int) })
	one, two := b.Get(1), b.Get(2)
	three := b.Get(3)
	require.NotSame(t, one, two)
	require.Same(t, three, b.Get(4), "keys beyond the limit share one metric")
	require.Same(t, one, b.Get(1), "a key that is held keeps its metric")
	require.Equal(t, map[int]int{1: 1, 2: 1, -1: 1}, createCountByKey)
	require.Zero(t, testing.AllocsPerRun(100, func() { b.Get(1) }))
}
