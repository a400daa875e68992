package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// TestBudgetBoundsRetries checks the number of retries in random sequences of successful
// and failed requests. At most the given share of requests may be retried, apart from the
// initial tokens.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		failureRate := rapid.Float64Range(0, 1).Draw(t, "failing")
		b := NewBudget(share)
		requestCount, retryCount := 0.0, 0.0
		for i := range rapid.IntRange(1, 2000).Draw(t, "requests") {
			now := model.Instant(i) * model.Instant(time.Millisecond)
			b.CountRequest()
			requestCount++
			failed := rapid.Float64Range(0, 1).Draw(t, "outcome") < failureRate
			b.CountAttempt(now, failed)
			for failed && b.Allow(now) == Allowed {
				retryCount++
				failed = false
				b.CountAttempt(now, failed)
			}
		}
		require.LessOrEqual(t, retryCount, share*requestCount+initialTokens)
	})
}

// TestNoRetriesWhileMostAttemptsFail checks that retries are disabled once all of minAttempts
// attempts have failed, but not earlier. They must be allowed again once the failures are old.
func TestNoRetriesWhileMostAttemptsFail(t *testing.T) {
	b := NewBudget(1)
	now := model.Instant(0)
	for range minAttempts - 1 {
		b.CountRequest()
		b.CountAttempt(now, true)
		require.Equal(t, Allowed, b.Allow(now), "too few attempts to decide")
	}
	b.CountRequest()
	b.CountAttempt(now, true)
	require.Equal(t, TooManyFailures, b.Allow(now))
	now = now.Add(5 * time.Second)
	require.Equal(t, Allowed, b.Allow(now), "old failures no longer count")
	for range 100 {
		b.CountRequest()
		b.CountAttempt(now, false)
	}
	b.CountAttempt(now, true)
	require.Equal(t, Allowed, b.Allow(now))
}

func TestShareOfZeroForbidsRetries(t *testing.T) {
	b := NewBudget(0)
	b.CountRequest()
	require.Equal(t, BudgetExhausted, b.Allow(0))
}

func TestBackoff(t *testing.T) {
	tests := []struct {
		name           string
		retryNumber    int
		remaining      time.Duration
		randomFraction float64
		wait           time.Duration
		ok             bool
	}{
		{"first", 1, time.Second, 0.5, time.Millisecond, true},
		{"third", 3, time.Second, 0.5, 4 * time.Millisecond, true},
		{"bounded", 60, time.Second, 0.5, 50 * time.Millisecond, true},
		{"too little time remains", 3, 15 * time.Millisecond, 0.5, 4 * time.Millisecond, false},
		{"no time remains", 1, 0, 0, 0, false},
		{"negative retry number", -5, time.Second, 0, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			wait, ok := Backoff(tt.retryNumber, tt.remaining, tt.randomFraction)
			require.Equal(t, tt.wait, wait)
			require.Equal(t, tt.ok, ok)
		})
	}
}

// TestRetryAfterIsJittered checks that callers refused together get different retry times. The
// times must range from less than 80% to more than 120% of the mean, with the mean in the
// middle.
func TestRetryAfterIsJittered(t *testing.T) {
	const mean = 100 * time.Millisecond
	shortest, longest := JitteredRetryAfter(mean, 0), JitteredRetryAfter(mean, 0.999)
	require.Less(t, shortest, mean*4/5)
	require.Greater(t, longest, mean*6/5)
	require.Equal(t, mean, JitteredRetryAfter(mean, 0.5))
}
