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

// TestIdleConnectionsKeepTheNewestPromise changes how long idle connections are kept
// while one is idle.
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
				conn, other := net.Pipe()
				defer func() { _ = other.Close() }()
				s.trackConn(conn, http.StateActive)
				s.trackConn(conn, http.StateIdle)
				time.Sleep(4 * time.Second)
				s.setLimits(route.Limits{IdleTimeout: c.after})
				time.Sleep(c.closedAfter - 4*time.Second - time.Millisecond)
				require.NoError(t, conn.SetDeadline(time.Time{}), "it is open")
				time.Sleep(2 * time.Millisecond)
				synctest.Wait()
				require.Error(t, conn.SetDeadline(time.Time{}), "it is closed")
			})
		})
	}
}

// idleForAnHour returns a server that keeps idle connections for an hour, one of them, and
// its timer.
func newServerWithIdleConn(t *testing.T) (*server, net.Conn, *idleConn) {
	t.Helper()
	s := newServer("callers", http.NotFoundHandler())
	s.setLimits(route.Limits{IdleTimeout: time.Hour})
	conn, other := net.Pipe()
	t.Cleanup(func() { _ = other.Close() })
	s.trackConn(conn, http.StateIdle)
	return s, conn, s.idle[conn]
}

// TestIdleTimersCloseNoConnectionInUse guards against a request that is passed on and cut:
// its connection's idle timer is due, and fires only after the request has been read.
func TestIdleTimersCloseNoConnectionInUse(t *testing.T) {
	s, conn, idle := newServerWithIdleConn(t)
	s.trackConn(conn, http.StateActive)
	s.closeIdle(conn, idle)
	require.NoError(t, conn.SetDeadline(time.Time{}), "it is in use")
	s.trackConn(conn, http.StateIdle)
	s.closeIdle(conn, idle)
	require.NoError(t, conn.SetDeadline(time.Time{}), "it has been in use since")
	s.closeIdle(conn, s.idle[conn])
	require.Error(t, conn.SetDeadline(time.Time{}), "it is closed")
}

// accepted returns the context of a request on a connection, and both ends of that.
func acceptConn(t *testing.T) (ctx context.Context, conn, other net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	other, err = net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	conn, err = inbound.Listener(ln).Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = conn.Close(), other.Close() })
	return inbound.Context(t.Context(), conn), conn, other
}

func safeRequest(ctx context.Context) *http.Request {
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/safe/", nil)
	r.Host = "h"
	r.Header.Set("T-Id", "one")
	return r
}

// TestRequestsOnClosedConnectionsAreNotPassedOn guards against a request that is passed on
// though its caller can get no answer: its connection was closed just after it was read.
func TestRequestsOnClosedConnectionsAreNotForwarded(t *testing.T) {
	m := joinWithLog(t, newStore(documentOf(1, "a")), "a1", &lines{})
	ctx, conn, _ := acceptConn(t)
	require.NoError(t, conn.Close())
	require.PanicsWithValue(t, http.ErrAbortHandler, func() {
		m.callers.http.Handler.ServeHTTP(httptest.NewRecorder(), safeRequest(ctx))
	})
	require.Empty(t, m.up.requests())
}

// TestRequestsOfCallersThatHaveLeftAreNotPassedOn guards against requests that reach an
// upstream long after their callers have left: a busy processor has net/http see the close
// late.
func TestRequestsOfDisconnectedCallersAreNotForwarded(t *testing.T) {
	m := joinWithLog(t, newStore(documentOf(1, "a")), "a1", &lines{})
	ctx, _, caller := acceptConn(t)
	require.NoError(t, caller.Close())
	eventually(t, "the close is there", func() bool { return inbound.Left(ctx) })
	m.entry.ServeHTTP(httptest.NewRecorder(), safeRequest(ctx))
	require.Empty(t, m.up.requests())
}

// TestCallsOfSendersThatHaveLeftAreNotRun is the same at the guard, for a call that waited.
func TestCallsOfDisconnectedSendersAreNotRun(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		m := joinWithLog(t, newStore(documentOf(1, "a")), "a1", &lines{})
		ctx, _, sender := acceptConn(t)
		require.NoError(t, sender.Close())
		eventually(t, "the close is there", func() bool { return inbound.Left(ctx) })
		c := ordinary()
		c.Service, c.Upstream.ID, c.Idempotent = "a", "a1", idempotent
		require.Equal(t, outcome.NotRun, m.guard.Do(ctx, c).Outcome.Kind)
		require.Empty(t, m.up.requests())
	}
}
