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

func TestResolveAttempt(t *testing.T) {
	done := &Answer{Outcome: outcome.Done(), Status: 200}
	for name, c := range map[string]struct {
		setUp func(t *testing.T, a *attempts)
		want  outcome.Kind
		// starts tells whether the attempt may start afterwards.
		mayStart bool
	}{
		"never came: it is withdrawn and will not start": {func(*testing.T, *attempts) {}, outcome.NotRun, false},
		"waits: it is withdrawn":                         {func(_ *testing.T, a *attempts) { a.register("k", time.Second) }, outcome.NotRun, false},
		"ended": {func(t *testing.T, a *attempts) {
			at, _ := a.register("k", time.Second)
			require.True(t, at.start())
			at.finish(done)
		}, outcome.Answered, true},
		"refused": {func(_ *testing.T, a *attempts) {
			at, _ := a.register("k", time.Second)
			at.finish(notRun(outcome.ReasonQueueFull))
		}, outcome.NotRun, false},
	} {
		t.Run(name, func(t *testing.T) {
			a, _ := newTestAttempts()
			c.setUp(t, a)
			require.Equal(t, c.want, a.settle(t.Context(), "k", time.Second).Outcome.Kind)
			if !c.mayStart {
				at, known := a.register("k", time.Second)
				require.True(t, known)
				require.Equal(t, outcome.NotRun, at.duplicateResult().Outcome.Kind)
			}
		})
	}
}

func TestResolveWaitsForRunningAttempt(t *testing.T) {
	a, _ := newTestAttempts()
	at, _ := a.register("k", time.Second)
	require.True(t, at.start())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, outcome.Unknown, a.settle(ctx, "k", time.Second).Outcome.Kind, "it runs: nothing is promised")
	got := make(chan *Answer)
	go func() { got <- a.settle(t.Context(), "k", time.Second) }()
	at.finish(&Answer{Outcome: outcome.Done()})
	require.Equal(t, outcome.Answered, (<-got).Outcome.Kind)
}

// TestForgottenAttemptsAreUnknown floods a guard: what it had to forget early it
// no longer promises anything of. What runs or waits is never forgotten.
func TestEvictedAttemptsAreUnknown(t *testing.T) {
	a, now := newTestAttempts()
	first, _ := a.register("first", time.Second)
	first.start()
	first.finish(&Answer{Outcome: outcome.Done()})
	runs, _ := a.register("runs", time.Second)
	runs.start()
	waits, _ := a.register("waits", time.Second)
	for i := range 2 * maxRetainedAttempts {
		*now = now.Add(time.Microsecond)
		at, _ := a.register(fmt.Sprint(i), time.Second)
		at.finish(&Answer{Outcome: outcome.Done()})
	}
	require.LessOrEqual(t, len(a.byExpiry), maxRetainedAttempts+2, "bounded")
	require.Len(t, a.byKey, len(a.byExpiry))
	require.Equal(t, outcome.Unknown, a.settle(t.Context(), "first", time.Second).Outcome.Kind)
	require.Equal(t, outcome.Unknown, a.settle(t.Context(), "never came", time.Second).Outcome.Kind)
	require.False(t, runs.cancel(), "still known")
	require.Same(t, waits, a.byKey["waits"])
	runs.finish(&Answer{Outcome: outcome.Done()})
	waits.finish(notRun(outcome.ReasonQueueFull))

	*now = now.Add(3 * retentionPeriod(time.Second))
	require.Equal(t, outcome.NotRun, a.settle(t.Context(), "later", time.Second).Outcome.Kind)
	require.Len(t, a.byExpiry, 1, "old attempts are forgotten")
}

// TestAttemptsAreKnownPastTheirDeadlines answers requests that may take long: nobody
// who has one of them in hand may be told that it is not known, and so has not run.
func TestAttemptsAreRetainedPastTheirDeadlines(t *testing.T) {
	for name, c := range map[string]struct {
		deadline time.Duration
		// ends is when the attempt ends, if it does, asked when it is asked for.
		endsAfter, queriedAfter time.Duration
		want                    outcome.Kind
	}{
		"short":                          {time.Second, time.Second / 2, 10 * time.Second, outcome.Answered},
		"long":                           {time.Minute, time.Second, 59 * time.Second, outcome.Answered},
		"long, and its sender is late":   {time.Minute, time.Second, 69 * time.Second, outcome.Answered},
		"runs for longer than it should": {time.Second, 0, time.Hour, outcome.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			a, now := newTestAttempts()
			at, _ := a.register("k", c.deadline)
			require.True(t, at.start())
			for end := now.Add(c.queriedAfter); *now < end; *now = now.Add(500 * time.Millisecond) {
				if c.endsAfter > 0 && *now >= model.Instant(c.endsAfter) {
					at.finish(&Answer{Outcome: outcome.Done()})
				}
				// Others come all the while.
				other, _ := a.register(fmt.Sprint(*now), time.Second)
				other.finish(&Answer{Outcome: outcome.Done()})
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Nanosecond)
			defer cancel()
			require.Equal(t, c.want, a.settle(ctx, "k", c.deadline).Outcome.Kind)
		})
	}
}

// TestBarredAttemptsStayBarred has a call come after its guard has said that it never
// came, late but within its time.
func TestCancelledAttemptsStayCancelled(t *testing.T) {
	a, now := newTestAttempts()
	require.Equal(t, outcome.NotRun, a.settle(t.Context(), "k", time.Minute).Outcome.Kind)
	for i := range 2 * maxRetainedAttempts {
		at, _ := a.register(fmt.Sprint(i), time.Second)
		at.finish(&Answer{Outcome: outcome.Done()})
	}
	*now = now.Add(time.Minute)
	at, known := a.register("k", time.Minute)
	require.True(t, known)
	require.False(t, at.start())
}

// TestSuspendedSendersTakeNothingAsProof suspends the VM of a sender: by its own clock
// hardly any time has passed, while the guard has long forgotten the call.
func TestProofOfNotRunExpiresDuringSuspension(t *testing.T) {
	for name, c := range map[string]struct {
		elapsed time.Duration
		want    outcome.Kind
	}{
		"within the guard's memory": {retentionPeriod(time.Second), outcome.NotRun},
		"past it":                   {retentionPeriod(time.Second) + 1, outcome.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			e := &entry{bootClock: func() time.Duration { return time.Hour + c.elapsed }}
			got := e.dropExpiredProof(notRun(outcome.ReasonWithdrawn), time.Hour, &Call{Deadline: time.Second})
			require.Equal(t, c.want, got.Outcome.Kind)
		})
	}
}

// TestWithdrawnNeverStarts draws any order of a start and a withdrawal.
func TestCancelledAttemptNeverStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, _ := newTestAttempts()
		at, _ := a.register("k", time.Second)
		started, withdrawn := false, false
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 1), 1, 6).Draw(t, "steps") {
			if step == 0 && !started {
				started = at.start()
			} else if step == 1 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
				withdrawn = a.settle(ctx, "k", time.Second).Outcome.Kind == outcome.NotRun || withdrawn
				cancel()
			}
			require.False(t, started && withdrawn)
		}
	})
}

// TestLargeAnswersAreNotKept bounds the memory that remembered answers take.
func TestLargeResponsesAreNotRetained(t *testing.T) {
	for name, c := range map[string]struct {
		size int
		keep bool
		want outcome.Kind
	}{
		"small, may be asked for": {10, true, outcome.Answered},
		"small, nobody will ask":  {10, false, outcome.Unknown},
		"large":                   {maxRetainedBody + 1, true, outcome.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			a, _ := newTestAttempts()
			at, _ := a.register("k", time.Second)
			at.start()
			at.finish(&Answer{Outcome: outcome.Done(), Body: make([]byte, c.size)})
			at.discardBody(c.keep)
			require.Equal(t, c.want, a.settle(t.Context(), "k", time.Second).Outcome.Kind)
		})
	}
}
