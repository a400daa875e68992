package sidecar

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/route"
)

// TestBufferedResponsesAreInFlight guards against a stopping daemon that closes a connection
// while the response to a forwarded request is still in net/http's buffer.
func TestBufferedResponsesAreInFlight(t *testing.T) {
	m := startWithLog(t, newStore(documentOf(1, "a")), "a1", &logRecorder{})
	next, closed := m.callerServer.http.Handler, make(chan bool, 1)
	m.callerServer.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		// net/http flushes a small response only after the handler has returned.
		closed <- m.stopForwardingIfIdle()
	})
	caller := dialCallers(t, m)
	caller.send(t, "one")
	_, err := caller.readResponse()
	require.NoError(t, err)
	require.Len(t, m.upstream.requests(), 1)
	require.False(t, <-closed, "the response is not written yet")
}

// TestBufferedPeerResponsesAreInFlight guards against another daemon losing the result of a call
// that has run. The result is lost if the connection is closed between the end of the run and
// the response.
func TestBufferedPeerResponsesAreInFlight(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a, closed := startReady(t, s, "a", "a1"), make(chan bool, 1)
	b := startPrepared(t, optionsFor(t, s, newUpstream(t, "b1"), "b"), s, func(d *Daemon) {
		next := d.peerServer.http.Handler
		d.peerServer.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			next.ServeHTTP(w, r)
			if r.Header.Get(callHeader) != "" {
				closed <- d.stopForwardingIfIdle()
			}
		})
	})
	b.Report(readyReport("b1", 1, 1, "b"))
	a.waitForCandidates(t, "b", 1)
	status, _ := a.get(t, "/unsafe/")
	require.Equal(t, http.StatusOK, status)
	require.False(t, <-closed, "the response is not written yet")
}

// TestNoRequestIsForwardedAfterAbort guards against a request that is sent to an upstream after
// the daemon has aborted the requests in flight. Such a request would be cancelled at once.
func TestNoRequestIsForwardedAfterAbort(t *testing.T) {
	m := startWithLog(t, newStore(documentOf(1, "a")), "a1", &logRecorder{})
	caller := dialCallers(t, m)
	_, err := io.WriteString(caller.conn, "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nT-Id: one\r\nT-Deadline: 5000\r\nContent-Length: 2\r\n\r\nx")
	require.NoError(t, err)
	eventually(t, "the request is in flight", func() bool { return m.inFlight.count() == 1 })
	m.inFlight.close()
	original := m.aborting
	defer func() { m.aborting = original }()
	m.aborting = make(chan struct{})
	close(m.aborting)
	_, err = io.WriteString(caller.conn, "y")
	require.NoError(t, err)
	resp, err := caller.readResponse()
	require.NoError(t, err)
	require.Empty(t, m.upstream.requests())
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "the request has not run")
}

// TestReceivedResponsesAreDeliveredDuringAbort guards against a lost response of an upstream.
// The response arrives while the daemon aborts the requests in flight, and the caller gets an
// error instead.
func TestReceivedResponsesAreDeliveredDuringAbort(t *testing.T) {
	m := startWithLog(t, newStore(documentOf(1, "a")), "a1", &logRecorder{})
	original := m.aborting
	defer func() { m.aborting = original }()
	m.aborting = make(chan struct{})
	close(m.aborting)
	requireReceivedResponsesDelivered(t, m, func() (context.Context, context.CancelFunc, model.Instant) {
		ctx, cancel := context.WithCancel(t.Context())
		return ctx, cancel, m.now().Add(minTimeLeft * 1000)
	})
}

// requireReceivedResponsesDelivered has requests wait whose response has arrived already. newRequest
// returns the context and the deadline of one. It tries often, as the daemon might choose at random.
func requireReceivedResponsesDelivered(t *testing.T, m *member, newRequest func() (context.Context, context.CancelFunc, model.Instant)) {
	t.Helper()
	eventually(t, "a configuration is in force", func() bool { return m.config.table() != nil })
	matched, ok := m.config.table().Lookup("h", "/safe/")
	require.True(t, ok)
	for range 64 {
		ctx, cancel, deadline := newRequest()
		now := m.now()
		f := &forwarder{
			entry: m.entry, serviceState: m.entry.serviceStateOf("a"), results: make(chan attemptResult, 1), excluded: make(map[string]bool),
			request: &request{
				httpRequest: httptest.NewRequest(http.MethodGet, "/safe/", nil), route: matched, service: "a", ctx: ctx, startedAt: now, deadline: deadline,
			},
		}
		attempt := &attemptState{cancel: cancel, sentAt: now, acknowledged: make(chan struct{})}
		f.inFlight = []*attemptState{attempt}
		f.results <- attemptResult{attempt: attempt, result: &Result{Outcome: outcome.ResponseComplete(), Status: http.StatusOK, Header: http.Header{}, Delivered: true}}
		require.Equal(t, outcome.Answered, f.waitForResult().Outcome.Kind)
	}
}

// TestFiredIdleTimerRespectsLongerTimeout guards against closing an idle connection after
// callers were told a longer idle timeout. The timer had fired already, and was waiting for the
// lock under which the timeout was extended.
func TestFiredIdleTimerRespectsLongerTimeout(t *testing.T) {
	s, conn, idle := newServerWithIdleConn(t)
	require.True(t, idle.timer.Stop(), "stands for a timer that has fired")
	s.setLimits(route.Limits{IdleTimeout: 2 * time.Hour})
	s.closeIdle(conn, idle)
	require.NoError(t, conn.SetDeadline(time.Time{}), "the connection may stay idle for another hour")
}
