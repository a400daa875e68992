package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// TestWindowBudgetCountsRetriesWithinTheSpan checks the number of remaining retries after
// requests, after taken and returned retries, and before and after the span has passed.
func TestWindowBudgetCountsRetriesWithinTheSpan(t *testing.T) {
	w := NewWindowBudget(10*time.Second, 0.2, 5)
	now := model.Instant(0).Add(time.Minute)
	require.InDelta(t, 5, w.Remaining(now), 1e-9)
	for range 10 {
		w.CountRequest(now)
	}
	require.InDelta(t, 7, w.Remaining(now), 1e-9)
	require.True(t, w.TryCharge(now, 7))
	require.False(t, w.TryCharge(now, 1))
	w.Charge(now, -1)
	require.True(t, w.TryCharge(now, 1), "a retry that reached no upstream is returned to the budget")
	require.False(t, w.TryCharge(now.Add(9*time.Second), 1))
	require.True(t, w.TryCharge(now.Add(12*time.Second), 5), "the span has passed")
}

// TestWindowsTogetherStayWithinTheBudget has several daemons take retries at random
// times. In every span, the retries of all daemons together must stay within the whole
// budget.
func TestWindowsTogetherStayWithinTheBudget(t *testing.T) {
	const (
		span  = 10 * time.Second
		ratio = 0.2
		slack = 60.0
	)
	rapid.Check(t, func(t *rapid.T) {
		daemonCount := rapid.IntRange(1, 6).Draw(t, "daemons")
		budgets := make([]*WindowBudget, daemonCount)
		for i := range budgets {
			budgets[i] = NewWindowBudget(span, ratio, slack/float64(daemonCount))
		}
		var requests, retries []model.Instant
		now := model.Instant(0)
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			w := budgets[rapid.IntRange(0, daemonCount-1).Draw(t, "daemon")]
			if rapid.Bool().Draw(t, "request") {
				w.CountRequest(now)
				requests = append(requests, now)
			} else if w.TryCharge(now, 1) {
				retries = append(retries, now)
			}
		}
		countBetween := func(instants []model.Instant, start, end model.Instant) (n float64) {
			for _, i := range instants {
				if i >= start && i <= end {
					n++
				}
			}
			return n
		}
		for _, end := range retries {
			start := end.Add(-span)
			// A request may count for up to one bucket width longer than the span.
			allowed := ratio*countBetween(requests, start.Add(-span/windowBuckets), end) + slack
			require.LessOrEqual(t, countBetween(retries, start, end), allowed+1e-6)
		}
	})
}
