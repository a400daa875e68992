package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// TestRetriesAreChargedForNestedCalls checks that the budget of a called service limits the
// retries of its callers. Each retry of a caller repeats its nested calls.
func TestRetriesAreChargedForNestedCalls(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a := startReady(t, s, "a", "a1")
	caller, callee := a.entry.serviceStateOf("caller"), a.entry.serviceStateOf("callee")
	caller.callsPerRun = 4
	// If the daemon had just started, it could use only a part of the budget.
	a.peers.local.Incarnation -= time.Hour.Milliseconds()
	now := a.now()
	chargedCount := 0
	var lastCharge *retryCharge
	for r := a.entry.chargeRetry(caller, now); r != nil; r = a.entry.chargeRetry(caller, now) {
		lastCharge = r
		chargedCount++
	}
	slack := 50 * usableBudgetShare
	require.Equal(t, int(slack/caller.callsPerRun), chargedCount)
	require.InDelta(t, slack-float64(chargedCount), caller.retryLimiter.remaining(now), 1e-6, "a denied retry is not charged")
	lastCharge.refund(now)
	require.NotNil(t, a.entry.chargeRetry(caller, now))
	require.True(t, a.entry.chargeRetry(callee, now) != nil || callee.retryLimiter.remaining(now) < 1)
}

// TestRefundMatchesCharge checks that a refund equals the original charge. Between the charge
// and the refund, the number of nested calls changes and a service is added.
func TestRefundMatchesCharge(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a := startReady(t, s, "a", "a1")
	caller, callee := a.entry.serviceStateOf("caller"), a.entry.serviceStateOf("callee")
	now := a.now()
	// If the daemon had just started, it could use only a part of the budget.
	a.peers.local.Incarnation -= time.Hour.Milliseconds()
	require.True(t, callee.retryLimiter.tryCharge(now, 0, 1, 0))
	before := callee.retryLimiter.remaining(now)
	caller.callsPerRun = 4
	charge := a.entry.chargeRetry(caller, now)
	require.NotNil(t, charge)
	require.InDelta(t, before-4, callee.retryLimiter.remaining(now), 1e-6)
	caller.callsPerRun = 1
	laterService := a.entry.serviceStateOf("later")
	require.True(t, laterService.retryLimiter.tryCharge(now, 0, 1, 0))
	laterServiceBefore := laterService.retryLimiter.remaining(now)
	charge.refund(now)
	require.InDelta(t, before, callee.retryLimiter.remaining(now), 1e-6)
	require.InDelta(t, laterServiceBefore, laterService.retryLimiter.remaining(now), 1e-6)
	(*retryCharge)(nil).refund(now)
}

// TestRetriesWhileCallsPerRunChanges takes retries while the number of nested calls is
// updated concurrently. The race detector checks that the number is read under its lock. The
// retries must not increase the remaining budget of the called service.
func TestRetriesWhileCallsPerRunChanges(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a := startReady(t, s, "a", "a1")
	caller, callee := a.entry.serviceStateOf("caller"), a.entry.serviceStateOf("callee")
	require.True(t, callee.retryLimiter.tryCharge(a.now(), 0, 1, 0))
	before := callee.retryLimiter.remaining(a.now())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 1000 {
			caller.mu.Lock()
			caller.callsPerRun = float64(i % 8)
			caller.mu.Unlock()
		}
	}()
	for range 1000 {
		a.entry.chargeRetry(caller, a.now())
	}
	<-done
	require.LessOrEqual(t, callee.retryLimiter.remaining(a.now()), before, "a denied retry is refunded")
}

// TestRetryBudgetAfterDaemonRestarts guards against retries beyond the budget after restarts.
// Daemons that have just exhausted their shares of the budget restart, and so lose their counts.
// Afterwards all daemons retry as often as they may. All retries together must stay within the
// budget. One turn is a tenth of a second.
func TestRetryBudgetAfterDaemonRestarts(t *testing.T) {
	const daemonCount, turnCount, requestsPerTurn = 9, 100, 10
	budget := RetryBudget{Ratio: 0.2, Slack: 50, Span: 10 * time.Second}
	for restartedCount, want := range map[int]float64{0: 1, 3: 1, 6: 1.0 / 2, 9: 1.0 / 3} {
		t.Run(fmt.Sprint(restartedCount), func(t *testing.T) {
			require.InDelta(t, want, budgetShareAfterStarts(float64(restartedCount)/daemonCount), 1e-9)
			var limiters [daemonCount]*retryLimiter
			now := model.Instant(0).Add(time.Minute)
			for i := range limiters {
				limiters[i] = newRetryLimiter(budget)
			}
			advanceTurn := func() {
				for _, r := range limiters {
					for range requestsPerTurn {
						r.countRequest(now)
					}
				}
				now = now.Add(budget.Span / turnCount)
			}
			exhaustBudgets := func(startedFraction float64) (sent int) {
				for _, r := range limiters {
					for r.tryCharge(now, 1, daemonCount, startedFraction) {
						sent++
					}
				}
				return sent
			}
			for range turnCount {
				advanceTurn()
			}
			sent := exhaustBudgets(0)
			require.Positive(t, sent)
			for i := range restartedCount {
				limiters[i] = newRetryLimiter(budget)
			}
			for range turnCount - 1 {
				advanceTurn()
				sent += exhaustBudgets(float64(restartedCount) / daemonCount)
			}
			require.LessOrEqual(t, float64(sent), budget.Slack+budget.Ratio*daemonCount*requestsPerTurn*(turnCount-1))
		})
	}
}

// TestCallersReturnSpreadAfterAKillOfAllDaemons has callers arrive at a daemon that has no configuration
// yet, as all daemons after a power failure. They must not be told to return at the same moment.
func TestCallersReturnSpreadAfterAKillOfAllDaemons(t *testing.T) {
	e := newEntry(&Daemon{config: newConfiguration(nil, nil, newEvacuations(nil))})
	const callers = 50
	returns := map[time.Duration]bool{}
	for range callers {
		result := e.matchRoute(&request{}, Attempt{ID: "r"})
		require.Equal(t, outcome.ReasonNotReady, result.Outcome.Reason)
		require.InDelta(t, float64(notReadyRetryAfter), float64(result.Outcome.RetryAfter), float64(notReadyRetryAfter)/4)
		returns[result.Outcome.RetryAfter] = true
	}
	require.Greater(t, len(returns), callers/2)
}
