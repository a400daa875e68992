package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// TestResendsCountTheCallsTheyCause has a budget at the called service hold back
// re-sends of its callers: each repeats their calls.
func TestRetriesAreChargedForNestedCalls(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a := join(t, s, "a", "a1")
	caller, callee := a.entry.service("caller"), a.entry.service("callee")
	caller.callsPerRun = 4
	a.peers.own.Incarnation -= time.Hour.Milliseconds()
	now := a.now()
	taken := 0
	var last *retryCharge
	for r := a.entry.takeRetry(caller, now); r != nil; r = a.entry.takeRetry(caller, now) {
		last = r
		taken++
	}
	slack := 50 * retryBudgetMargin
	require.Equal(t, int(slack/caller.callsPerRun), taken)
	require.InDelta(t, slack-float64(taken), caller.retryLimiter.left(now), 1e-6, "a refusal takes nothing")
	last.refund(now)
	require.NotNil(t, a.entry.takeRetry(caller, now))
	require.True(t, a.entry.takeRetry(callee, now) != nil || callee.retryLimiter.left(now) < 1)
}

// TestRefundsAreWhatWasTaken has runs make fewer calls, and the entry know of a further
// service, between a re-send and its refund.
func TestRefundMatchesCharge(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a := join(t, s, "a", "a1")
	caller, callee := a.entry.service("caller"), a.entry.service("callee")
	now := a.now()
	a.peers.own.Incarnation -= time.Hour.Milliseconds()
	require.True(t, callee.retryLimiter.take(now, 0, 1, 0))
	before := callee.retryLimiter.left(now)
	caller.callsPerRun = 4
	taken := a.entry.takeRetry(caller, now)
	require.NotNil(t, taken)
	require.InDelta(t, before-4, callee.retryLimiter.left(now), 1e-6)
	caller.callsPerRun = 1
	later := a.entry.service("later")
	require.True(t, later.retryLimiter.take(now, 0, 1, 0))
	whole := later.retryLimiter.left(now)
	taken.refund(now)
	require.InDelta(t, before, callee.retryLimiter.left(now), 1e-6)
	require.InDelta(t, whole, later.retryLimiter.left(now), 1e-6)
	(*retryCharge)(nil).refund(now)
}

// TestResendsBesideAnswers counts re-sends while answers tell how many calls a run
// makes. The race detector holds the figure to its lock.
func TestRetriesWhileCallsPerRunChanges(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a := join(t, s, "a", "a1")
	caller, callee := a.entry.service("caller"), a.entry.service("callee")
	require.True(t, callee.retryLimiter.take(a.now(), 0, 1, 0))
	before := callee.retryLimiter.left(a.now())
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
		a.entry.takeRetry(caller, a.now())
	}
	<-done
	require.LessOrEqual(t, callee.retryLimiter.left(a.now()), before, "a refusal gives back what it took")
}

// TestBudgetWhenDaemonsForget kills daemons that have just used their budget in one
// burst. All that are there afterwards send again whatever they may, and yet the whole
// budget holds in the span after the burst. A tenth of a second is a turn.
func TestRetryBudgetAfterDaemonRestarts(t *testing.T) {
	const daemons, turns, perTurn = 9, 100, 10
	budget := ResendBudget{Ratio: 0.2, Slack: 50, Span: 10 * time.Second}
	for killed, want := range map[int]float64{0: 1, 3: 1, 6: 1.0 / 2, 9: 1.0 / 3} {
		t.Run(fmt.Sprint(killed), func(t *testing.T) {
			require.InDelta(t, want, budgetShareAfterStarts(float64(killed)/daemons), 1e-9)
			var all [daemons]*retryLimiter
			now := model.Instant(0).Add(time.Minute)
			for i := range all {
				all[i] = newRetryLimiter(budget)
			}
			turn := func() {
				for _, r := range all {
					for range perTurn {
						r.countRequest(now)
					}
				}
				now = now.Add(budget.Span / turns)
			}
			burst := func(started float64) (sent int) {
				for _, r := range all {
					for r.take(now, 1, daemons, started) {
						sent++
					}
				}
				return sent
			}
			for range turns {
				turn()
			}
			sent := burst(0)
			require.Positive(t, sent)
			for i := range killed {
				all[i] = newRetryLimiter(budget)
			}
			for range turns - 1 {
				turn()
				sent += burst(float64(killed) / daemons)
			}
			require.LessOrEqual(t, float64(sent), budget.Slack+budget.Ratio*daemons*perTurn*(turns-1))
		})
	}
}
