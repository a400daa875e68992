package sidecar

import (
	"bytes"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/decision"
)

// TestHealthResponsesDoNotDecideRouting lets one of two upstreams respond wrongly to health
// checks. Routing must depend on the results of requests, not on health checks.
func TestHealthResponsesDoNotDecideRouting(t *testing.T) {
	const requestCount = 300
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	for name, c := range map[string]struct {
		healthStatus int
		handler      func(http.ResponseWriter, *http.Request)
		minRequests  int
		maxRequests  int
	}{
		// A failing upstream still gets an occasional request, which detects its
		// recovery.
		"reports healthy and fails":              {http.StatusOK, fail, 1, requestCount / 20},
		"reports healthy and closes connections": {http.StatusOK, hangUp, 1, requestCount / 20},
		"reports unhealthy and works":            {http.StatusServiceUnavailable, nil, requestCount / 5, requestCount},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStore(documentOf(1, "b"))
			a, b1, _ := startReady(t, s, "a", "a1"), startReady(t, s, "b", "b1"), startReady(t, s, "b", "b2")
			a.waitForCandidates(t, "b", 2)
			a.allowRetries()
			b1.upstream.setHealth(c.healthStatus)
			b1.upstream.setHandler(c.handler)
			for range requestCount {
				status, _ := a.get(t, "/safe/")
				require.Equal(t, http.StatusOK, status)
			}
			receivedCount := len(b1.upstream.requests())
			t.Logf("%d of %d requests", receivedCount, requestCount)
			require.GreaterOrEqual(t, receivedCount, c.minRequests)
			// On a busy processor the other upstream is slow at times. Its requests are then
			// hedged, and the hedges are sent to b1.
			require.LessOrEqual(t, receivedCount-a.hedgeCount(), c.maxRequests)
			b1.upstream.setHandler(nil)
			require.Eventually(t, func() bool {
				_, body := a.get(t, "/safe/")
				return body == "answer of b1"
			}, waitLimit, time.Millisecond, "the recovered upstream gets requests again")
		})
	}
}

// hedgeCount returns the number of requests that the daemon has hedged.
func (m *member) hedgeCount() int { return int(m.scope.Snapshot().Counters()["hedged+"].Value()) }

// TestFailingAndRecoveryAreLoggedOnce checks that the log has one entry when an upstream
// starts to fail and one when it recovers, regardless of the number of requests.
func TestFailingAndRecoveryAreLoggedOnce(t *testing.T) {
	var logOutput bytes.Buffer
	decisions := decision.New(decision.Options{Handler: slog.NewJSONHandler(&logOutput, nil)})
	var now model.Instant
	g := newGuard(&Options{Decisions: decisions}, func() model.Instant { return now }, newMetrics(nil))
	recordOutcomes := func(status, times int) {
		for range times {
			now = now.Add(time.Millisecond)
			g.recordOutcome(t.Context(), &Result{Outcome: outcome.ResponseComplete(), Status: status})
		}
	}
	recordOutcomes(http.StatusOK, 20)
	recordOutcomes(http.StatusInternalServerError, 30)
	recordOutcomes(http.StatusOK, 50)
	decisions.Close(time.Second)
	require.Equal(t, 1, strings.Count(logOutput.String(), string(decision.UpstreamFailing)))
	require.Equal(t, 1, strings.Count(logOutput.String(), string(decision.UpstreamRecovered)))
	require.Less(t, strings.Index(logOutput.String(), string(decision.UpstreamFailing)), strings.Index(logOutput.String(), string(decision.UpstreamRecovered)))
}
