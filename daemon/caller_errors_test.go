package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/settings"
)

// TestCallerErrorsAreReportedAndCounted sends requests with errors that are typical of
// a new user. The timeout in the case "timeout" is malformed. The response and the metrics
// must state the reason, and no request may reach the upstream.
func TestCallerErrorsAreReportedAndCounted(t *testing.T) {
	d := startSingleDaemon(t, func(s *settings.Settings) { s.Callers.MaxBodyBytes = 100 })
	daemon := d.Nodes[0].Daemon
	cases := map[string]struct {
		host, header, value, body string
		status                    int
		reason                    string
	}{
		"unknown service": {host: "nobody.fyn", status: 404, reason: "no-such-service"},
		"unknown token":   {host: "returdesk.fyn", header: "Authorization", value: "Bearer x", status: 401, reason: "unauthenticated"},
		"timeout":         {host: "returdesk.fyn", header: "Dottereltiller-Timeout", value: "5", status: 400, reason: "bad-request"},
		"long body":       {host: "returdesk.fyn", body: strings.Repeat("x", 101), status: 413, reason: "too-large"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPut, "http://"+daemon.CallerAddress(), strings.NewReader(c.body))
			require.NoError(t, err)
			req.Host = c.host
			if c.header != "" {
				req.Header.Set(c.header, c.value)
			}
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			_ = resp.Body.Close()
			require.Equal(t, c.status, resp.StatusCode)
			require.Equal(t, "not-run", resp.Header.Get("Dottereltiller-Outcome"))
			require.Contains(t, string(body), `"reason":"`+c.reason+`"`)
		})
	}
	for _, c := range cases {
		line := fmt.Sprintf(`dottereltiller_entry_refused{outcome="not-run",reason="%s"} 1`, c.reason)
		require.Eventually(t, func() bool { return strings.Contains(fetchMetrics(t, daemon.AdminAddress()), line) },
			waitLimit, 50*time.Millisecond, line)
	}
	require.Empty(t, d.Nodes[0].Upstream.Runs())
}

// fetchMetrics returns the body of /metrics at an admin address.
func fetchMetrics(t *testing.T, adminAddress string) string {
	t.Helper()
	resp, err := http.Get("http://" + adminAddress + "/metrics")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(body)
}
