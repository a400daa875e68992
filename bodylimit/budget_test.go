package bodylimit

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEndlessResponsesLeaveRoomForShortOnes lets several responses grow without end. Together they must stay within
// the budget, and at any moment a short response must find room.
func TestEndlessResponsesLeaveRoomForShortOnes(t *testing.T) {
	const limit, chunk, short = 1 << 20, 1 << 10, 8 << 10
	for _, count := range []int{1, 2, 6, 40} {
		b := NewBudget(limit)
		growing := make([]*Holder, count)
		for i := range growing {
			growing[i] = b.NewHolder()
		}
		for ended := 0; ended < count; {
			ended = 0
			for _, h := range growing {
				if h.Grow(chunk) != nil {
					ended++
				}
				other := b.NewHolder()
				require.NoError(t, other.Grow(short), "%d endless responses", count)
				other.Release()
			}
			require.LessOrEqual(t, b.Used(), int64(limit))
		}
		for _, h := range growing {
			require.ErrorIs(t, h.Grow(chunk), ErrResponseTooLarge)
		}
		for _, h := range growing {
			h.Release()
		}
		require.Zero(t, b.Used())
	}
}

// TestOneResponseMayTakeHalf lets a single response grow while there is no other one.
func TestOneResponseMayTakeHalf(t *testing.T) {
	b := NewBudget(100)
	h := b.NewHolder()
	require.NoError(t, h.Grow(50))
	require.ErrorIs(t, h.Grow(1), ErrResponseTooLarge)
	require.EqualValues(t, 50, b.Used(), "what was not granted is not taken")
}

// TestHolderReturnsItsBytesOnce checks that the last owner returns the bytes, and that nothing can be taken after
// that.
func TestHolderReturnsItsBytesOnce(t *testing.T) {
	b := NewBudget(100)
	h := b.NewHolder()
	h.Retain()
	require.NoError(t, h.Grow(10))
	h.Add(60)
	h.Release()
	require.EqualValues(t, 70, b.Used())
	h.Release()
	require.Zero(t, b.Used())
	require.ErrorIs(t, h.Grow(1), ErrReleased)
	h.Add(1)
	require.Zero(t, b.Used())
}

// TestNilHolderIsUnlimited checks the Holder of a request that was made without a Budget.
func TestNilHolderIsUnlimited(t *testing.T) {
	var h *Holder
	h.Retain()
	require.NoError(t, h.Grow(1<<40))
	h.Add(1)
	h.Release()
}
