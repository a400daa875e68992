package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const reserveSpan = 10 * time.Second

// TestReserveKeepsWhatBetterClassesNeed has class 1 need ten retries a second. What they need within
// the span is kept from class 2, not from class 1 itself. Nothing is kept once they need none.
func TestReserveKeepsWhatBetterClassesNeed(t *testing.T) {
	r := NewReserve(reserveSpan)
	now := model.Instant(0).Add(time.Minute)
	for range 50 {
		require.Zero(t, r.Kept(now, 1), "nothing is kept from the class itself")
		r.CountDemand(now, 1, 1)
		now = now.Add(100 * time.Millisecond)
	}
	require.InDelta(t, 100, r.Kept(now, 2), 10)
	require.InDelta(t, 100, r.Kept(now, 4), 10)
	require.Zero(t, r.Kept(now.Add(reserveSpan), 4))
}

// TestFewRetriesKeepNothing has a retry of the best class now and then. The others may use the whole
// budget.
func TestFewRetriesKeepNothing(t *testing.T) {
	r := NewReserve(reserveSpan)
	now := model.Instant(0).Add(time.Minute)
	for range 20 {
		r.CountDemand(now, 0, 1)
		require.Zero(t, r.Kept(now, 1))
		now = now.Add(2 * time.Second)
	}
	r.CountDemand(now, 0, minDemand)
	require.Positive(t, r.Kept(now, 1))
}

// TestReserveOrdersClasses checks on random demand that nothing is kept from the best class, and
// never less from a class than from a better one.
func TestReserveOrdersClasses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewReserve(reserveSpan)
		now := model.Instant(0)
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			r.CountDemand(now, Class(rapid.IntRange(0, int(classCount)-1).Draw(t, "class")), 1)
			require.Zero(t, r.Kept(now, 0))
			for c := Class(1); c < classCount; c++ {
				require.GreaterOrEqual(t, r.Kept(now, c), r.Kept(now, c-1))
			}
		}
	})
}
