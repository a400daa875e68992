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
	"github.com/dottereltiller/dottereltiller/standin"
)

// pollOnce polls an upstream that responds with the given status and body. budget is the
// measuring budget, the share of slot time that polls may take. result is
// the value of the metric tag "result" under which the poll was counted. requestCount
// is the number of requests that the upstream received.
func pollOnce(t *testing.T, budget float64, status int, body string) (result string, requestCount int32, g *Guard) {
	t.Helper()
	var receivedRequests atomic.Int32
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		receivedRequests.Add(1)
		assert.Equal(t, "/load", r.URL.Path)
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, body)
	}))
	t.Cleanup(upstream.Close)
	result, g = pollAddress(t, budget, upstream.Listener.Addr().String(), func() int { return int(receivedRequests.Load()) })
	return result, receivedRequests.Load(), g
}

// pollAddress is pollOnce for the upstream at an address. countRequests returns the number of requests that it has received.
func pollAddress(t *testing.T, budget float64, address string, countRequests func() int) (result string, g *Guard) {
	t.Helper()
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
	g.Attach(membership.LocalUpstream{Upstream: up, Address: address, LoadPath: "/load"})
	g.startDuePolls(context.Background())
	assert.Zero(t, countRequests(), "no poll is due yet")
	now.Store(int64(time.Minute))
	g.startDuePolls(context.Background())
	require.Eventually(t, func() bool {
		for _, c := range scope.Snapshot().Counters() {
			if c.Value() > 0 {
				result = c.Tags()["result"]
				return true
			}
		}
		return false
	}, time.Minute, time.Millisecond)
	return result, g
}

// TestPollCountsResultAndChargesSlotTime checks under which result each kind of response
// is counted. Slot time must be charged exactly when a request was sent. None of the
// reports may change the number of running requests.
func TestPollCountsResultAndChargesSlotTime(t *testing.T) {
	cases := map[string]struct {
		budget           float64
		status           int
		body             string
		wantResult       string
		wantRequestCount int32
	}{
		"report agrees":    {0.01, 200, `{"running": 0, "other": true}`, "agreed", 1},
		"report too high":  {0.01, 200, `{"running": 60}`, "unsupported", 1},
		"no running count": {0.01, 200, `{}`, "failed", 1},
		"negative count":   {0.01, 200, `{"running": -1}`, "failed", 1},
		"not JSON":         {0.01, 200, `busy`, "failed", 1},
		"status 503":       {0.01, 503, `{"running": 0}`, "failed", 1},
		"report too long":  {0.01, 200, fmt.Sprintf(`{"x":"%05000d","running":0}`, 0), "failed", 1},
		"budget exhausted": {0, 200, `{"running": 0}`, "over-budget", 0},
		"redirect":         {0.01, 302, "", "failed", 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			result, requestCount, g := pollOnce(t, tc.budget, tc.status, tc.body)
			assert.Equal(t, tc.wantResult, result)
			assert.Equal(t, tc.wantRequestCount, requestCount)
			slotTime := g.PollSlotTime()["s-1"]
			assert.Equal(t, tc.wantRequestCount > 0, slotTime > 0)
			assert.LessOrEqual(t, slotTime, 20*time.Millisecond, "at most one burst of the budget")
			assert.Zero(t, g.Loads("s")["s-1"].Running, "a report that the observed load does not support adds no running requests")
		})
	}
}

// TestReportWithInvalidHeadIsNoReport guards against a load report that is believed though the head of its response is not valid.
func TestReportWithInvalidHeadIsNoReport(t *testing.T) {
	const report = "Content-Length: 14\r\n\r\n{\"running\": 0}"
	for name, tc := range map[string]struct{ head, wantResult string }{
		"valid":           {"HTTP/1.1 200 OK\r\n", "agreed"},
		"status 000":      {"HTTP/1.1 000 None\r\n", "failed"},
		"space in a name": {"HTTP/1.1 200 OK\r\nX Some: 1\r\n", "failed"},
	} {
		t.Run(name, func(t *testing.T) {
			upstream, err := standin.StartFaultyUpstream()
			require.NoError(t, err)
			t.Cleanup(func() { _ = upstream.Close() })
			upstream.SetScript(standin.Script{Response: []byte(tc.head + report), CutAfter: -1})
			result, _ := pollAddress(t, 0.01, upstream.Address(), upstream.Requests)
			require.Equal(t, tc.wantResult, result)
		})
	}
}
