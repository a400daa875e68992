package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/wire"
)

// TestEveryReasonIsDocumented checks that docs/CALLERS.md lists every reason with
// its statuses and its detail text.
func TestEveryReasonIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/CALLERS.md")
	require.NoError(t, err)
	for _, r := range outcome.Reasons() {
		status := fmt.Sprint(statusOf(outcome.NotRunBecause(r)))
		if unknownStatus := fmt.Sprint(statusOf(outcome.UnknownBecause(r))); unknownStatus != status {
			status += " or " + unknownStatus
		}
		row := fmt.Sprintf("| `%s` | %s | %s |", r, status, r.Detail())
		require.Contains(t, string(page), row)
	}
}

func TestWriteProblemSetsStatusHeadersAndBody(t *testing.T) {
	tests := []struct {
		name       string
		outcome    outcome.Outcome
		status     int
		retryAfter string
		title      string
	}{
		{"Retry-After of the outcome", outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.ReasonQueueFull, RetryAfter: 1500 * time.Millisecond}, 429, "2", "The request did not run"},
		{"default Retry-After", outcome.NotRunBecause(outcome.ReasonDraining), 503, "1", "The request did not run"},
		{"no Retry-After", outcome.NotRunBecause(outcome.ReasonForbidden), 403, "", "The request did not run"},
		{"unknown", outcome.UnknownBecause(outcome.ReasonConnectionLost), 502, "", "It is not known whether the request ran"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			writeProblem(w, tt.outcome)
			require.Equal(t, tt.status, w.Code)
			require.Equal(t, tt.retryAfter, w.Header().Get("Retry-After"))
			require.Equal(t, "application/problem+json", w.Header().Get("Content-Type"))
			var p problem
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &p))
			require.Equal(t, problem{
				Type: problemTypePrefix + string(tt.outcome.Reason), Title: tt.title, Status: tt.status,
				Detail: tt.outcome.Reason.Detail(), Outcome: tt.outcome.Kind.String(), Reason: tt.outcome.Reason,
				RetryAfter: retryAfterSeconds(tt.outcome),
			}, p)
		})
	}
}

// TestDaemonHeadersFromUpstreamAreStripped has an upstream set headers that only
// a daemon may set. If such headers reached the caller, the caller would believe
// that the daemon had set them. It could conclude that a request that did run had
// not run.
func TestDaemonHeadersFromUpstreamAreStripped(t *testing.T) {
	response := wire.NoResponse(outcome.ResponseComplete())
	response.Status = http.StatusServiceUnavailable
	response.Header = http.Header{
		wire.HeaderOutcome: {"not-run"}, wire.HeaderReason: {"draining"},
		wire.HeaderCallToken: {"secret"}, wire.HeaderRefused: {wire.RefusedBeforeStart}, "X-Own": {"kept"},
	}
	response.Body = io.NopCloser(strings.NewReader(""))
	w := httptest.NewRecorder()
	writeResponse(w, response)
	require.Equal(t, http.Header{wire.HeaderOutcome: {"answered"}, "X-Own": {"kept"}}, w.Header())
}
