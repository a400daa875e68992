package guard

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/admission"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/membership"
)

// polled polls an upstream that answers with a body until the counter shows a
// result, and returns the result and the requests the upstream saw.
func pollOnce(t *testing.T, budget float64, status int, body string) (result string, hits int32, g *Guard) {
	t.Helper()
	var seen atomic.Int32
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen.Add(1)
		assert.Equal(t, "/load", r.URL.Path)
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, body)
	}))
	t.Cleanup(upstream.Close)
	var now atomic.Int64
	scope := tally.NewTestScope("", nil)
	g = New(Options{
		Now:             func() model.Instant { return model.Instant(now.Load()) },
		Groups:          func(model.ServiceName) []admission.Group { return nil },
		MeasuringBudget: func(model.ServiceName) float64 { return budget },
		Scope:           scope,
	})
	g.poller.timeout = time.Minute
	up := model.Upstream{ID: "s-1", Service: "s", Incarnation: 1, Slots: 6}
	g.Attach(membership.Local{Upstream: up, Address: upstream.Listener.Addr().String(), LoadPath: "/load"})
	g.poll(context.Background())
	assert.Zero(t, seen.Load(), "none is due yet")
	now.Store(int64(time.Minute))
	g.poll(context.Background())
	require.Eventually(t, func() bool {
		for _, c := range scope.Snapshot().Counters() {
			if c.Value() > 0 {
				result = c.Tags()["result"]
				return true
			}
		}
		return false
	}, time.Minute, time.Millisecond)
	return result, seen.Load(), g
}

func TestPoll(t *testing.T) {
	cases := map[string]struct {
		budget float64
		status int
		body   string
		want   string
		hits   int32
	}{
		"agrees":          {0.01, 200, `{"running": 0, "other": true}`, "agreed", 1},
		"lies":            {0.01, 200, `{"running": 60}`, "unsupported", 1},
		"says nothing":    {0.01, 200, `{}`, "failed", 1},
		"negative":        {0.01, 200, `{"running": -1}`, "failed", 1},
		"no JSON":         {0.01, 200, `busy`, "failed", 1},
		"sheds load":      {0.01, 503, `{"running": 0}`, "failed", 1},
		"endless report":  {0.01, 200, fmt.Sprintf(`{"x":"%05000d","running":0}`, 0), "failed", 1},
		"budget forbids":  {0, 200, `{"running": 0}`, "over-budget", 0},
		"redirected away": {0.01, 302, "", "failed", 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			result, hits, g := pollOnce(t, tc.budget, tc.status, tc.body)
			assert.Equal(t, tc.want, result)
			assert.Equal(t, tc.hits, hits)
			slotTime := g.Measured()["s-1"]
			assert.Equal(t, tc.hits > 0, slotTime > 0)
			assert.LessOrEqual(t, slotTime, 20*time.Millisecond, "one burst")
			assert.Zero(t, g.Loads("s")["s-1"].Running, "a lie adds nothing")
		})
	}
}
