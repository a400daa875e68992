package daemon_test

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/daemon"
	"github.com/dottereltiller/dottereltiller/local"
	"github.com/dottereltiller/dottereltiller/standin"
	"github.com/dottereltiller/dottereltiller/wire"
)

// obtainKey requests keys from a daemon until it issues one that has an owner.
func obtainKey(t testing.TB, address string) string {
	t.Helper()
	var issued struct {
		Key   string
		Owned bool
	}
	require.Eventually(t, func() bool {
		resp, err := http.Post("http://"+address+daemon.KeysPath, "", nil)
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		return json.NewDecoder(resp.Body).Decode(&issued) == nil && issued.Owned
	}, waitLimit, pollInterval)
	return issued.Key
}

// postKeyed sends a POST request with the idempotency key key, or without one if key is
// empty. The upstream counts how often it runs the request under name.
func postKeyed(t testing.TB, address, key, name, body string) callerResponse {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/release", strings.NewReader(body))
	require.NoError(t, err)
	req.Host = "returdesk.fyn"
	req.Header.Set(standin.HeaderRequest, name)
	if key != "" {
		req.Header.Set(wire.HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	kind, _ := outcome.ParseKind(resp.Header.Get(wire.HeaderOutcome))
	return callerResponse{resp.StatusCode, kind, string(text), resp.Header, resp.Trailer, err}
}

// TestKeyedRequestsRunOnceOverHTTP sends the same request with the same idempotency key
// twice to each of three daemons. The request must run once, and all responses but the
// first must be marked as replayed. Then each case sends a key or a body that must be
// refused, and the request "other" of these cases must not run.
func TestKeyedRequestsRunOnceOverHTTP(t *testing.T) {
	d := startDeployment(t, []model.AvailabilityZone{"odense-hal-a", "odense-hal-b"}, 3, nil)
	callerAddresses := []string{d.Nodes[0].Daemon.CallerAddress(), d.Nodes[1].Daemon.CallerAddress(), d.Nodes[2].Daemon.CallerAddress()}
	key := obtainKey(t, callerAddresses[0])
	for i, a := range append(callerAddresses, callerAddresses...) {
		got := postKeyed(t, a, `"`+key+`"`, "once", "release 1")
		require.Equal(t, http.StatusOK, got.status, got.body)
		require.Equal(t, "once release 1", got.body)
		require.Equal(t, i > 0, got.header.Get(wire.HeaderReplayed) == "true")
	}
	for name, tc := range map[string]struct {
		key, body, reason string
		status            int
		outcome           outcome.Kind
	}{
		"other body":      {key, "release 2", "key-mismatch", http.StatusUnprocessableEntity, outcome.Unknown},
		"not a UUIDv7":    {"42", "release 1", "key-invalid", http.StatusBadRequest, outcome.NotRun},
		"too old":         {"0180f0c1-7b3a-7cc0-8a11-0123456789ab", "release 1", "key-expired", http.StatusGone, outcome.Unknown},
		"from the future": {"f192f0c1-7b3a-7cc0-8a11-0123456789ab", "release 1", "key-not-owned", http.StatusServiceUnavailable, outcome.Unknown},
		"body too large":  {obtainKey(t, callerAddresses[1]), strings.Repeat("x", 300<<10), "too-large", http.StatusRequestEntityTooLarge, outcome.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			got := postKeyed(t, callerAddresses[1], tc.key, "other", tc.body)
			require.Equal(t, tc.reason, got.header.Get(wire.HeaderReason))
			require.Equal(t, tc.status, got.status)
			require.Equal(t, tc.outcome, got.outcome)
		})
	}
	runs := 0
	for _, n := range d.Nodes {
		require.Zero(t, n.Upstream.Runs()["other"])
		runs += n.Upstream.Runs()["once"]
	}
	require.Equal(t, 1, runs)
	requireDocumentedMetrics(t, "../docs/KEYS.md", d)
}

// requireDocumentedMetrics checks that each metric that a page of the documentation names is
// served by at least one daemon.
func requireDocumentedMetrics(t *testing.T, page string, d *local.Deployment) {
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	nameMatches := regexp.MustCompile("`(dottereltiller_[a-z_]+)").FindAllStringSubmatch(string(text), -1)
	require.NotEmpty(t, nameMatches)
	for _, match := range nameMatches {
		require.Eventually(t, func() bool {
			return slices.ContainsFunc(d.Nodes, func(n *local.Node) bool {
				return strings.Contains(fetchMetrics(t, n.Daemon.AdminAddress()), "# TYPE "+match[1]+" ")
			})
		}, waitLimit, 100*time.Millisecond, match[1])
	}
}

// BenchmarkCall measures the latency of non-idempotent requests with and without an
// idempotency key through a deployment of three daemons. The time to obtain the keys is
// not included.
func BenchmarkCall(b *testing.B) {
	d, err := local.Start(b.Context(), local.Options{
		Zones:     []model.AvailabilityZone{"odense-hal-a"},
		Services:  []local.Service{{Name: "returdesk", Upstreams: 3, Slots: 6}},
		Documents: parseDocuments(b),
	})
	require.NoError(b, err)
	b.Cleanup(func() {
		d.Stop()
		http.DefaultClient.CloseIdleConnections()
	})
	for _, keyed := range []bool{false, true} {
		b.Run(map[bool]string{false: "plain", true: "keyed"}[keyed], func(b *testing.B) {
			latencyHist := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			requestCount := 0
			for b.Loop() {
				a := d.Nodes[requestCount%3].Daemon.CallerAddress()
				requestCount++
				key := ""
				if keyed {
					b.StopTimer()
					key = obtainKey(b, a)
					b.StartTimer()
				}
				startedAt := time.Now()
				got := postKeyed(b, a, key, "bench", "x")
				_ = latencyHist.RecordValue(time.Since(startedAt).Microseconds())
				if got.outcome != outcome.Answered {
					b.Fatalf("not answered: %+v", got)
				}
			}
			b.ReportMetric(float64(latencyHist.ValueAtQuantile(50)), "p50-us")
			b.ReportMetric(float64(latencyHist.ValueAtQuantile(99)), "p99-us")
		})
	}
}
