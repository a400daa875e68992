package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// TestRetriesStayWithinTheShare plays any mix of requests and failures.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		failureRate := rapid.Float64Range(0, 1).Draw(t, "failing")
		b := NewBudget(share)
		requests, retries := 0.0, 0.0
		for i := range rapid.IntRange(1, 2000).Draw(t, "requests") {
			now := model.Instant(i) * model.Instant(time.Millisecond)
			b.Request()
			requests++
			failed := rapid.Float64Range(0, 1).Draw(t, "luck") < failureRate
			b.Attempt(now, failed)
			for failed && b.Allow(now) == Allowed {
				retries++
				failed = false
				b.Attempt(now, failed)
			}
		}
		require.LessOrEqual(t, retries, share*requests+initialTokens)
	})
}

func TestNoRetriesWhileMostAttemptsFail(t *testing.T) {
	b := NewBudget(1)
	now := model.Instant(0)
	for range minAttempts - 1 {
		b.Request()
		b.Attempt(now, true)
		require.Equal(t, Allowed, b.Allow(now), "too few attempts to tell")
	}
	b.Request()
	b.Attempt(now, true)
	require.Equal(t, Storm, b.Allow(now))
	now = now.Add(5 * time.Second)
	require.Equal(t, Allowed, b.Allow(now), "old failures are forgotten")
	for range 100 {
		b.Request()
		b.Attempt(now, false)
	}
	b.Attempt(now, true)
	require.Equal(t, Allowed, b.Allow(now))
}

func TestShareOfZeroForbidsRetries(t *testing.T) {
	b := NewBudget(0)
	b.Request()
	require.Equal(t, Spent, b.Allow(0))
}

func TestBackoff(t *testing.T) {
	tests := []struct {
		name   string
		retry  int
		left   time.Duration
		random float64
		wait   time.Duration
		ok     bool
	}{
		{"first", 1, time.Second, 0.5, time.Millisecond, true},
		{"third", 3, time.Second, 0.5, 4 * time.Millisecond, true},
		{"bounded", 60, time.Second, 0.5, 50 * time.Millisecond, true},
		{"too late", 3, 15 * time.Millisecond, 0.5, 4 * time.Millisecond, false},
		{"past", 1, 0, 0, 0, false},
		{"absurd", -5, time.Second, 0, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			wait, ok := Backoff(tt.retry, tt.left, tt.random)
			require.Equal(t, tt.wait, wait)
			require.Equal(t, tt.ok, ok)
		})
	}
}

// TestAdviceIsSpread has callers that are refused together told times around the one meant.
func TestRetryAfterIsJittered(t *testing.T) {
	const after = 100 * time.Millisecond
	first, last := Advice(after, 0), Advice(after, 0.999)
	require.Less(t, first, after*4/5)
	require.Greater(t, last, after*6/5)
	require.Equal(t, after, Advice(after, 0.5))
}
