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

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/placement"
)

// TestCallToAnEndedDaemonHasNotRun guards against 502 for a request that cannot have run. The only
// upstream belongs to a daemon that has announced its stop and has closed its sockets since.
func TestCallToAnEndedDaemonHasNotRun(t *testing.T) {
	a, b, _, _ := startPairWithLogs(t)
	status, _ := a.post(t, "/unsafe/")
	require.Equal(t, http.StatusOK, status)
	b.peers.updateLocal(func(r *Record) { r.Stopping = true })
	eventually(t, "the stop is known to the other daemon", func() bool { r, _ := a.peers.recordOf(b.opts.Addresses.Peers); return r.Stopping })
	status, _ = a.post(t, "/unsafe/")
	require.Equal(t, http.StatusOK, status, "the daemon still takes calls")
	b.guard.stopAdmitting()
	// A daemon that ends refuses calls for longer than a known load is used without a query.
	time.Sleep(2 * placement.MaxLoadAge)
	// Connections that are still open take a call, and are closed before it is read.
	b.peerServer.http.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	resp, body := a.sendRequest(t, http.MethodPost, "/unsafe/", "pay")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, body)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Len(t, b.upstream.requests(), 2)
}

// TestNestedRequestsReachAStoppingDaemon guards against a run that fails because its upstream cannot
// send a nested request over a new connection. The daemon of the upstream is stopping, and its callers
// have had time to leave.
func TestNestedRequestsReachAStoppingDaemon(t *testing.T) {
	m := startReady(t, newStore(documentOf(1, "a")), "a", "a1")
	callersLeft := make(chan struct{})
	m.upstream.setHandler(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("T-Id") != "one" {
			respondOK(w, "a1")
			return
		}
		<-callersLeft
		nested := dialCallersOrNil(m)
		if nested == nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		nested.sendWithDeadline(t, "two", "500")
		resp, err := nested.readResponse()
		if err != nil || resp.StatusCode != http.StatusOK {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		respondOK(w, "a1")
	})
	caller := dialCallers(t, m)
	caller.send(t, "one")
	eventually(t, "the request runs", func() bool { return len(m.upstream.requests()) == 1 })
	go m.stop()
	eventually(t, "callers have had time to leave", func() bool { return m.stoppingFor() > minDrainTime+4*drainPollInterval })
	close(callersLeft)
	resp, err := caller.readResponse()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// dialCallersOrNil is dialCallers for a daemon that may accept no connections.
func dialCallersOrNil(m *member) *callerConn {
	conn, err := net.Dial("tcp", m.opts.Addresses.Callers)
	if err != nil {
		return nil
	}
	return &callerConn{conn: conn, reader: bufio.NewReader(conn)}
}

// TestEstablishedConnectionsAreServedWhenAServerStopsAccepting guards against callers whose connection is
// reset although it was established before the server stopped accepting. The kernel holds such
// connections until the process accepts them, which takes longer on a busy processor.
func TestEstablishedConnectionsAreServedWhenAServerStopsAccepting(t *testing.T) {
	s := newServer("test", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }))
	ln, err := net.Listen("tcp", unusedAddress(t))
	require.NoError(t, err)
	s.listener = ln
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx) }()
	defer func() { cancel(); <-served }()
	// The server accepts one connection and waits for the lock to record its state.
	s.mu.Lock()
	var conns []net.Conn
	for range 4 {
		conn, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	stopped := make(chan struct{})
	go func() { defer close(stopped); s.stopAccepting() }()
	time.Sleep(10 * time.Millisecond)
	s.mu.Unlock()
	for _, conn := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	<-stopped
	_, err = net.Dial("tcp", ln.Addr().String())
	require.Error(t, err, "no further connection is accepted")
}

// repeatingUpstream refuses the first request of a connection without an id, and sends the same refusal
// once more when the next request has arrived. It runs that request.
type repeatingUpstream struct{ ran atomic.Int64 }

func (u *repeatingUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	in := bufio.NewReader(conn)
	refused := false
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		switch {
		case r.URL.Path == "/health":
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nT-Instance: a1\r\nT-Slow: 1\r\nContent-Length: 0\r\n\r\n")
		case !refused && !strings.Contains(string(body), "second"):
			refused = true
			_, _ = io.WriteString(conn, refusal)
		default:
			if refused {
				_, _ = io.WriteString(conn, refusal)
			}
			u.ran.Add(1)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("T-Id"))
		}
	}
}

// TestLateCopyOfARefusalIsNotProof guards against a request that runs although its caller is told that
// it has not run. The upstream sends an earlier refusal, which names no request, a second time.
func TestLateCopyOfARefusalIsNotProof(t *testing.T) {
	up := &repeatingUpstream{}
	m := startReadyWith(t, newStore(documentOf(1, "a")), "a", "a1", func(o *Options) { o.Addresses.Upstream = serveConns(t, up.serve) })
	resp, _ := m.sendRequest(t, http.MethodPost, "/unsafe/", "first")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "the upstream refuses it")
	resp, body := m.sendRequest(t, http.MethodPost, "/unsafe/", "second")
	require.EqualValues(t, 1, up.ran.Load(), "it runs")
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
}

// TestReceivedResponsesAreDeliveredAtTheDeadline guards against a lost response of an upstream. The
// response arrives just as the deadline of the request passes, and the caller gets 504 instead.
func TestReceivedResponsesAreDeliveredAtTheDeadline(t *testing.T) {
	m := startWithLog(t, newStore(documentOf(1, "a")), "a1", &logRecorder{})
	requireReceivedResponsesDelivered(t, m, func() (context.Context, context.CancelFunc, model.Instant) {
		ctx, cancel := context.WithDeadline(t.Context(), time.Now())
		<-ctx.Done()
		return ctx, cancel, m.now()
	})
}

// TestRequestsAreNotAbortedBeforeTheEndOfTheGracePeriod guards against a stop that aborts requests
// before the last sixth of the grace period, however short the grace period is.
func TestRequestsAreNotAbortedBeforeTheEndOfTheGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 6 * time.Second, time.Minute} {
		require.GreaterOrEqual(t, grace-shutdownMargin(grace), grace*5/6, grace)
		require.Positive(t, shutdownMargin(grace), grace)
	}
}

// TestStoppingDaemonBecomesIdle guards against a stop that takes the whole grace period because callers
// that have not left open new connections. Their requests are refused as not run once they have
// had time to leave and the local upstream, which may need new connections, is idle.
func TestStoppingDaemonBecomesIdle(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a, b := startReady(t, s, "a", "a1"), startReady(t, s, "b", "b1")
	a.waitForCandidates(t, "b", 1)
	release := b.upstream.blockRuns()
	defer release()
	held := dialCallers(t, a)
	held.sendWithDeadline(t, "held", "4000")
	eventually(t, "a request runs", func() bool { return len(b.upstream.requests()) == 1 })
	go a.stop()
	eventually(t, "callers have had time to leave", func() bool { return a.stoppingFor() > minDrainTime })
	late := dialCallers(t, a)
	late.sendWithDeadline(t, "late", "500")
	resp, err := late.readResponse()
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Len(t, b.upstream.requests(), 1)
	release()
	resp, err = held.readResponse()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}
