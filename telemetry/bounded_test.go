package telemetry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBoundedSharesWhatIsBeyond(t *testing.T) {
	made := map[int]int{}
	b := NewBounded(2, func(int) int { return -1 }, func(k int) *int { made[k]++; return new(int) })
	one, two := b.Of(1), b.Of(2)
	three := b.Of(3)
	require.NotSame(t, one, two)
	require.Same(t, three, b.Of(4), "what is beyond shares one")
	require.Same(t, one, b.Of(1), "what is held stays")
	require.Equal(t, map[int]int{1: 1, 2: 1, -1: 1}, made)
	require.Zero(t, testing.AllocsPerRun(100, func() { b.Of(1) }))
}
