package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/daemon"
	"github.com/dottereltiller/dottereltiller/local"
	"github.com/dottereltiller/dottereltiller/settings"
	"github.com/dottereltiller/dottereltiller/standin"
	"github.com/dottereltiller/dottereltiller/wire"
)

// serveInBackground runs a daemon. It returns a function that stops the daemon, and a
// channel that receives the result of Serve.
func serveInBackground(t *testing.T, d *daemon.Daemon) (stop func(), done <-chan error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	out := make(chan error, 1)
	go func() { out <- d.Serve(ctx) }()
	t.Cleanup(cancel)
	return cancel, out
}

// newDaemonWithHangingUpstream creates another daemon for a deployment and an upstream
// that never responds. It neither runs the daemon nor announces the upstream.
func newDaemonWithHangingUpstream(t *testing.T, d *local.Deployment) (*daemon.Daemon, *standin.FaultyUpstream) {
	t.Helper()
	s := settings.Defaults()
	s.Zone = "odense-hal-a"
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	s.Log.Address = d.LogAddress
	s.Peers.Secret = "local"
	s.Process.DrainTime = policy.Duration(100 * time.Millisecond)
	newDaemon, err := daemon.New(s, d.Logger())
	require.NoError(t, err)
	faultyUpstream, err := standin.StartFaultyUpstream()
	require.NoError(t, err)
	t.Cleanup(func() { _ = faultyUpstream.Close() })
	faultyUpstream.SetScript(standin.Script{Hang: true})
	return newDaemon, faultyUpstream
}

// TestStopWaitsForRequestsUntilAborted stops a daemon while a request hangs at its upstream.
// The shutdown must wait for the request until AbortDrain is called. Serve must then report
// the request as aborted.
func TestStopWaitsForRequestsUntilAborted(t *testing.T) {
	d := startDeployment(t, []model.AvailabilityZone{"odense-hal-a"}, 1, nil)
	drainingDaemon, faultyUpstream := newDaemonWithHangingUpstream(t, d)
	stop, done := serveInBackground(t, drainingDaemon)
	require.NoError(t, d.Nodes[0].Upstream.Announce(t.Context(), d.Nodes[0].Daemon.AdminAddress(), 1, true))
	code, body := putAnnouncement(t, drainingDaemon.AdminAddress(), "faulty",
		fmt.Sprintf(`{"service": "returdesk", "address": %q, "slots": 8, "incarnation": 1}`, faultyUpstream.Address()))
	require.Equal(t, http.StatusNoContent, code, body)
	require.Eventually(t, func() bool {
		ups, _ := drainingDaemon.Members.Upstreams("returdesk")
		return drainingDaemon.Config.Current() != nil && len(ups) > 0
	}, waitLimit, pollInterval)

	responses := make(chan callerResponse, 1)
	go func() { responses <- sendRequest(t, drainingDaemon.CallerAddress(), http.MethodPost, "release") }()
	require.Eventually(t, func() bool { return faultyUpstream.Requests() == 1 }, waitLimit, pollInterval)
	stop()
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + drainingDaemon.AdminAddress() + "/readyz")
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode == http.StatusServiceUnavailable
	}, waitLimit, pollInterval)
	select {
	case err := <-done:
		require.Fail(t, "the shutdown did not wait for the request in flight", "%v", err)
	case <-time.After(200 * time.Millisecond):
	}
	drainingDaemon.AbortDrain()
	var abortedErr *daemon.AbortedRequestsError
	require.ErrorAs(t, <-done, &abortedErr)
	require.Equal(t, 1, abortedErr.CallerRequests)
	require.Zero(t, abortedErr.KeyedRequests)
	got := <-responses
	require.True(t, got.err != nil || got.outcome == outcome.Unknown, "%+v", got)
}

// restartLoad sends requests to the daemons of a deployment while they are restarted.
type restartLoad struct {
	deployment *local.Deployment
	// draining[i] is true from the time when daemon i asks a caller to close its
	// connection until the daemon has restarted.
	draining []atomic.Bool
	// finishedRequests counts the requests that have ended, except those that obtain
	// a key.
	finishedRequests atomic.Int64
	// nextDaemon picks daemons round-robin.
	nextDaemon atomic.Int64
	// nextName numbers the requests.
	nextName atomic.Int64

	mu       sync.Mutex
	failures []string
}

// recordFailure adds a message to failures, which holds only the first 10.
func (r *restartLoad) recordFailure(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.failures) < 10 {
		r.failures = append(r.failures, fmt.Sprintf(format, args...))
	}
}

// pickDaemon returns the index of the next daemon that is not draining, in round-robin
// order. It spins while all of them are draining.
func (r *restartLoad) pickDaemon(callerAddresses []string) int {
	for {
		i := int(r.nextDaemon.Add(1)) % len(callerAddresses)
		if !r.draining[i].Load() {
			return i
		}
	}
}

// send sends one request to daemon i. It marks the daemon as draining if the response asks
// to close the connection.
func (r *restartLoad) send(client *http.Client, i int, req *http.Request) (callerResponse, error) {
	req.Host = "returdesk.fyn"
	resp, err := client.Do(req)
	if err != nil {
		return callerResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Close {
		r.draining[i].Store(true)
	}
	text, err := io.ReadAll(resp.Body)
	kind, _ := outcome.ParseKind(resp.Header.Get(wire.HeaderOutcome))
	return callerResponse{status: resp.StatusCode, outcome: kind, body: string(text), header: resp.Header}, err
}

// sendUntilDone sends requests until ctx is done and records those that fail. Workload 0 is
// GET requests. Workload 1 is POST requests with an idempotency key. Workload 2 is POST
// requests without a key.
func (r *restartLoad) sendUntilDone(ctx context.Context, workload int, callerAddresses []string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		i := r.pickDaemon(callerAddresses)
		url := "http://" + callerAddresses[i]
		name := fmt.Sprintf("%d-%d", workload, r.nextName.Add(1))
		method, key := http.MethodPost, ""
		switch workload {
		case 0:
			method = http.MethodGet
		case 1:
			req, _ := http.NewRequest(http.MethodPost, url+daemon.KeysPath, nil)
			got, err := r.send(client, i, req)
			var issued struct{ Key string }
			if err != nil || json.Unmarshal([]byte(got.body), &issued) != nil {
				r.recordFailure("no key: %v %q", err, got.body)
				continue
			}
			key = issued.Key
		}
		req, _ := http.NewRequest(method, url+"/x", strings.NewReader(name))
		req.Header.Set(standin.HeaderRequest, name)
		if key != "" {
			req.Header.Set(wire.HeaderIdempotencyKey, key)
		}
		got, err := r.send(client, i, req)
		if err != nil || got.outcome != outcome.Answered || got.body != name+" "+name {
			r.recordFailure("request %s through daemon %d: %v %s %s %q", name, i, err, got.outcome, got.header.Get(wire.HeaderReason), got.body)
		}
		r.finishedRequests.Add(1)
	}
}

// TestRollingRestartFailsNoRequest restarts every daemon in turn under a load of
// idempotent GET requests and of non-idempotent POST requests with and without keys. When
// a daemon asks callers to close the connection, they use other daemons until it has
// restarted. No request may fail, and no non-idempotent request may run twice.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	d := startDeployment(t, []model.AvailabilityZone{"odense-hal-a", "odense-hal-b"}, 4, func(s *settings.Settings) {
		s.Process.DrainTime = policy.Duration(400 * time.Millisecond)
		s.Keys.Grant = policy.Duration(5 * time.Second)
	})
	r := &restartLoad{deployment: d, draining: make([]atomic.Bool, len(d.Nodes))}
	var callerAddresses []string
	for _, n := range d.Nodes {
		callerAddresses = append(callerAddresses, n.Daemon.CallerAddress())
	}
	require.Eventually(t, func() bool {
		ownedRanges := 0
		for _, n := range d.Nodes {
			ownedRanges += n.Daemon.Owner.Counts().Ranges
		}
		return ownedRanges == 1024
	}, waitLimit, pollInterval, "every key range must have an owner")
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() { r.sendUntilDone(ctx, i%3, callerAddresses) })
	}
	for i, n := range d.Nodes {
		finishedBefore := r.finishedRequests.Load()
		require.Eventually(t, func() bool { return r.finishedRequests.Load() > finishedBefore+100 }, waitLimit, pollInterval)
		require.NoError(t, d.Restart(t.Context(), n))
		r.draining[i].Store(false)
	}
	finishedBefore := r.finishedRequests.Load()
	require.Eventually(t, func() bool { return r.finishedRequests.Load() > finishedBefore+100 }, waitLimit, pollInterval)
	stop()
	wg.Wait()
	require.Empty(t, r.failures)
	for _, n := range d.Nodes {
		for name, runs := range n.Upstream.Runs() {
			if !strings.HasPrefix(name, "0-") {
				require.Equal(t, 1, runs, "request %s", name)
			}
		}
	}
	t.Logf("%d requests over a rolling restart of %d daemons", r.finishedRequests.Load(), len(d.Nodes))
}
