package why

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUnansweredRequestsAreListedWithTheirExecutions reads lines of several daemons about
// requests at upstream u1, which crashed while it ran some of them, and about a request at
// upstream u2. Each request id names its case. The non-idempotent requests to which u1 gave
// no response must be listed.
func TestUnansweredRequestsAreListedWithTheirExecutions(t *testing.T) {
	const log = `{"time":"2026-01-01T00:00:01Z","msg":"run failed","daemon":"g","request":"unsafe","upstream":"u1","outcome":"unknown","reason":"connection-lost","status":0,"idempotent":false}
{"time":"2026-01-01T00:00:01.1Z","msg":"request failed","daemon":"a","request":"unsafe","upstream":"10.0.0.1:7 u1","status":502,"idempotent":false}
{"time":"2026-01-01T00:00:02Z","msg":"request failed","daemon":"b","request":"guard gone","upstream":"10.0.0.1:7 u1","status":502,"idempotent":false}
{"time":"2026-01-01T00:00:03Z","msg":"run failed","daemon":"g","request":"entry gone","upstream":"u1","outcome":"unknown","reason":"connection-lost","status":0,"idempotent":false}
{"time":"2026-01-01T00:00:03Z","msg":"run failed","daemon":"g","request":"safe","upstream":"u1","outcome":"unknown","reason":"connection-lost","status":0,"idempotent":true}
{"time":"2026-01-01T00:00:03Z","msg":"run failed","daemon":"g","request":"not sent","upstream":"u1","outcome":"not-run","reason":"connect-failed","status":0,"idempotent":false}
{"time":"2026-01-01T00:00:04Z","msg":"run failed","daemon":"g","request":"twice","upstream":"u1","outcome":"unknown","reason":"connection-lost","status":0,"idempotent":false}
{"time":"2026-01-01T00:00:05Z","msg":"request ran","daemon":"h","request":"twice","upstream":"u2","status":200}
{"time":"2026-01-01T00:00:06Z","msg":"run failed","daemon":"g","request":"late answer","upstream":"u1","outcome":"unknown","reason":"cancelled","status":0,"idempotent":false}
{"time":"2026-01-01T00:00:07Z","msg":"request answered","daemon":"a","request":"late answer","upstream":"10.0.0.1:7 u1","status":200,"idempotent":false}
{"time":"2026-01-01T00:00:08Z","msg":"request failed","daemon":"a","request":"elsewhere","upstream":"10.0.0.2:7 u2","status":502,"idempotent":false}
`
	var l Log
	require.NoError(t, l.Read("x", strings.NewReader(log)))
	l.Sort()
	got := l.Unanswered("u1")
	executionsByRequest := make(map[string]ExecutionCount)
	for _, r := range got.Requests {
		executionsByRequest[r.Request] = r.Executions
	}
	require.Equal(t, map[string]ExecutionCount{
		"unsafe": AtMostOnce, "guard gone": AtMostOnce, "entry gone": AtMostOnce, "twice": PerhapsTwice, "late answer": Once,
	}, executionsByRequest)
	require.Equal(t, "502", got.Requests[0].CallerStatus)
	require.Equal(t, "a", got.Requests[0].Entry)
	require.Equal(t, []string{"u1", "u2"}, got.Requests[3].Upstreams)
	var text, jsonText bytes.Buffer
	require.NoError(t, got.WriteText(&text))
	require.Contains(t, text.String(), "5 requests")
	require.Contains(t, text.String(), "3 ran at most once")
	require.NoError(t, got.WriteJSON(&jsonText))
	require.Contains(t, jsonText.String(), `"fate":"perhaps twice"`)
	require.Empty(t, l.Unanswered("no-such-upstream").Requests)
}
