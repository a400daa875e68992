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

// TestHealthAnswersAreNotBelieved has one of two upstreams lie about its health. What
// counts is what comes of requests.
func TestHealthResponsesDoNotDecideRouting(t *testing.T) {
	const requests = 300
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	for name, c := range map[string]struct {
		health      int
		handle      func(http.ResponseWriter, *http.Request)
		minRequests int
		maxRequests int
	}{
		// A failing one is tried again now and then, to find out when it has ended.
		"says well and fails":    {http.StatusOK, fail, 1, requests / 20},
		"says well and hangs up": {http.StatusOK, hangUp, 1, requests / 20},
		"says ill and is well":   {http.StatusServiceUnavailable, nil, requests / 5, requests},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStore(documentOf(1, "b"))
			a, b1, _ := join(t, s, "a", "a1"), join(t, s, "b", "b1"), join(t, s, "b", "b2")
			a.knows(t, "b", 2)
			a.allowResends()
			b1.up.setHealth(c.health)
			b1.up.set(c.handle)
			for range requests {
				status, _ := a.get(t, "/safe/")
				require.Equal(t, http.StatusOK, status)
			}
			got := len(b1.up.requests())
			t.Logf("%d of %d requests", got, requests)
			require.GreaterOrEqual(t, got, c.minRequests)
			// On a busy processor the other one is slow too, and hedges come here.
			require.LessOrEqual(t, got-a.hedges(), c.maxRequests)
			b1.up.set(nil)
			require.Eventually(t, func() bool {
				_, text := a.get(t, "/safe/")
				return text == "answer of b1"
			}, waitLimit, time.Millisecond, "trust returns")
		})
	}
}

// hedges returns how many requests the daemon has hedged.
func (m *member) hedges() int { return int(m.scope.Snapshot().Counters()["hedged+"].Value()) }

// TestFailuresAreTold has an upstream fail and recover: two lines tell of it, however
// many requests it takes.
func TestFailingAndRecoveryAreLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	decisions := decision.New(decision.Options{Handler: slog.NewJSONHandler(&out, nil)})
	var now model.Instant
	g := newGuard(&Options{Decisions: decisions}, func() model.Instant { return now }, newMetrics(nil))
	run := func(status, times int) {
		for range times {
			now = now.Add(time.Millisecond)
			g.recordOutcome(t.Context(), &Answer{Outcome: outcome.Done(), Status: status})
		}
	}
	run(http.StatusOK, 20)
	run(http.StatusInternalServerError, 30)
	run(http.StatusOK, 50)
	decisions.Close(time.Second)
	require.Equal(t, 1, strings.Count(out.String(), string(decision.UpstreamFailing)))
	require.Equal(t, 1, strings.Count(out.String(), string(decision.UpstreamTrusted)))
	require.Less(t, strings.Index(out.String(), string(decision.UpstreamFailing)), strings.Index(out.String(), string(decision.UpstreamTrusted)))
}
