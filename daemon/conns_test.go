package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStopDoesNotWaitForUnusedConnections opens a connection without sending a
// request. http.Server.Shutdown waits 5 seconds for such a connection, which is longer
// than shutdownTimeout. connTracker.shutdown must end within shutdownTimeout.
func TestStopDoesNotWaitForUnusedConnections(t *testing.T) {
	const shutdownTimeout = 2 * time.Second
	for name, tracked := range map[string]bool{"tracked": true, "net/http alone": false} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			tracker := newConnTracker()
			s := &http.Server{Handler: http.NotFoundHandler(), ConnState: tracker.trackState}
			served := make(chan error, 1)
			go func() { served <- s.Serve(ln) }()
			conn, err := net.Dial("tcp", ln.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.Eventually(t, func() bool { return tracker.openConns() == 1 }, waitLimit, pollInterval)
			ctx, cancel := context.WithTimeout(t.Context(), shutdownTimeout)
			defer cancel()
			if tracked {
				require.NoError(t, tracker.shutdown(ctx, s))
			} else {
				require.ErrorIs(t, s.Shutdown(ctx), context.DeadlineExceeded)
				require.NoError(t, s.Close())
			}
			require.ErrorIs(t, <-served, http.ErrServerClosed)
		})
	}
}

// TestRequestsOnClosedConnectionsAreNotForwarded guards against forwarding a request
// whose caller can no longer receive a response. A server that is shutting down may close
// a connection as unused while it reads the first request from that connection.
func TestRequestsOnClosedConnectionsAreNotForwarded(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	forwarded := make(chan struct{}, 1)
	s := newServer(serverOptions{
		name: "callers", listener: ln, maxConnections: 1,
		handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { forwarded <- struct{}{} }),
	})
	originalHandler, requestRead := s.httpServer.Handler, make(chan struct{})
	s.httpServer.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(requestRead)
		require.NoError(t, s.httpServer.Close())
		originalHandler.ServeHTTP(w, r)
	})
	go func() { _ = s.Serve(t.Context()) }()
	resp, err := http.Get("http://" + ln.Addr().String())
	if err == nil {
		_ = resp.Body.Close()
	}
	require.Error(t, err)
	<-requestRead
	require.Empty(t, forwarded)
}

// TestEstablishedConnectionsAreServedAtShutdown guards against callers whose connection is reset
// although it was established before the shutdown. The kernel holds such connections until the process
// accepts them.
func TestEstablishedConnectionsAreServedAtShutdown(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := newServer(serverOptions{name: "test", listener: ln, maxConnections: 10, handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "served")
	})})
	go func() { _ = s.Serve(t.Context()) }()
	// The server accepts one connection and waits for the lock to record its state.
	s.tracker.mu.Lock()
	var conns []net.Conn
	for range 4 {
		conn, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	done := make(chan error, 1)
	go func() { done <- s.shutdown(t.Context()) }()
	time.Sleep(10 * time.Millisecond)
	s.tracker.mu.Unlock()
	for _, conn := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	require.NoError(t, <-done)
}
