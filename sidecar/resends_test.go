package sidecar

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestResendsCountTheCallsTheyCause has a budget at the called service hold back
// re-sends of its callers: each repeats their calls.
func TestResendsCountTheCallsTheyCause(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a := join(t, s, "a", "a1")
	caller, callee := a.entry.service("caller"), a.entry.service("callee")
	caller.callsPerRun = 4
	now := a.now()
	taken := 0
	for a.entry.takeResend(caller, now) {
		taken++
	}
	slack := 50 * resendMargin
	require.Equal(t, int(slack/caller.callsPerRun), taken)
	require.InDelta(t, slack-float64(taken), caller.resends.left(now), 1e-6, "a refusal takes nothing")
	a.entry.refundResend(caller, now)
	require.True(t, a.entry.takeResend(caller, now))
	require.True(t, a.entry.takeResend(callee, now) || callee.resends.left(now) < 1)
}

// TestResendsBesideAnswers counts re-sends while answers tell how many calls a run
// makes. The race detector holds the figure to its lock.
func TestResendsBesideAnswers(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a := join(t, s, "a", "a1")
	caller, callee := a.entry.service("caller"), a.entry.service("callee")
	require.True(t, callee.resends.take(a.now(), 0, 1))
	before := callee.resends.left(a.now())
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
		a.entry.takeResend(caller, a.now())
	}
	<-done
	require.LessOrEqual(t, callee.resends.left(a.now()), before, "a refusal gives back what it took")
}
