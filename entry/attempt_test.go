package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/core/routing"
	"github.com/dottereltiller/dottereltiller/wire"
)

// staticView is a membership view that never changes.
type staticView []model.Upstream

func (v staticView) Upstreams(model.ServiceName) ([]model.Upstream, uint64) { return v, 1 }
func (v staticView) Generation() uint64                                     { return 1 }

// rejectingGuard rejects every call that has a queue timeout, and answers all
// other calls. It records all calls.
type rejectingGuard struct{ calls []*wire.Call }

func (g *rejectingGuard) Do(_ context.Context, c *wire.Call) *wire.Result {
	g.calls = append(g.calls, c)
	response := wire.NoResponse(outcome.ResponseComplete())
	if c.HasQueueTimeout {
		response = wire.NoResponse(outcome.NotRunBecause(outcome.ReasonWithdrawn))
	}
	response.Status, response.HasLoad = http.StatusOK, true
	response.Load = model.Load{Running: 6, Limit: 6, Seq: uint64(len(g.calls))}
	return response
}

// attemptOnce makes one attempt with the given body through the guard g.
func attemptOnce(g *rejectingGuard, b *body) (*wire.Result, bool) {
	now := func() model.Instant { return 0 }
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
		http:    httptest.NewRequest(http.MethodPost, "/", nil),
		service: &policy.Service{Name: "s"},
		body:    b,
	}
	response, _, ok := e.attempt(context.Background(), req, nil, 0)
	return response, ok
}

// TestRejectedRequestTriesOtherUpstreamsAndThenWaits has every guard reject the request. After
// routing.MaxRejections rejections, the request must be sent without a queue timeout.
func TestRejectedRequestTriesOtherUpstreamsAndThenWaits(t *testing.T) {
	g := &rejectingGuard{}
	response, ok := attemptOnce(g, &body{data: []byte("x"), length: 1})
	assert.True(t, ok)
	assert.Equal(t, outcome.Answered, response.Outcome.Kind)
	assert.Len(t, g.calls, routing.MaxRejections+1)
	assert.False(t, g.calls[routing.MaxRejections].HasQueueTimeout, "the last call waits until its deadline")
	assert.NotEqual(t, g.calls[0].ID, g.calls[1].ID, "each call has its own ID")
}

func TestStreamedBodyIsSentOnce(t *testing.T) {
	g := &rejectingGuard{}
	_, ok := attemptOnce(g, &body{stream: http.NoBody, length: -1})
	assert.True(t, ok)
	assert.Len(t, g.calls, 1)
	assert.False(t, g.calls[0].HasQueueTimeout)
}
