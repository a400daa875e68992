package sidecar

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUpstreamsThatDoNotTellTheirLoad are not asked for it again and again, and the
// time that their requests take is known all the same.
func TestUpstreamsThatDoNotReportLoad(t *testing.T) {
	const took, requests = 5 * time.Millisecond, 100
	s := newStore(documentOf(1, "b"))
	a := join(t, s, "a", "a1")
	var of []*member
	for _, id := range []string{"b1", "b2"} {
		up := newUpstream(t, id)
		up.silent = true
		up.set(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(took)
			answerWell(w, id)
		})
		m := start(t, optionsFor(t, s, up, "b"), s)
		m.up = up
		m.Report(ready(id, 1, 1, "b"))
		of = append(of, m)
	}
	a.knows(t, "b", 2)
	for range requests {
		status, _ := a.get(t, "/safe/")
		require.Equal(t, http.StatusOK, status)
	}
	for _, m := range of {
		require.LessOrEqual(t, m.scope.Snapshot().Counters()["probes+"].Value(), int64(2))
		require.InDelta(t, 1, m.guard.snapshot().Slow, 0, "as usual")
	}
	require.Greater(t, a.entry.serviceTimeOf("safe", time.Minute), took*9/10)
	require.Less(t, a.entry.serviceTimeOf("safe", time.Minute), defaultServiceTime/2)
}
