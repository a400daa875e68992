package sidecar

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/core/retry"
)

// The tests in this file give a daemon the worst wrong state that it can have, and then
// send it ordinary load. A wrong state that causes requests to be refused must be
// corrected even though no request runs.

// maxCorrectionTime is how long a wrong state may last.
const maxCorrectionTime = 5 * time.Second

// newIdleGuard returns a guard that uses the given clock and sends no health checks.
func newIdleGuard(now *model.Instant) *guard {
	g := newGuard(&Options{Tunables: Tunables{Service: "b"}}, func() model.Instant { return *now }, newMetrics(nil))
	g.configVersion = func() model.Version { return 1 }
	g.healthPath = func() string { return "" }
	g.isUrgent = func(int) bool { return false }
	g.slotsFromPeers = func(lifecycle.Incarnation) int { return 0 }
	return g
}

// newCall returns a call with enough time until its deadline.
func newCall() *Call {
	return &Call{
		ID: "x", Method: http.MethodGet, Service: "b", Upstream: lifecycle.Incarnation{ID: "b1", Born: 1}, Idempotent: true,
		ServiceTime: 50 * time.Millisecond, TimeToTarget: 300 * time.Millisecond, Deadline: time.Second,
	}
}

// TestWrongUpstreamStateIsCorrected corrupts what a guard knows of its upstream. Within
// maxCorrectionTime, status reports and the passing of time must correct it.
func TestWrongUpstreamStateIsCorrected(t *testing.T) {
	for name, c := range map[string]struct {
		corrupt func(g *guard)
		// corrected reports whether the state is correct again.
		corrected func(g *guard) bool
	}{
		"one slot, as the number was not reported": {
			func(g *guard) {
				g.handleReport(lifecycle.Report{Incarnation: lifecycle.Incarnation{ID: "b1"}, State: lifecycle.Ready, Service: "b"}, "health answer")
			},
			func(g *guard) bool { return g.queue.Limit() == placement.DefaultLimit(14) },
		},
		"very high slowdown": {
			func(g *guard) { g.slowdown, g.slowdownAt, g.slowdownReported = 100, g.now(), true },
			func(g *guard) bool {
				id, _, rejection := g.enqueue(newCall())
				_ = g.cancelWaiting(id)
				return rejection == nil && !g.wouldDrop()
			},
		},
		"failure rate of 1": {
			func(g *guard) {
				for range 100 {
					g.failures.Record(g.now(), true)
				}
			},
			func(g *guard) bool { return g.failures.At(g.now()) < 0.5 },
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := model.Instant(time.Hour)
			g := newIdleGuard(&now)
			c.corrupt(g)
			require.False(t, c.corrected(g))
			r := readyReport("b1", 1, 1, "b")
			r.Slots = 14
			for end := now.Add(maxCorrectionTime); now < end; now = now.Add(500 * time.Millisecond) {
				r.Sequence++
				g.handleReport(r, "report")
			}
			require.True(t, c.corrected(g))
		})
	}
}

// wouldDrop reports whether the queue would drop the call of newCall with the reason
// slots.DeadlineUnreachable. As in slots.Queue.Next, the expected service time is the usual service
// time multiplied by the slowdown. Half of it is compared with the time until the deadline. A call
// may run faster than expected, so it is dropped only if even half of the expected time is too long.
func (g *guard) wouldDrop() bool {
	c := newCall()
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.currentSlowdown()*float64(c.ServiceTime)/2) >= c.Deadline
}

// TestWrongServiceTimeIsCorrected guards against routes whose requests are refused forever. It
// sets service times above every deadline, as they may be measured on upstreams that have just
// started. Only a response corrects a service time, so requests must be sent nevertheless.
func TestWrongServiceTimeIsCorrected(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a, _ := startReady(t, s, "a", "a1"), startReady(t, s, "b", "b1")
	a.waitForCandidates(t, "b", 1)
	for range 64 {
		a.entry.recordServiceTime("safe", time.Hour)
		a.entry.recordServiceTime("unsafe", time.Hour)
	}
	eventually(t, "requests are served again", func() bool {
		safe, _ := a.get(t, "/safe/")
		unsafe, _ := a.post(t, "/unsafe/")
		return safe == http.StatusOK && unsafe == http.StatusOK
	})
}

// TestUnreportedSlotsAreInferredFromRecords checks the number of slots that a daemon assumes when
// it starts after its upstream. Until the upstream reports the number, it comes from the records
// of other daemons.
func TestUnreportedSlotsAreInferredFromRecords(t *testing.T) {
	local := lifecycle.Incarnation{ID: "b1", Born: 1}
	other := Record{Address: "other", Incarnation: 1, Sequence: 1, Service: "b", Slots: 6}
	previous := Record{Address: "own", Incarnation: 1, Sequence: 1, Service: "b", Upstream: local, Slots: 14}
	for name, c := range map[string]struct {
		known []Record
		want  int
	}{
		"no daemon has a number":                             {nil, 0},
		"number of another upstream of the service":          {[]Record{other}, 6},
		"number that the previous daemon at the address had": {[]Record{previous, other}, 14},
		"previous daemon had a different upstream":           {[]Record{{Address: "own", Incarnation: 1, Sequence: 1, Service: "c", Upstream: lifecycle.Incarnation{ID: "c1"}, Slots: 99}, other}, 6},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPeers(Record{Address: "own", Incarnation: 2, Sequence: 1, Service: "b"}, func() model.Instant { return 0 }, nil)
			p.ctx = cancelledContext(t)
			p.merge(c.known)
			require.Equal(t, c.want, p.inferSlots(lifecycle.Incarnation{ID: "b1"}))
		})
	}
}

// TestUnreachableUpstreamIsTriedAgain checks that an upstream that was unreachable is
// avoided only for a short time.
func TestUnreachableUpstreamIsTriedAgain(t *testing.T) {
	p := placement.New(placement.Options{Zone: "z"})
	p.SetUpstreams([]placement.Upstream{{Key: "a", Zone: "z", Slots: 6}, {Key: "b", Zone: "z", Slots: 1}})
	p.MarkUnreachable(0, "a")
	for now := model.Instant(0).Add(maxCorrectionTime); ; now = now.Add(time.Millisecond) {
		c, ok := p.Choose(now, placement.Request{ServiceTime: time.Millisecond})
		require.True(t, ok)
		if c.Upstream.Key == "a" {
			return
		}
		require.Less(t, now, model.Instant(0).Add(2*maxCorrectionTime))
	}
}

// TestRetryBudgetRecoversAfterItsSpan exhausts a retry budget. After the span of the budget,
// retries must be allowed again.
func TestRetryBudgetRecoversAfterItsSpan(t *testing.T) {
	b := RetryBudget{Ratio: 0.2, Slack: 50, Span: 10 * time.Second}
	r := newRetryLimiter(b)
	now := model.Instant(time.Hour)
	for r.tryCharge(now, retry.Completing, 1, 2, 1) {
	}
	require.False(t, r.tryCharge(now, retry.Completing, 1, 2, 1))
	now = now.Add(b.Span + time.Second)
	require.True(t, r.tryCharge(now, retry.Completing, 1, 2, 1))
}

// cancelledContext returns a cancelled context. With it, peers send nothing.
func cancelledContext(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

// TestUnreachableDaemonsAreRetried guards against daemons that stay unreachable after two
// regions were disconnected for minutes. No daemon restarts and announces itself afterwards, so
// each must keep trying to reach the others. A daemon that stays unreachable for hours must be
// removed.
func TestUnreachableDaemonsAreRetried(t *testing.T) {
	var now model.Instant
	p := newPeers(Record{Address: "own", Incarnation: 1, Sequence: 1}, func() model.Instant { return now }, nil)
	p.ctx = cancelledContext(t)
	p.merge([]Record{{Address: "far", Incarnation: 1, Sequence: 1, Service: "b", State: lifecycle.Ready}})
	farPeer := p.others["far"]
	for _, c := range []struct {
		unreachableFor time.Duration
		retry          bool
		maxDelay       time.Duration
	}{{0, true, maxSyncBackoff}, {30 * time.Second, true, maxSyncBackoff}, {20 * time.Minute, true, unreachableSyncBackoff}, {2 * time.Hour, false, 0}} {
		now = model.Instant(c.unreachableFor)
		retry, maxDelay := p.recordFailedExchange(farPeer, errNotAcknowledged)
		require.Equal(t, c.retry, retry, c.unreachableFor)
		require.Equal(t, c.maxDelay, maxDelay, c.unreachableFor)
	}
	require.Empty(t, p.others)
}
