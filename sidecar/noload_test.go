package sidecar

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/servicetime"
)

// TestUpstreamsWithoutLoadGetFewHealthChecks checks that an upstream that does not report its load
// gets few health checks. The service time of its requests must be determined nevertheless.
func TestUpstreamsWithoutLoadGetFewHealthChecks(t *testing.T) {
	const runTime, requestCount = 5 * time.Millisecond, 100
	s := newStore(documentOf(1, "b"))
	a := startReady(t, s, "a", "a1")
	var members []*member
	for _, id := range []string{"b1", "b2"} {
		up := newUpstream(t, id)
		up.omitsLoad = true
		up.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(runTime)
			respondOK(w, id)
		})
		m := startDaemon(t, optionsFor(t, s, up, "b"), s)
		m.upstream = up
		m.Report(readyReport(id, 1, 1, "b"))
		members = append(members, m)
	}
	a.waitForCandidates(t, "b", 2)
	for range requestCount {
		status, _ := a.get(t, "/safe/")
		require.Equal(t, http.StatusOK, status)
	}
	for _, m := range members {
		require.LessOrEqual(t, m.scope.Snapshot().Counters()["probes+"].Value(), int64(2))
		require.InDelta(t, 1, m.guard.currentLoad().Slowdown, 0, "the slowdown is 1")
	}
	require.Greater(t, a.entry.serviceTimeOf("safe", time.Minute), runTime*9/10)
	require.Less(t, a.entry.serviceTimeOf("safe", time.Minute), servicetime.Default/2)
}
