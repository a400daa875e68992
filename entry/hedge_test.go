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
	mu              sync.Mutex
	stuckUpstream   model.UpstreamID
	callsByUpstream map[model.UpstreamID]int
	cancelledCount  int
}

func (f *forwarderWithStuckUpstream) Do(ctx context.Context, c *wire.Call) *wire.Result {
	f.mu.Lock()
	f.callsByUpstream[c.Upstream]++
	seq, stuck := uint64(f.callsByUpstream[c.Upstream]), c.Upstream == f.stuckUpstream
	f.mu.Unlock()
	if stuck {
		<-ctx.Done()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cancelledCount++
		return wire.NoResponse(outcome.UnknownBecause(outcome.ReasonCancelled))
	}
	time.Sleep(time.Millisecond)
	response := wire.NoResponse(outcome.ResponseComplete())
	response.Status, response.HasLoad = http.StatusOK, true
	response.Load = model.Load{Limit: 6, ServiceTime: time.Millisecond, Seq: seq}
	return response
}

// newWarmEntry returns an entry with two upstreams and a request to send. The entry's
// router has already learned the usual latency of both upstreams from 1000 requests.
func newWarmEntry(f *forwarderWithStuckUpstream, idempotent bool) (*Entry, *request) {
	origin := time.Now()
	now := func() model.Instant { return model.Instant(time.Since(origin)) }
	view := staticView{
		{ID: "s-1", Service: "s", Incarnation: 1, Slots: 6, Zone: "a", Daemon: "self"},
		{ID: "s-2", Service: "s", Incarnation: 1, Slots: 6, Zone: "a", Daemon: "self"},
	}
	e := New(Options{
		Now:     now,
		Routers: NewRouters(view, now, routing.Options{Zone: "a", Seed: 1}),
		Local:   f,
		Self:    "self",
	})
	req := &request{
		http:       httptest.NewRequest(http.MethodGet, "/", nil),
		service:    &policy.Service{Name: "s"},
		body:       &body{},
		idempotent: idempotent,
	}
	for range 1000 {
		response, _, _ := e.attempt(context.Background(), req, nil, 0)
		_ = response.Body.Close()
	}
	return e, req
}

// TestStuckIdempotentRequestIsHedged sends idempotent requests while one upstream does not
// answer. Each request must be answered by the other upstream, and each call to the stuck
// upstream must be cancelled.
func TestStuckIdempotentRequestIsHedged(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		f := &forwarderWithStuckUpstream{callsByUpstream: make(map[model.UpstreamID]int)}
		e, req := newWarmEntry(f, true)
		f.stuckUpstream = "s-1"
		callsBefore := f.callsByUpstream["s-1"]
		for range 10 {
			response, _, ok := e.attempt(context.Background(), req, nil, 0)
			assert.True(t, ok)
			assert.Equal(t, outcome.Answered, response.Outcome.Kind)
			assert.NoError(t, response.Body.Close())
		}
		assert.Greater(t, f.callsByUpstream["s-1"], callsBefore, "the stuck upstream was tried")
		assert.Equal(t, f.callsByUpstream["s-1"]-callsBefore, f.cancelledCount, "every stuck call was cancelled")
	})
}

// TestNonIdempotentRequestIsNeverHedged sends non-idempotent requests until one has been
// sent to the stuck upstream and has run into its deadline. Each request must have been
// sent to one upstream only.
func TestNonIdempotentRequestIsNeverHedged(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		f := &forwarderWithStuckUpstream{callsByUpstream: make(map[model.UpstreamID]int)}
		e, req := newWarmEntry(f, false)
		callsBefore := f.callsByUpstream["s-1"] + f.callsByUpstream["s-2"]
		f.stuckUpstream = "s-1"
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		sentCount := 0
		for f.cancelledCount == 0 {
			response, _, _ := e.attempt(ctx, req, nil, 0)
			_ = response.Body.Close()
			sentCount++
		}
		assert.Equal(t, callsBefore+sentCount, f.callsByUpstream["s-1"]+f.callsByUpstream["s-2"], "one call for each request")
	})
}
