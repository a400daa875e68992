package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dottereltiller/dottereltiller/bubble"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/core/routing"
	"github.com/dottereltiller/dottereltiller/wire"
)

// forwarderWithStuckUpstream answers each call after a millisecond, except calls
// to the stuck upstream, which do not return until they are cancelled.
type forwarderWithStuckUpstream struct {
	mu            sync.Mutex
	stuckUpstream model.UpstreamID
	calls         map[model.UpstreamID]int
	cancelled     int
}

func (g *forwarderWithStuckUpstream) Do(ctx context.Context, c *wire.Call) *wire.Result {
	g.mu.Lock()
	g.calls[c.Upstream]++
	seq, stuck := uint64(g.calls[c.Upstream]), c.Upstream == g.stuckUpstream
	g.mu.Unlock()
	if stuck {
		<-ctx.Done()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.cancelled++
		return wire.NoResponse(outcome.UnknownBecause(outcome.ReasonCancelled))
	}
	time.Sleep(time.Millisecond)
	a := wire.NoResponse(outcome.Done())
	a.Status, a.HasLoad = http.StatusOK, true
	a.Load = model.Load{Limit: 6, ServiceTime: time.Millisecond, Seq: seq}
	return a
}

// newWarmEntry returns an entry whose router has learned the usual latency of
// both upstreams, and a request to send.
func newWarmEntry(g *forwarderWithStuckUpstream, idempotent bool) (*Entry, *request) {
	origin := time.Now()
	now := func() model.Instant { return model.Instant(time.Since(origin)) }
	view := staticView{
		{ID: "s-1", Service: "s", Incarnation: 1, Slots: 6, Zone: "a", Daemon: "self"},
		{ID: "s-2", Service: "s", Incarnation: 1, Slots: 6, Zone: "a", Daemon: "self"},
	}
	e := New(Options{
		Now:     now,
		Routers: NewRouters(view, now, routing.Options{Zone: "a", Seed: 1}),
		Local:   g,
		Self:    "self",
	})
	req := &request{
		http:       httptest.NewRequest(http.MethodGet, "/", nil),
		service:    &policy.Service{Name: "s"},
		body:       &body{},
		idempotent: idempotent,
	}
	for range 1000 {
		a, _, _ := e.attempt(context.Background(), req, nil, 0)
		_ = a.Body.Close()
	}
	return e, req
}

func TestStuckIdempotentRequestIsHedged(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		g := &forwarderWithStuckUpstream{calls: make(map[model.UpstreamID]int)}
		e, req := newWarmEntry(g, true)
		g.stuckUpstream = "s-1"
		before := g.calls["s-1"]
		for range 10 {
			a, _, ok := e.attempt(context.Background(), req, nil, 0)
			assert.True(t, ok)
			assert.Equal(t, outcome.Answered, a.Outcome.Kind)
			assert.NoError(t, a.Body.Close())
		}
		assert.Greater(t, g.calls["s-1"], before, "the stuck upstream was tried")
		assert.Equal(t, g.calls["s-1"]-before, g.cancelled, "every stuck call was cancelled")
	})
}

func TestNonIdempotentRequestIsNeverHedged(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		g := &forwarderWithStuckUpstream{calls: make(map[model.UpstreamID]int)}
		e, req := newWarmEntry(g, false)
		total := g.calls["s-1"] + g.calls["s-2"]
		g.stuckUpstream = "s-1"
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		sent := 0
		for g.cancelled == 0 {
			a, _, _ := e.attempt(ctx, req, nil, 0)
			_ = a.Body.Close()
			sent++
		}
		assert.Equal(t, total+sent, g.calls["s-1"]+g.calls["s-2"], "one call for each request")
	})
}
