package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/route"
)

func newReader(s string) io.Reader { return strings.NewReader(s) }

// TestRequestReachesOtherDaemon sends a request to a daemon of service a. The request must reach
// the upstream of service b through the daemon of that upstream.
func TestRequestReachesOtherDaemon(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a := startReady(t, s, "a", "a1")
	b := startReady(t, s, "b", "b1")
	a.waitForCandidates(t, "b", 1)
	resp, text := a.sendRequest(t, http.MethodPost, "/unsafe/x%2Fy?q=%20", "body")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "answer of b1", text)
	require.Equal(t, "seal of b1", resp.Header.Get("T-Seal"))
	require.Empty(t, resp.Header.Get(callHeader))
	received := b.upstream.requests()
	require.Len(t, received, 1)
	require.Equal(t, "/unsafe/x%2Fy?q=%20", received[0].RequestURI)
	require.Equal(t, "a", received[0].Header.Get("T-Caller"))
	require.Equal(t, "b1", received[0].Header.Get("T-Expect"))
	require.Equal(t, []string{"body"}, b.upstream.bodies)
	require.Empty(t, received[0].Header.Get(callHeader))
}

// TestCallerCannotForgeItsService sends a request with headers that only daemons may set. The
// upstream must receive the true service of the caller in the caller header.
func TestCallerCannotForgeItsService(t *testing.T) {
	s := newStore(documentOf(1, "a"))
	a := startReady(t, s, "a", "a1")
	req, _ := http.NewRequest(http.MethodGet, "http://"+a.opts.Addresses.Callers+"/safe/", nil)
	req.Host = "h"
	req.Header.Set("T-Id", "forged")
	req.Header.Set("T-Caller", "other")
	req.Header.Set(callHeader, "x 0 a other a1 1 true 0 0 0 0 0")
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "a", a.upstream.requests()[0].Header.Get("T-Caller"))
}

// TestRefusalStatusDependsOnCause sends requests without a configuration, without an upstream and
// without a route. They must be refused with status 503, 503 and 404.
func TestRefusalStatusDependsOnCause(t *testing.T) {
	s := newStore(route.Document{})
	up := newUpstream(t, "a1")
	o := optionsFor(t, s, up, "a")
	o.Source = &source{store: s}
	d, err := New(o)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = d.Serve(ctx) }()
	m := &member{Daemon: d}
	t.Cleanup(func() { d.tunables.Store(&Tunables{}); cancel(); <-done })

	resp, _ := m.sendRequest(t, http.MethodGet, "/safe/", "")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "without a configuration no route is known to be missing")
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.False(t, d.ready.Load())

	s.publish(documentOf(1, "a"))
	eventually(t, "ready", d.ready.Load)
	status, _ := m.get(t, "/safe/")
	require.Equal(t, http.StatusServiceUnavailable, status, "no upstream yet")
	status, _ = m.get(t, "/nothing/")
	require.Equal(t, http.StatusNotFound, status)
}

// TestDrainedUpstreamGetsNoRequest guards against calls that run in an upstream that is draining
// or has deregistered. Entries that do not know the new state of the upstream yet still send
// such calls. The guard must reject them.
func TestDrainedUpstreamGetsNoRequest(t *testing.T) {
	for name, leave := range map[string]func(m *member){
		"draining": func(m *member) {
			r := readyReport("b1", 1, 2, "b")
			r.State = lifecycle.Draining
			m.Report(r)
		},
		"deregistered": func(m *member) { m.Leave(lifecycle.Incarnation{ID: "b1", Born: 1}) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newStore(documentOf(1, "b"))
			b := startReady(t, s, "b", "b1")
			leave(b)
			b.Report(readyReport("b1", 1, 1, "b")) // stale: must change nothing
			c := &Call{ID: "x", Method: http.MethodGet, Target: "/safe/", Host: "h", Header: http.Header{},
				Service: "b", Upstream: lifecycle.Incarnation{ID: "b1", Born: 1}, Idempotent: true, Deadline: time.Second}
			result := b.guard.Do(t.Context(), c)
			require.Equal(t, "not-run", result.Outcome.Kind.String())
			require.Empty(t, b.upstream.requests())
		})
	}
}

// TestNonIdempotentIsNotRetried has both upstreams run a request and lose the response. A
// request that is not idempotent must not be sent again.
func TestNonIdempotentIsNotRetried(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a := startReady(t, s, "a", "a1")
	b1, b2 := startReady(t, s, "b", "b1"), startReady(t, s, "b", "b2")
	a.waitForCandidates(t, "b", 2)
	b1.upstream.setHandler(hangUp)
	b2.upstream.setHandler(hangUp)
	for range 5 {
		status, _ := a.post(t, "/unsafe/")
		require.Equal(t, http.StatusBadGateway, status, "the outcome is unknown")
	}
	require.Len(t, append(b1.upstream.requests(), b2.upstream.requests()...), 5)
}

// TestIdempotentIsRetried has one of two upstreams lose or spoil every response. Idempotent
// requests must be retried at the other upstream.
func TestIdempotentIsRetried(t *testing.T) {
	for name, faultyHandler := range map[string]func(http.ResponseWriter, *http.Request){
		"closes connection": hangUp,
		"fails":             func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"no seal":           func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "without a seal") },
		"sheds":             shedRequest,
		"truncates": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("T-Seal", "x")
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			a := startWithFaultyUpstream(t, faultyHandler)
			for range 6 {
				status, text := a.get(t, "/safe/")
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, "answer of b2", text)
			}
		})
	}
}

// startWithFaultyUpstream returns a daemon of service a that knows two upstreams of service
// b, of which only b2 works.
func startWithFaultyUpstream(t *testing.T, faultyHandler http.HandlerFunc) *member {
	t.Helper()
	s := newStore(documentOf(1, "b"))
	a := startReady(t, s, "a", "a1")
	b1 := startReady(t, s, "b", "b1")
	startReady(t, s, "b", "b2")
	a.waitForCandidates(t, "b", 2)
	a.allowRetries()
	b1.upstream.setHandler(faultyHandler)
	return a
}

// allowRetries raises the retry budget of a daemon, for tests that are not about the budget. A
// daemon that has just started has a small budget. On a busy processor, hedges use it up.
func (m *member) allowRetries() {
	t := m.opts.Tunables
	t.Retries.Slack = 100_000
	m.Reconfigure(t)
}

// TestUnexecutedRequestIsRetriedElsewhere sends requests that one of two upstreams does not run.
// They must be retried at the other upstream. That is safe even if a request is not idempotent.
func TestUnexecutedRequestIsRetriedElsewhere(t *testing.T) {
	a := startWithFaultyUpstream(t, shedRequest)
	for range 6 {
		status, text := a.post(t, "/unsafe/")
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "answer of b2", text)
	}
}

// TestRetriesStayWithinBudget calls a service whose upstreams all fail. The number of retries
// must stay within the retry budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a := startReady(t, s, "a", "a1")
	b1, b2 := startReady(t, s, "b", "b1"), startReady(t, s, "b", "b2")
	a.waitForCandidates(t, "b", 2)
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	b1.upstream.setHandler(fail)
	b2.upstream.setHandler(fail)
	const numRequests = 60
	for range numRequests {
		status, _ := a.get(t, "/safe/")
		require.Equal(t, http.StatusInternalServerError, status, "the upstream's own response is delivered")
	}
	sent := len(b1.upstream.requests()) + len(b2.upstream.requests())
	require.Greater(t, sent, numRequests)
	require.LessOrEqual(t, float64(sent-numRequests), 0.2*numRequests+50/3.0, "three daemons share the slack")
}

// withTimeout sets the timeout of all routes of a document and returns the document.
func withTimeout(doc route.Document, d time.Duration) route.Document {
	for i := range doc.Routes {
		doc.Routes[i].Timeout = d
	}
	return doc
}

// TestRouteTimeoutCancelsRun runs a request for longer than the timeout of its route. The caller
// must get status 504, and the request must be cancelled at the upstream. The upstream must have
// received the timeout as the deadline, less at most 5 ms.
func TestRouteTimeoutCancelsRun(t *testing.T) {
	s := newStore(withTimeout(documentOf(1, "b"), 100*time.Millisecond))
	b := startReady(t, s, "b", "b1")
	cancelled := make(chan struct{}, 4)
	b.upstream.setHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done(); cancelled <- struct{}{} })
	status, _ := b.get(t, "/safe/")
	require.Equal(t, http.StatusGatewayTimeout, status)
	<-cancelled
	require.Contains(t, []string{"98", "99", "100", "97", "96", "95"}, b.upstream.requests()[0].Header.Get("T-Deadline"))
}

// TestCallerDisconnectCancelsRun closes a caller's connection while another daemon's upstream
// runs the request. The request is idempotent, so it must be cancelled.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a := startReady(t, s, "a", "a1")
	b := startReady(t, s, "b", "b1")
	a.waitForCandidates(t, "b", 1)
	cancelled := make(chan struct{})
	b.upstream.setHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done(); close(cancelled) })
	conn, err := net.Dial("tcp", a.opts.Addresses.Callers)
	require.NoError(t, err)
	_, _ = fmt.Fprintf(conn, "GET /safe/ HTTP/1.1\r\nHost: h\r\nT-Id: leaver\r\n\r\n")
	eventually(t, "the request runs", func() bool { return len(b.upstream.requests()) == 1 })
	require.NoError(t, conn.Close())
	<-cancelled
}

// TestStopDrainsRequestsInFlight stops a daemon while its upstream runs a request. The request
// must still be answered.
func TestStopDrainsRequestsInFlight(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a := startReady(t, s, "a", "a1")
	b := startReady(t, s, "b", "b1")
	a.waitForCandidates(t, "b", 1)
	release := make(chan struct{})
	b.upstream.setHandler(func(w http.ResponseWriter, _ *http.Request) { <-release; respondOK(w, "b1") })
	var status atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		got, _ := a.get(t, "/safe/")
		status.Store(int64(got))
	}()
	eventually(t, "the request runs", func() bool { return len(b.upstream.requests()) == 1 })
	stopped := make(chan struct{})
	go func() { defer close(stopped); b.stop() }()
	eventually(t, "not ready", func() bool {
		resp, err := http.Get("http://" + b.opts.Addresses.Ready + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	eventually(t, "others choose it only as a last resort", func() bool {
		ups, _ := a.peers.candidates("b", 0)
		return len(ups) == 0 || len(ups) == 1 && ups[0].Stopping
	})
	close(release)
	<-done
	require.EqualValues(t, http.StatusOK, status.Load())
	<-stopped
}

// TestIdleConnectionsAreServedWhileStopping sends a request on a connection that was idle when
// the daemon was told to stop. The request must be served, because a caller may have sent it
// before it learned of the stop.
func TestIdleConnectionsAreServedWhileStopping(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a, b := startReady(t, s, "a", "a1"), startReady(t, s, "b", "b1")
	a.waitForCandidates(t, "b", 1)
	conn, err := net.Dial("tcp", a.opts.Addresses.Callers)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	r := bufio.NewReader(conn)
	send := func(id string) *http.Response {
		_, err := io.WriteString(conn, "GET /safe/ HTTP/1.1\r\nHost: h\r\nT-Id: "+id+"\r\nT-Deadline: 5000\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		return resp
	}
	require.False(t, send("one").Close)
	stopped := make(chan struct{})
	go func() { defer close(stopped); a.stop() }()
	eventually(t, "the daemon is stopping", a.stopping.Load)
	eventually(t, "the other daemon knows", func() bool { r, ok := b.peers.recordOf(a.opts.Addresses.Peers); return ok && r.Stopping })
	resp := send("two")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.True(t, resp.Close, "the caller must send nothing more on the connection")
	<-stopped
}

// listenUnresponsive starts a listener that accepts connections and requests and never responds,
// like a daemon behind a broken link. It returns a counter of the requests received.
func listenUnresponsive(t *testing.T, address string) *atomic.Int64 {
	ln, err := net.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	var requests atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					requests.Add(1)
				}
			}()
		}
	}()
	return &requests
}

// TestUnresponsiveDaemonIsAvoided replaces a daemon by a listener that never responds, as if
// its link lost all packets without a reset. Requests must reach the other daemon.
func TestUnresponsiveDaemonIsAvoided(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a := startReady(t, s, "a", "a1")
	b1, b2 := startReady(t, s, "b", "b1"), startReady(t, s, "b", "b2")
	a.waitForCandidates(t, "b", 2)
	b2.kill()
	listenUnresponsive(t, b2.opts.Addresses.Peers)
	for range 10 {
		status, text := a.get(t, "/safe/")
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "answer of b1", text)
	}
	require.NotEmpty(t, b1.upstream.requests())
}

// TestFinishedRequestsAreNotOutstanding checks that a request no longer counts as outstanding
// at an upstream after it has timed out or another upstream has answered it.
func TestFinishedRequestsAreNotOutstanding(t *testing.T) {
	s := newStore(withTimeout(documentOf(1, "b"), 300*time.Millisecond))
	a := startReady(t, s, "a", "a1")
	b1, b2 := startReady(t, s, "b", "b1"), startReady(t, s, "b", "b2")
	a.waitForCandidates(t, "b", 2)
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	b1.upstream.setHandler(hang)
	for range 6 {
		_, _ = a.get(t, "/safe/")
	}
	b2.upstream.setHandler(hang)
	for range 3 {
		_, _ = a.get(t, "/safe/")
		_, _ = a.post(t, "/unsafe/")
	}
	svc := a.entry.serviceStateOf("b")
	eventually(t, "no request is outstanding", func() bool {
		svc.mu.Lock()
		defer svc.mu.Unlock()
		return svc.placer.Outstanding() == 0
	})
}
