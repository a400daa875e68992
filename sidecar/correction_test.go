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
)

// The tests of this file set what a daemon believes to its worst, and have ordinary load
// come. A belief that has requests refused must not need those to be corrected.

// correctedWithin is how long a wrong belief may last.
const correctedWithin = 5 * time.Second

// newIdleGuard returns a guard that keeps time by now and whose upstream is not asked.
func newIdleGuard(now *model.Instant) *guard {
	g := newGuard(&Options{Tunables: Tunables{Service: "b"}}, func() model.Instant { return *now }, newMetrics(nil))
	g.version = func() model.Version { return 1 }
	g.health = func() string { return "" }
	g.urgent = func(int) bool { return false }
	g.slots = func(lifecycle.Incarnation) int { return 0 }
	return g
}

// ordinary is a call with enough time.
func ordinary() *Call {
	return &Call{
		ID: "x", Method: http.MethodGet, Service: "b", Upstream: lifecycle.Incarnation{ID: "b1", Born: 1}, Idempotent: true,
		ServiceTime: 50 * time.Millisecond, TimeToTarget: 300 * time.Millisecond, Deadline: time.Second,
	}
}

func TestWrongUpstreamStateIsCorrected(t *testing.T) {
	for name, c := range map[string]struct {
		corrupt func(g *guard)
		// right reports whether the belief is as it should be.
		corrected func(g *guard) bool
	}{
		"one slot, as nobody told them": {
			func(g *guard) {
				g.report(lifecycle.Report{Incarnation: lifecycle.Incarnation{ID: "b1"}, State: lifecycle.Ready, Service: "b"}, "health answer")
			},
			func(g *guard) bool { return g.queue.Limit() == placement.LimitOf(14) },
		},
		"very slow": {
			func(g *guard) { g.slowdown, g.slowdownAt, g.slowdownReported = 100, g.now(), true },
			func(g *guard) bool {
				id, _, refused := g.enqueue(ordinary())
				_ = g.cancelWaiting(id)
				return refused == nil && !g.wouldDrop()
			},
		},
		"fails everything": {
			func(g *guard) {
				for range 100 {
					g.failures.Count(g.now(), true)
				}
			},
			func(g *guard) bool { return g.failures.Share(g.now()) < 0.5 },
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := model.Instant(time.Hour)
			g := newIdleGuard(&now)
			c.corrupt(g)
			require.False(t, c.corrected(g))
			r := ready("b1", 1, 1, "b")
			r.Slots = 14
			for end := now.Add(correctedWithin); now < end; now = now.Add(500 * time.Millisecond) {
				r.Sequence++
				g.report(r, "report")
			}
			require.True(t, c.corrected(g))
		})
	}
}

// hopeless reports whether the queue would drop an ordinary call.
func (g *guard) wouldDrop() bool {
	c := ordinary()
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.currentSlowdown()*float64(c.ServiceTime)/2) >= c.Deadline
}

// TestWorkThatWasLearnedOfColdUpstreams is above every deadline. Without an answer it
// stays as it is, but requests are sent again.
func TestWrongServiceTimeIsCorrected(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a, _ := join(t, s, "a", "a1"), join(t, s, "b", "b1")
	a.knows(t, "b", 1)
	for range 64 {
		a.entry.recordServiceTime("safe", time.Hour)
		a.entry.recordServiceTime("unsafe", time.Hour)
	}
	eventually(t, "served again", func() bool {
		safe, _ := a.get(t, "/safe/")
		unsafe, _ := a.post(t, "/unsafe/")
		return safe == http.StatusOK && unsafe == http.StatusOK
	})
}

// TestSlotsThatAreNotTold has a daemon start beside an upstream that runs already and
// does not tell its slots: what others know of it is used until it reports.
func TestSlotsOfUpstreamThatDoesNotReportThem(t *testing.T) {
	i := lifecycle.Incarnation{ID: "b1", Born: 1}
	other := Record{Address: "other", Incarnation: 1, Sequence: 1, Service: "b", Slots: 6}
	before := Record{Address: "own", Incarnation: 1, Sequence: 1, Service: "b", Upstream: i, Slots: 14}
	for name, c := range map[string]struct {
		known []Record
		want  int
	}{
		"nobody knows":                 {nil, 0},
		"others of the service do":     {[]Record{other}, 6},
		"the daemon before did":        {[]Record{before, other}, 14},
		"the one before had another's": {[]Record{{Address: "own", Incarnation: 1, Sequence: 1, Service: "c", Upstream: lifecycle.Incarnation{ID: "c1"}, Slots: 99}, other}, 6},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPeers(Record{Address: "own", Incarnation: 2, Sequence: 1, Service: "b"}, func() model.Instant { return 0 }, nil)
			p.ctx = cancelledContext(t)
			p.merge(c.known)
			require.Equal(t, c.want, p.slotsOf(lifecycle.Incarnation{ID: "b1"}))
		})
	}
}

// TestAvoidanceIsShort passes an upstream over that could not be reached.
func TestUnreachableUpstreamIsTriedAgain(t *testing.T) {
	p := placement.New(placement.Options{Zone: "z"})
	p.Set([]placement.Upstream{{Key: "a", Zone: "z", Slots: 6}, {Key: "b", Zone: "z", Slots: 1}})
	p.Unreachable(0, "a")
	for now := model.Instant(0).Add(correctedWithin); ; now = now.Add(time.Millisecond) {
		c, ok := p.Choose(now, placement.Ask{Work: time.Millisecond})
		require.True(t, ok)
		if c.Upstream.Key == "a" {
			return
		}
		require.Less(t, now, model.Instant(0).Add(2*correctedWithin))
	}
}

// TestBudgetInUsePasses takes all re-sends. Their span over, there are some again.
func TestRetryBudgetRecoversAfterItsSpan(t *testing.T) {
	b := ResendBudget{Ratio: 0.2, Slack: 50, Span: 10 * time.Second}
	r := newRetryLimiter(b)
	now := model.Instant(time.Hour)
	for r.take(now, 1, 2, 1) {
	}
	require.False(t, r.take(now, 1, 2, 1))
	now = now.Add(b.Span + time.Second)
	require.True(t, r.take(now, 1, 2, 1))
}

// cancelled returns a context that has ended, so that nothing is sent.
func cancelledContext(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

// TestLostDaemonsAreLookedFor cuts two regions from each other for minutes. Neither side
// starts anew, so each must look for the other.
func TestUnreachableDaemonsAreRetried(t *testing.T) {
	var now model.Instant
	p := newPeers(Record{Address: "own", Incarnation: 1, Sequence: 1}, func() model.Instant { return now }, nil)
	p.ctx = cancelledContext(t)
	p.merge([]Record{{Address: "far", Incarnation: 1, Sequence: 1, Service: "b", State: lifecycle.Ready}})
	q := p.all["far"]
	for _, c := range []struct {
		lostFor  time.Duration
		retry    bool
		maxDelay time.Duration
	}{{0, true, maxPause}, {30 * time.Second, true, maxPause}, {20 * time.Minute, true, lookPause}, {2 * time.Hour, false, 0}} {
		now = model.Instant(c.lostFor)
		again, most := p.unsynced(q, errNotAcknowledged)
		require.Equal(t, c.retry, again, c.lostFor)
		require.Equal(t, c.maxDelay, most, c.lostFor)
	}
	require.Empty(t, p.all)
}
