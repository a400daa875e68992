package sidecar

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

func newTestAttempts() (*attempts, *model.Instant) {
	now := new(model.Instant)
	return newAttempts(func() model.Instant { return *now }), now
}

func TestSettle(t *testing.T) {
	done := &Answer{Outcome: outcome.Done(), Status: 200}
	for name, c := range map[string]struct {
		before func(t *testing.T, a *attempts)
		want   outcome.Kind
		// starts tells whether the attempt may start afterwards.
		starts bool
	}{
		"never came: it is withdrawn and will not start": {func(*testing.T, *attempts) {}, outcome.NotRun, false},
		"waits: it is withdrawn":                         {func(_ *testing.T, a *attempts) { a.begin("k") }, outcome.NotRun, false},
		"ended": {func(t *testing.T, a *attempts) {
			at, _ := a.begin("k")
			require.True(t, at.start())
			at.end(done)
		}, outcome.Answered, true},
		"refused": {func(_ *testing.T, a *attempts) {
			at, _ := a.begin("k")
			at.end(notRun(outcome.ReasonQueueFull))
		}, outcome.NotRun, false},
	} {
		t.Run(name, func(t *testing.T) {
			a, _ := newTestAttempts()
			c.before(t, a)
			require.Equal(t, c.want, a.settle(t.Context(), "k").Outcome.Kind)
			if !c.starts {
				at, known := a.begin("k")
				require.True(t, known)
				require.Equal(t, outcome.NotRun, at.again().Outcome.Kind)
			}
		})
	}
}

func TestSettleWaitsForARun(t *testing.T) {
	a, _ := newTestAttempts()
	at, _ := a.begin("k")
	require.True(t, at.start())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, outcome.Unknown, a.settle(ctx, "k").Outcome.Kind, "it runs: nothing is promised")
	got := make(chan *Answer)
	go func() { got <- a.settle(t.Context(), "k") }()
	at.end(&Answer{Outcome: outcome.Done()})
	require.Equal(t, outcome.Answered, (<-got).Outcome.Kind)
}

// TestForgottenAttemptsAreUnknown floods a guard: what it had to forget early it
// no longer promises anything of.
func TestForgottenAttemptsAreUnknown(t *testing.T) {
	a, now := newTestAttempts()
	at, _ := a.begin("first")
	at.start()
	for i := range maxRemembered + 1 {
		a.begin(fmt.Sprint(i))
	}
	require.Equal(t, outcome.Unknown, a.settle(t.Context(), "first").Outcome.Kind)
	*now = now.Add(2 * remembered)
	require.Equal(t, outcome.NotRun, a.settle(t.Context(), "later").Outcome.Kind)
	require.Len(t, a.order, 1, "old attempts are forgotten")
}

// TestWithdrawnNeverStarts draws any order of a start and a withdrawal.
func TestWithdrawnNeverStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, _ := newTestAttempts()
		at, _ := a.begin("k")
		started, withdrawn := false, false
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 1), 1, 6).Draw(t, "steps") {
			if step == 0 && !started {
				started = at.start()
			} else if step == 1 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
				withdrawn = a.settle(ctx, "k").Outcome.Kind == outcome.NotRun || withdrawn
				cancel()
			}
			require.False(t, started && withdrawn)
		}
	})
}

// TestLargeAnswersAreNotKept bounds the memory that remembered answers take.
func TestLargeAnswersAreNotKept(t *testing.T) {
	for name, c := range map[string]struct {
		size int
		keep bool
		want outcome.Kind
	}{
		"small, may be asked for": {10, true, outcome.Answered},
		"small, nobody will ask":  {10, false, outcome.Unknown},
		"large":                   {maxKeptBody + 1, true, outcome.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			a, _ := newTestAttempts()
			at, _ := a.begin("k")
			at.start()
			at.end(&Answer{Outcome: outcome.Done(), Body: make([]byte, c.size)})
			at.trim(c.keep)
			require.Equal(t, c.want, a.settle(t.Context(), "k").Outcome.Kind)
		})
	}
}
