package sidecar

import (
	"bufio"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/decision"
)

// logRecorder collects the entries of the decision log. It is safe for concurrent use.
type logRecorder struct {
	mu      sync.Mutex
	entries []map[string]any
	// onWrite, if set, is called before an entry is added.
	onWrite func(kind string)
}

// Write adds one entry, which must be a complete JSON object.
func (l *logRecorder) Write(p []byte) (int, error) {
	var fields map[string]any
	if err := json.Unmarshal(p, &fields); err != nil {
		return 0, err
	}
	if l.onWrite != nil {
		l.onWrite(fields["msg"].(string))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, fields)
	return len(p), nil
}

// ofKind returns the entries of a kind.
func (l *logRecorder) ofKind(k decision.Kind) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.entries), func(f map[string]any) bool { return f["msg"] != string(k) })
}

// startWithLog starts a daemon of service "a" with a ready upstream, and records its decision log
// in l. The daemon runs until the test ends or stops it.
func startWithLog(t *testing.T, s *store, id string, l *logRecorder) *member {
	t.Helper()
	up := newUpstream(t, id)
	o := optionsFor(t, s, up, "a")
	o.Decisions = decision.New(decision.Options{Handler: slog.NewJSONHandler(l, nil)})
	m := startDaemon(t, o, s)
	m.upstream = up
	m.Report(readyReport(id, 1, 1, "a"))
	return m
}

// callerConn is a connection of a caller to a daemon.
type callerConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dialCallers opens a connection to the address at which a daemon accepts callers.
func dialCallers(t *testing.T, m *member) *callerConn {
	t.Helper()
	conn, err := net.Dial("tcp", m.opts.Addresses.Callers)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &callerConn{conn: conn, reader: bufio.NewReader(conn)}
}

// send writes a request for /safe/ without a body.
func (c *callerConn) send(t *testing.T, id string) {
	t.Helper()
	c.sendWithDeadline(t, id, "5000")
}

// sendWithDeadline writes a request for /safe/ with a deadline in milliseconds.
func (c *callerConn) sendWithDeadline(t *testing.T, id, deadline string) {
	t.Helper()
	_, err := io.WriteString(c.conn, "GET /safe/ HTTP/1.1\r\nHost: h\r\nT-Id: "+id+"\r\nT-Deadline: "+deadline+"\r\n\r\n")
	require.NoError(t, err)
}

// readResponse reads a complete response.
func (c *callerConn) readResponse() (*http.Response, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// TestHandlerPanicsAreLogged makes a handler for callers panic. The caller sees only that the
// connection is closed, so the log must show the panic.
func TestHandlerPanicsAreLogged(t *testing.T) {
	l := &logRecorder{}
	m := startWithLog(t, newStore(documentOf(1, "a")), "a1", l)
	m.callerServer.http.Handler = m.reportPanics("callers", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("broken") }))
	caller := dialCallers(t, m)
	caller.send(t, "one")
	_, err := caller.readResponse()
	require.Error(t, err)
	eventually(t, "the log entry", func() bool { return len(l.ofKind(decision.Aborted)) == 1 })
	logged := l.ofKind(decision.Aborted)[0]
	require.Equal(t, "one", logged["request"])
	require.Equal(t, "broken", logged["error"])
	require.Equal(t, "callers", logged["part"])
	require.Contains(t, logged["stack"], "unanswered_test.go")
	require.EqualValues(t, 1, m.scope.Snapshot().Counters()["handlers_panicked+"].Value())
}

// startWithRunningRequest returns a daemon, its log, and a connection with a request that
// runs until the end of the test.
func startWithRunningRequest(t *testing.T) (*member, *logRecorder, *callerConn) {
	t.Helper()
	l := &logRecorder{}
	m := startWithLog(t, newStore(documentOf(1, "a")), "a1", l)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	m.upstream.setHandler(func(w http.ResponseWriter, _ *http.Request) { <-release; respondOK(w, "a1") })
	caller := dialCallers(t, m)
	caller.send(t, "one")
	eventually(t, "the request runs", func() bool { return len(m.upstream.requests()) == 1 })
	return m, l, caller
}

// TestAbortedRequestsAreLogged closes the server for callers while a request is in flight. The
// daemon must log the request once, as failed with a closed connection, and count it.
func TestAbortedRequestsAreLogged(t *testing.T) {
	m, l, caller := startWithRunningRequest(t)
	m.callerServer.close()
	_, err := caller.readResponse()
	require.Error(t, err)
	eventually(t, "the log entry", func() bool { return len(l.ofKind(decision.Failed)) > 0 })
	failed := l.ofKind(decision.Failed)
	require.Len(t, failed, 1)
	require.Equal(t, "one", failed[0]["request"])
	require.Equal(t, true, failed[0]["cut"])
	require.EqualValues(t, 1, m.scope.Snapshot().Counters()["requests_cut+"].Value())
}

// TestDisconnectingCallersAreNotCountedAsAborted closes the connection of a running request from
// the side of the caller. The log must not say that the daemon closed it.
func TestDisconnectingCallersAreNotCountedAsAborted(t *testing.T) {
	_, l, caller := startWithRunningRequest(t)
	require.NoError(t, caller.conn.Close())
	eventually(t, "the log entry", func() bool { return len(l.ofKind(decision.Failed)) == 1 })
	require.Equal(t, false, l.ofKind(decision.Failed)[0]["cut"])
}

// TestRequestsAtTheEndOfAStopAreAnswered guards against requests that are forwarded and
// get no response. Such a request arrives on a persistent connection after a stopping
// daemon has found no request in flight and before it closes its connections. To extend
// that time, the test delays the last log entry of the daemon.
func TestRequestsAtTheEndOfAStopAreAnswered(t *testing.T) {
	stopLogged, release := make(chan struct{}), make(chan struct{})
	l := &logRecorder{onWrite: func(kind string) {
		if kind == string(decision.Stopped) {
			close(stopLogged)
			<-release
		}
	}}
	s := newStore(documentOf(1, "b"))
	a, b := startWithLog(t, s, "a1", l), startReady(t, s, "b", "b1")
	a.waitForCandidates(t, "b", 1)
	caller := dialCallers(t, a)
	caller.send(t, "one")
	resp, err := caller.readResponse()
	require.NoError(t, err)
	require.False(t, resp.Close)
	b.upstream.setHandler(func(w http.ResponseWriter, r *http.Request) {
		// The request runs until its sender disconnects.
		select {
		case <-r.Context().Done():
		case <-time.After(time.Second):
			respondOK(w, "b1")
		}
	})
	stopped := make(chan struct{})
	go func() { defer close(stopped); a.stop() }()
	<-stopLogged
	_, err = io.WriteString(caller.conn, "GET /safe/ HTTP/1.1\r\nHost: h\r\nT-Id: two\r\nT-Deadline: 5000\r\n\r\n")
	if err == nil {
		_, err = caller.readResponse()
	}
	close(release)
	<-stopped
	if len(b.upstream.requests()) > 1 {
		require.NoError(t, err, "the request was forwarded and got no response")
	}
}

// TestRunningRequestsAreAnsweredAtTheEndOfTheGracePeriod guards against callers that get
// no response because their requests run longer than a stopping daemon. The status must be 502,
// which says that the request may have run.
func TestRunningRequestsAreAnsweredAtTheEndOfTheGracePeriod(t *testing.T) {
	for _, upstreamService := range []string{"a", "b"} {
		t.Run("upstream of service "+upstreamService, func(t *testing.T) {
			s := newStore(documentOf(1, model.ServiceName(upstreamService)))
			a, b := startReady(t, s, "a", "a1"), startReady(t, s, "b", "b1")
			a.waitForCandidates(t, model.ServiceName(upstreamService), 1)
			release := make(chan struct{})
			t.Cleanup(func() { close(release) })
			for _, m := range []*member{a, b} {
				m.upstream.setHandler(func(http.ResponseWriter, *http.Request) { <-release })
			}
			caller := dialCallers(t, a)
			caller.send(t, "one")
			eventually(t, "the request runs", func() bool { return len(a.upstream.requests())+len(b.upstream.requests()) == 1 })
			a.tunables.Store(&Tunables{GracePeriod: graceMargin})
			go a.stop()
			resp, err := caller.readResponse()
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, resp.StatusCode, "the request may have run")
		})
	}
}

// TestRequestsAfterTheEndOfAStopAreRefused sends a request to a daemon that accepts no
// more requests but has not closed its connections yet. The daemon must refuse the request with
// a Retry-After value and not forward it.
func TestRequestsAfterTheEndOfAStopAreRefused(t *testing.T) {
	m := startWithLog(t, newStore(documentOf(1, "a")), "a1", &logRecorder{})
	caller := dialCallers(t, m)
	m.inFlight.close()
	caller.send(t, "one")
	resp, err := caller.readResponse()
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Empty(t, m.upstream.requests())
}

// TestCloseIfIdleAdmitsNoFurtherRequests checks that no request is admitted after the
// check that none is in flight.
func TestCloseIfIdleAdmitsNoFurtherRequests(t *testing.T) {
	var requests inFlightRequests
	require.True(t, requests.begin())
	require.False(t, requests.closeIfIdle(func() bool { return true }), "one request is in flight")
	require.True(t, requests.begin())
	requests.end()
	requests.end()
	require.False(t, requests.closeIfIdle(func() bool { return false }), "the guard is busy")
	require.True(t, requests.begin())
	requests.end()
	require.True(t, requests.closeIfIdle(func() bool { return true }))
	require.False(t, requests.begin())
}

// TestStopIfIdleAdmitsNoFurtherCalls checks that no call is admitted after the check that
// none is waiting or running.
func TestStopIfIdleAdmitsNoFurtherCalls(t *testing.T) {
	now := model.Instant(time.Hour)
	g := newIdleGuard(&now)
	g.handleReport(readyReport("b1", 1, 1, "b"), "report")
	_, dequeueReason, rejection := g.enqueue(newCall())
	require.Nil(t, rejection)
	require.NotEmpty(t, dequeueReason)
	require.False(t, g.stopIfIdle(), "one call is running")
	_, _, rejection = g.enqueue(newCall())
	require.Nil(t, rejection)
	g.queue.Finish()
	g.queue.Finish()
	require.True(t, g.stopIfIdle())
	_, _, rejection = g.enqueue(newCall())
	require.Equal(t, outcome.ReasonDraining, rejection.Outcome.Reason)
}

// panickingCodec panics when a request is sent to the upstream.
type panickingCodec struct{ testCodec }

func (panickingCodec) WriteRequestInfo(http.Header, RequestInfo) { panic("broken") }

// TestPanicEndsOnlyItsRequest guards against a panic outside the HTTP handlers that ends
// the process, and with it all requests in flight. The request must fail, the panic must be
// logged, and the slot of the request must be released.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	for name, entryService := range map[string]model.ServiceName{"local upstream": "b", "upstream of another daemon": "a"} {
		t.Run(name, func(t *testing.T) {
			s := newStore(documentOf(1, "b"))
			l := &logRecorder{}
			o := optionsFor(t, s, newUpstream(t, "b1"), "b")
			o.Codec = panickingCodec{}
			o.Decisions = decision.New(decision.Options{Handler: slog.NewJSONHandler(l, nil)})
			b := startDaemon(t, o, s)
			b.Report(readyReport("b1", 1, 1, "b"))
			entryDaemon := b
			if entryService == "a" {
				entryDaemon = startReady(t, s, "a", "a1")
			}
			entryDaemon.waitForCandidates(t, "b", 1)
			status, body := entryDaemon.get(t, "/safe/")
			require.Equal(t, http.StatusBadGateway, status, body)
			status, body = entryDaemon.post(t, "/unsafe/")
			require.Equal(t, http.StatusBadGateway, status, body)
			eventually(t, "the log entries", func() bool { return len(l.ofKind(decision.Aborted)) >= 2 })
			require.Equal(t, attemptComponent, l.ofKind(decision.Aborted)[0]["part"])
			require.Equal(t, 0, b.guard.queue.Running(), "slots are released")
		})
	}
}
