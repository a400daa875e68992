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

// newTestAttemptTable returns an empty table and the current time of its clock, which tests change.
func newTestAttemptTable() (*attemptTable, *model.Instant) {
	now := new(model.Instant)
	return newAttemptTable(func() model.Instant { return *now }), now
}

// TestOutcomeQueryCancelsUnstartedAttempt checks the reply to an outcome query for an attempt that
// has not arrived, waits, has completed or was rejected. An attempt that the reply reports as not
// run must not start later.
func TestOutcomeQueryCancelsUnstartedAttempt(t *testing.T) {
	done := &Result{Outcome: outcome.ResponseComplete(), Status: 200}
	for name, c := range map[string]struct {
		// setUp brings the attempt into the state in which its outcome is queried.
		setUp func(t *testing.T, table *attemptTable)
		want  outcome.Kind
		// mayStart reports whether the attempt may start after the outcome query.
		mayStart bool
	}{
		"unknown attempt is cancelled before it arrives": {func(*testing.T, *attemptTable) {}, outcome.NotRun, false},
		"waiting attempt is cancelled":                   {func(_ *testing.T, table *attemptTable) { table.register("k", time.Second) }, outcome.NotRun, false},
		"completed attempt": {func(t *testing.T, table *attemptTable) {
			attempt, _ := table.register("k", time.Second)
			require.True(t, attempt.start())
			attempt.finish(done)
		}, outcome.Answered, true},
		"refused": {func(_ *testing.T, table *attemptTable) {
			attempt, _ := table.register("k", time.Second)
			attempt.finish(notRunResult(outcome.ReasonQueueFull))
		}, outcome.NotRun, false},
	} {
		t.Run(name, func(t *testing.T) {
			table, _ := newTestAttemptTable()
			c.setUp(t, table)
			require.Equal(t, c.want, table.cancelOrAwait(t.Context(), "k", time.Second).Outcome.Kind)
			if !c.mayStart {
				attempt, duplicate := table.register("k", time.Second)
				require.True(t, duplicate)
				require.Equal(t, outcome.NotRun, attempt.duplicateResult().Outcome.Kind)
			}
		})
	}
}

// TestOutcomeQueryWaitsForRunningAttempt checks that an outcome query waits for the end of a
// running attempt. If the context of the query ends first, the outcome is unknown.
func TestOutcomeQueryWaitsForRunningAttempt(t *testing.T) {
	table, _ := newTestAttemptTable()
	attempt, _ := table.register("k", time.Second)
	require.True(t, attempt.start())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, outcome.Unknown, table.cancelOrAwait(ctx, "k", time.Second).Outcome.Kind, "a running attempt has no outcome yet")
	results := make(chan *Result)
	go func() { results <- table.cancelOrAwait(t.Context(), "k", time.Second) }()
	attempt.finish(&Result{Outcome: outcome.ResponseComplete()})
	require.Equal(t, outcome.Answered, (<-results).Outcome.Kind)
}

// TestEvictedAttemptsAreUnknown guards against the report that an attempt has not run when it
// has run and was then evicted. It fills the table beyond its limit. The outcome of every
// attempt that may have been evicted early is unknown. Attempts that run or wait are never
// evicted.
func TestEvictedAttemptsAreUnknown(t *testing.T) {
	table, now := newTestAttemptTable()
	completed, _ := table.register("first", time.Second)
	completed.start()
	completed.finish(&Result{Outcome: outcome.ResponseComplete()})
	running, _ := table.register("runs", time.Second)
	running.start()
	waiting, _ := table.register("waits", time.Second)
	for i := range 2 * maxRetainedAttempts {
		*now = now.Add(time.Microsecond)
		attempt, _ := table.register(fmt.Sprint(i), time.Second)
		attempt.finish(&Result{Outcome: outcome.ResponseComplete()})
	}
	require.LessOrEqual(t, len(table.byExpiry), maxRetainedAttempts+2, "the table is limited")
	require.Len(t, table.byKey, len(table.byExpiry))
	require.Equal(t, outcome.Unknown, table.cancelOrAwait(t.Context(), "first", time.Second).Outcome.Kind)
	require.Equal(t, outcome.Unknown, table.cancelOrAwait(t.Context(), "never received", time.Second).Outcome.Kind)
	require.False(t, running.cancel(), "running attempts stay in the table")
	require.Same(t, waiting, table.byKey["waits"])
	running.finish(&Result{Outcome: outcome.ResponseComplete()})
	waiting.finish(notRunResult(outcome.ReasonQueueFull))

	*now = now.Add(3 * retentionPeriod(time.Second))
	require.Equal(t, outcome.NotRun, table.cancelOrAwait(t.Context(), "later", time.Second).Outcome.Kind)
	require.Len(t, table.byExpiry, 1, "expired attempts are removed")
}

// TestAttemptsAreRetainedPastTheirDeadlines guards against requests with long deadlines that run
// twice. If their attempts were evicted while the sender still waits, an outcome query would
// report that they had not run.
func TestAttemptsAreRetainedPastTheirDeadlines(t *testing.T) {
	for name, c := range map[string]struct {
		deadline time.Duration
		// endsAfter is when the attempt ends, zero if it does not. queriedAfter is when
		// its outcome is queried.
		endsAfter, queriedAfter time.Duration
		want                    outcome.Kind
	}{
		"short deadline":                        {time.Second, time.Second / 2, 10 * time.Second, outcome.Answered},
		"long deadline":                         {time.Minute, time.Second, 59 * time.Second, outcome.Answered},
		"long deadline, late query":             {time.Minute, time.Second, 69 * time.Second, outcome.Answered},
		"still running long after the deadline": {time.Second, 0, time.Hour, outcome.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			table, now := newTestAttemptTable()
			attempt, _ := table.register("k", c.deadline)
			require.True(t, attempt.start())
			for end := now.Add(c.queriedAfter); *now < end; *now = now.Add(500 * time.Millisecond) {
				if c.endsAfter > 0 && *now >= model.Instant(c.endsAfter) {
					attempt.finish(&Result{Outcome: outcome.ResponseComplete()})
				}
				// Other attempts are registered all the time.
				otherAttempt, _ := table.register(fmt.Sprint(*now), time.Second)
				otherAttempt.finish(&Result{Outcome: outcome.ResponseComplete()})
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Nanosecond)
			defer cancel()
			require.Equal(t, c.want, table.cancelOrAwait(ctx, "k", c.deadline).Outcome.Kind)
		})
	}
}

// TestCancelledAttemptsStayCancelled guards against a call that runs after an outcome query has
// reported that it has not run. The call arrives shortly before its deadline, after the table
// was full.
func TestCancelledAttemptsStayCancelled(t *testing.T) {
	table, now := newTestAttemptTable()
	require.Equal(t, outcome.NotRun, table.cancelOrAwait(t.Context(), "k", time.Minute).Outcome.Kind)
	for i := range 2 * maxRetainedAttempts {
		attempt, _ := table.register(fmt.Sprint(i), time.Second)
		attempt.finish(&Result{Outcome: outcome.ResponseComplete()})
	}
	*now = now.Add(time.Minute)
	attempt, duplicate := table.register("k", time.Minute)
	require.True(t, duplicate)
	require.False(t, attempt.start())
}

// TestProofOfNotRunExpiresDuringSuspension guards against a request that runs twice because the
// VM of its sender was suspended. By the monotonic clock of the sender hardly any time has
// passed, but the guard evicted the attempt long ago.
func TestProofOfNotRunExpiresDuringSuspension(t *testing.T) {
	for name, c := range map[string]struct {
		elapsed time.Duration
		want    outcome.Kind
	}{
		"within the retention period": {retentionPeriod(time.Second), outcome.NotRun},
		"after the retention period":  {retentionPeriod(time.Second) + 1, outcome.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			e := &entry{bootClock: func() time.Duration { return time.Hour + c.elapsed }}
			got := e.dropExpiredProof(notRunResult(outcome.ReasonWithdrawn), time.Hour, &Call{Deadline: time.Second})
			require.Equal(t, c.want, got.Outcome.Kind)
		})
	}
}

// TestCancelledAttemptNeverStarts interleaves starts and cancellations of an attempt in
// random order. An attempt that was reported as not run must never start.
func TestCancelledAttemptNeverStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, _ := newTestAttemptTable()
		attempt, _ := table.register("k", time.Second)
		started, cancelled := false, false
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 1), 1, 6).Draw(t, "steps") {
			if step == 0 && !started {
				started = attempt.start()
			} else if step == 1 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
				cancelled = table.cancelOrAwait(ctx, "k", time.Second).Outcome.Kind == outcome.NotRun || cancelled
				cancel()
			}
			require.False(t, started && cancelled)
		}
	})
}

// TestLargeResponsesAreNotRetained checks which responses the table of attempts still holds
// after they were returned to the entry. It holds neither large responses nor those of attempts
// whose outcome will not be queried.
func TestLargeResponsesAreNotRetained(t *testing.T) {
	for name, c := range map[string]struct {
		bodyBytes int
		keepSmall bool
		want      outcome.Kind
	}{
		"small, outcome may be queried": {10, true, outcome.Answered},
		"small, outcome is not queried": {10, false, outcome.Unknown},
		"large":                         {maxRetainedBody + 1, true, outcome.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			table, _ := newTestAttemptTable()
			attempt, _ := table.register("k", time.Second)
			attempt.start()
			attempt.finish(&Result{Outcome: outcome.ResponseComplete(), Body: make([]byte, c.bodyBytes)})
			attempt.discardBody(c.keepSmall)
			require.Equal(t, c.want, table.cancelOrAwait(t.Context(), "k", time.Second).Outcome.Kind)
		})
	}
}

// TestRetainedResponsesAreBounded ends attempts that nobody waits for. The bodies that the table keeps for outcome
// queries must stay within maxRetainedBytes, and an evicted attempt must make room again.
func TestRetainedResponsesAreBounded(t *testing.T) {
	table, now := newTestAttemptTable()
	end := func(key string) *attempt {
		a, _ := table.register(key, time.Second)
		a.start()
		a.finish(&Result{Outcome: outcome.ResponseComplete(), Body: make([]byte, maxRetainedBytes/2)})
		return a
	}
	kind := func(key string) outcome.Kind { return table.cancelOrAwait(t.Context(), key, time.Second).Outcome.Kind }
	end("a")
	b := end("b")
	end("c")
	require.Equal(t, []outcome.Kind{outcome.Answered, outcome.Answered, outcome.Unknown}, []outcome.Kind{kind("a"), kind("b"), kind("c")})
	b.discardBody(true)
	end("d")
	require.Equal(t, outcome.Answered, kind("d"), "b has returned what it took")
	require.EqualValues(t, maxRetainedBytes, table.retainedBytes.Load())
	*now = now.Add(time.Hour)
	table.register("e", time.Second)
	require.Zero(t, table.retainedBytes.Load())
}

// TestResponseThatIsWaitedForIsDelivered guards against a response that is too large for the table and is lost,
// although the entry waits for it.
func TestResponseThatIsWaitedForIsDelivered(t *testing.T) {
	table, _ := newTestAttemptTable()
	a, _ := table.register("k", time.Second)
	a.start()
	a.addWaiter()
	a.finish(&Result{Outcome: outcome.ResponseComplete(), Body: make([]byte, maxRetainedBytes+1)})
	require.Equal(t, outcome.Answered, a.await(t.Context()).Outcome.Kind)
	require.Zero(t, table.retainedBytes.Load())
}
