package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/bubble"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/route"
	"github.com/dottereltiller/dottereltiller/inbound"
)

// TestIdleTimeoutChangeAppliesToIdleConnections changes the idle timeout while a connection is
// idle. The connection must be closed after the longer of the old and the new timeout.
func TestIdleTimeoutChangeAppliesToIdleConnections(t *testing.T) {
	for name, c := range map[string]struct {
		before, after time.Duration
		closedAfter   time.Duration
	}{
		"unchanged": {5 * time.Second, 5 * time.Second, 5*time.Second + idleCloseDelay},
		"longer":    {5 * time.Second, 20 * time.Second, 20*time.Second + idleCloseDelay},
		"shorter":   {20 * time.Second, 5 * time.Second, 20*time.Second + idleCloseDelay},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				s := newServer("callers", http.NotFoundHandler())
				s.setLimits(route.Limits{IdleTimeout: c.before})
				conn, clientEnd := net.Pipe()
				defer func() { _ = clientEnd.Close() }()
				s.trackConn(conn, http.StateActive)
				s.trackConn(conn, http.StateIdle)
				time.Sleep(4 * time.Second)
				s.setLimits(route.Limits{IdleTimeout: c.after})
				time.Sleep(c.closedAfter - 4*time.Second - time.Millisecond)
				require.NoError(t, conn.SetDeadline(time.Time{}), "the connection is open")
				time.Sleep(2 * time.Millisecond)
				synctest.Wait()
				require.Error(t, conn.SetDeadline(time.Time{}), "the connection is closed")
			})
		})
	}
}

// newServerWithIdleConn returns a server with an idle timeout of one hour, an idle connection of
// the server, and the idleConn of that connection.
func newServerWithIdleConn(t *testing.T) (*server, net.Conn, *idleConn) {
	t.Helper()
	s := newServer("callers", http.NotFoundHandler())
	s.setLimits(route.Limits{IdleTimeout: time.Hour})
	conn, clientEnd := net.Pipe()
	t.Cleanup(func() { _ = clientEnd.Close() })
	s.trackConn(conn, http.StateIdle)
	return s, conn, s.idleConns[conn]
}

// TestIdleTimersCloseNoConnectionInUse guards against a forwarded request that gets no response
// because its connection is closed. That happens if the idle timer of the connection expires just
// when the request has been read, too late to be stopped.
func TestIdleTimersCloseNoConnectionInUse(t *testing.T) {
	s, conn, idle := newServerWithIdleConn(t)
	s.trackConn(conn, http.StateActive)
	s.closeIdle(conn, idle)
	require.NoError(t, conn.SetDeadline(time.Time{}), "the connection is in use")
	s.trackConn(conn, http.StateIdle)
	s.closeIdle(conn, idle)
	require.NoError(t, conn.SetDeadline(time.Time{}), "the connection has been used since the timer was set")
	s.closeIdle(conn, s.idleConns[conn])
	require.Error(t, conn.SetDeadline(time.Time{}), "the connection is closed")
}

// acceptConn opens a connection. It returns the context of requests on the connection, the end
// that the server accepted, and the end of the client.
func acceptConn(t *testing.T) (ctx context.Context, conn, clientConn net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	clientConn, err = net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	conn, err = inbound.NewListener(ln).Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = conn.Close(), clientConn.Close() })
	return inbound.ConnContext(t.Context(), conn), conn, clientConn
}

func safeRequest(ctx context.Context) *http.Request {
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/safe/", nil)
	r.Host = "h"
	r.Header.Set("T-Id", "one")
	return r
}

// TestRequestsOnClosedConnectionsAreNotForwarded guards against forwarding a request whose
// caller can get no response. The connection is closed just after the request was read.
func TestRequestsOnClosedConnectionsAreNotForwarded(t *testing.T) {
	m := startWithLog(t, newStore(documentOf(1, "a")), "a1", &logRecorder{})
	ctx, conn, _ := acceptConn(t)
	require.NoError(t, conn.Close())
	require.PanicsWithValue(t, http.ErrAbortHandler, func() {
		m.callerServer.http.Handler.ServeHTTP(httptest.NewRecorder(), safeRequest(ctx))
	})
	require.Empty(t, m.upstream.requests())
}

// TestRequestsOfDisconnectedCallersAreNotForwarded guards against requests that reach an
// upstream long after their callers have disconnected. On a busy processor, net/http notices the
// close late.
func TestRequestsOfDisconnectedCallersAreNotForwarded(t *testing.T) {
	m := startWithLog(t, newStore(documentOf(1, "a")), "a1", &logRecorder{})
	ctx, _, caller := acceptConn(t)
	require.NoError(t, caller.Close())
	eventually(t, "the close has arrived", func() bool { return inbound.ClosedByClient(ctx) })
	m.entry.ServeHTTP(httptest.NewRecorder(), safeRequest(ctx))
	require.Empty(t, m.upstream.requests())
}

// TestCallsOfDisconnectedSendersAreNotRun has a sender disconnect before the guard has started
// its call. The call must not run.
func TestCallsOfDisconnectedSendersAreNotRun(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		m := startWithLog(t, newStore(documentOf(1, "a")), "a1", &logRecorder{})
		ctx, _, sender := acceptConn(t)
		require.NoError(t, sender.Close())
		eventually(t, "the close has arrived", func() bool { return inbound.ClosedByClient(ctx) })
		c := newCall()
		c.Service, c.Upstream.ID, c.Idempotent = "a", "a1", idempotent
		require.Equal(t, outcome.NotRun, m.guard.Do(ctx, c).Outcome.Kind)
		require.Empty(t, m.upstream.requests())
	}
}
