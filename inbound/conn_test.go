package inbound

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestClosedByServer closes the connection of a request while its handler runs.
// ClosedByServer must return false before and true afterwards.
func TestClosedByServer(t *testing.T) {
	for name, start := range map[string]func(*httptest.Server){
		"plaintext": (*httptest.Server).Start,
		"TLS":       (*httptest.Server).StartTLS,
	} {
		t.Run(name, func(t *testing.T) {
			opened, closedByServer := make(chan net.Conn, 1), make(chan [2]bool, 1)
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				before := ClosedByServer(r.Context())
				_ = (<-opened).Close()
				closedByServer <- [2]bool{before, ClosedByServer(r.Context())}
			}))
			s.Listener = NewListener(s.Listener)
			s.Config.ConnContext = ConnContext
			s.Config.ConnState = func(c net.Conn, state http.ConnState) {
				if state == http.StateNew {
					opened <- c
				}
			}
			start(s)
			defer s.Close()
			resp, err := s.Client().Get(s.URL)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			require.Error(t, err)
			require.Equal(t, [2]bool{false, true}, <-closedByServer)
		})
	}
}

// acceptConn opens a connection. It returns the context of a request that arrives
// on the connection, and the client's end.
func acceptConn(t *testing.T) (context.Context, *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	client, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	server, err := NewListener(ln).Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = server.Close(), client.Close() })
	return ConnContext(t.Context(), server), client.(*net.TCPConn)
}

func TestClosedByClient(t *testing.T) {
	for name, c := range map[string]struct {
		action func(*net.TCPConn) error
		want   bool
	}{
		"open":          {func(*net.TCPConn) error { return nil }, false},
		"bytes to read": {func(c *net.TCPConn) error { _, err := c.Write([]byte("x")); return err }, false},
		"closed":        {(*net.TCPConn).Close, true},
		"reset":         {func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, client := acceptConn(t)
			require.False(t, ClosedByClient(ctx))
			require.NoError(t, c.action(client))
			if c.want {
				require.Eventually(t, func() bool { return ClosedByClient(ctx) }, time.Minute, time.Millisecond)
			} else {
				require.False(t, ClosedByClient(ctx))
			}
		})
	}
	require.False(t, ClosedByClient(t.Context()), "the context holds no connection")
}

// TestUntrackedConnectionsCountAsOpen calls ClosedByServer with a context without a
// connection, and with a context whose connection no trackingListener accepted.
func TestUntrackedConnectionsCountAsOpen(t *testing.T) {
	require.False(t, ClosedByServer(t.Context()))
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	require.False(t, ClosedByServer(ConnContext(t.Context(), a)))
}
