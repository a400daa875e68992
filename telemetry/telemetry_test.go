package telemetry

import (
	"bytes"
	"log/slog"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/outcome"
)

func TestMetricsAreServedForPrometheus(t *testing.T) {
	m := NewMetrics(slog.Default())
	c := NewOutcomeCounter(m.Scope.SubScope("entry"), "requests")
	c.Count(outcome.NotRunBecause(outcome.ReasonQueueFull))
	c.Count(outcome.NotRunBecause(outcome.ReasonQueueFull))
	c.Count(outcome.ResponseComplete())
	require.NoError(t, m.Close(), "Close must report pending values")
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	require.Contains(t, w.Body.String(), `dottereltiller_entry_requests{outcome="not-run",reason="queue-full"} 2`)
	require.Contains(t, w.Body.String(), `dottereltiller_entry_requests{outcome="answered",reason=""} 1`)
	require.Contains(t, w.Body.String(), "go_goroutines")
}

func TestNumberOfOutcomeCountersIsBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	c := NewOutcomeCounter(scope, "n")
	for i := range 2 * maxOutcomes {
		c.Count(outcome.NotRunBecause(outcome.Reason(strconv.Itoa(i))))
	}
	counters := scope.Snapshot().Counters()
	require.Len(t, counters, maxOutcomes+1)
	require.EqualValues(t, maxOutcomes, counters["n+outcome=not-run,reason=other"].Value())
	require.Len(t, c.counters.metrics, maxOutcomes+1)
	require.Zero(t, testing.AllocsPerRun(100, func() { c.Count(outcome.NotRunBecause("1")) }))
}

// TestLoggerAppliesFormatAndLevel checks that lines below the level are not written,
// and that the others are written in the given format.
func TestLoggerAppliesFormatAndLevel(t *testing.T) {
	var out bytes.Buffer
	NewLogger(&out, FormatText, slog.LevelWarn).Info("hidden")
	require.Empty(t, out.String())
	NewLogger(&out, FormatText, slog.LevelInfo).Info("shown", "a", 1)
	require.Contains(t, out.String(), `level=INFO msg=shown a=1`)
	out.Reset()
	NewLogger(&out, FormatJSON, slog.LevelInfo).Info("shown", "a", 1)
	require.Contains(t, out.String(), `"msg":"shown","a":1`)
}
