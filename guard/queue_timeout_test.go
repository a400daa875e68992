package guard

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/admission"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/membership"
	"github.com/dottereltiller/dottereltiller/wire"
)

// newBusyGuard returns a guard for an upstream whose only slot is taken until
// release is called. The upstream sends the path of each request that it receives to
// the channel executedPaths. newBusyGuard has already received the path of the request that
// holds the slot.
func newBusyGuard(t *testing.T) (g *Guard, executedPaths chan string, release func()) {
	t.Helper()
	executedPaths = make(chan string, 10)
	unblock := make(chan struct{})
	upstream := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		executedPaths <- r.URL.Path
		<-unblock
	}))
	t.Cleanup(upstream.Close)
	origin := time.Now()
	g = New(Options{
		Now:    func() model.Instant { return model.Instant(time.Since(origin)) },
		Groups: func(model.ServiceName) []admission.Group { return nil },
	})
	up := model.Upstream{ID: "s-1", Service: "s", Incarnation: 1, Slots: 1}
	g.Attach(membership.LocalUpstream{Upstream: up, Address: upstream.Listener.Addr().String()})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(io.Discard, g.Do(context.Background(), newCall("/first")).Body)
	}()
	require.Equal(t, "/first", <-executedPaths)
	return g, executedPaths, func() {
		close(unblock)
		<-done
	}
}

func newCall(path string) *wire.Call {
	return &wire.Call{
		ID: path, Method: http.MethodGet, Target: path, Host: "s", Header: http.Header{},
		Service: "s", Upstream: "s-1", Incarnation: 1, Timeout: time.Minute,
	}
}

// TestCallIsWithdrawnAfterQueueTimeout sends two calls while the only slot is taken: one
// with a queue timeout of zero, one with a short queue timeout. Both must be withdrawn,
// and neither may reach the upstream.
func TestCallIsWithdrawnAfterQueueTimeout(t *testing.T) {
	g, executed, release := newBusyGuard(t)
	for name, queueTimeout := range map[string]time.Duration{"at once": 0, "after a wait": time.Millisecond} {
		c := newCall("/" + name)
		c.Target = "/second"
		c.HasQueueTimeout, c.QueueTimeout = true, queueTimeout
		response := g.Do(context.Background(), c)
		assert.Equal(t, outcome.NotRunBecause(outcome.ReasonWithdrawn), response.Outcome, name)
		assert.Equal(t, model.Load{Running: 1, Limit: 1, Seq: response.Load.Seq}, response.Load, name)
		assert.NoError(t, response.Body.Close())
	}
	release()
	assert.Empty(t, executed, "no withdrawn call was sent to the upstream")
}

func TestWaitingCallStartsWhenSlotIsFree(t *testing.T) {
	g, executed, release := newBusyGuard(t)
	c := newCall("/second")
	c.HasQueueTimeout, c.QueueTimeout = true, time.Minute
	responses := make(chan *wire.Result)
	go func() { responses <- g.Do(context.Background(), c) }()
	require.Eventually(t, func() bool { return g.Loads("s")["s-1"].Waiting == 1 }, time.Minute, time.Millisecond)
	release()
	response := <-responses
	assert.Equal(t, outcome.Answered, response.Outcome.Kind)
	assert.NoError(t, response.Body.Close())
	assert.Equal(t, "/second", <-executed)
}

// TestEvacuationReturnsWaitingCalls evacuates the zone of an upstream while one call runs and one waits.
// The waiting call and a later one are refused as not run, the running one ends. After the evacuation
// calls run again.
func TestEvacuationReturnsWaitingCalls(t *testing.T) {
	g, executedPaths, release := newBusyGuard(t)
	evacuated := false
	g.opts.Evacuated = func() bool { return evacuated }
	waiting := make(chan *wire.Result, 1)
	go func() { waiting <- g.Do(context.Background(), newCall("/waiting")) }()
	require.Eventually(t, func() bool { return g.Loads("s")["s-1"].Waiting == 1 }, 20*time.Second, time.Millisecond)
	evacuated = true
	g.Configure()
	require.Equal(t, outcome.NotRunBecause(outcome.ReasonDraining), (<-waiting).Outcome)
	require.Equal(t, outcome.NotRunBecause(outcome.ReasonDraining), g.Do(t.Context(), newCall("/later")).Outcome)
	require.True(t, g.Loads("s")["s-1"].Draining)
	release()
	evacuated = false
	g.Configure()
	_, _ = io.Copy(io.Discard, g.Do(t.Context(), newCall("/after")).Body)
	require.Equal(t, "/after", <-executedPaths)
}
