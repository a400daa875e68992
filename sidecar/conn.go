package sidecar

import (
	"context"
	"net"
	"sync/atomic"
)

// serverConn is a connection of a server that tells whether this side has closed it.
type serverConn struct {
	*net.TCPConn
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	c.closed.Store(true)
	return c.TCPConn.Close()
}

// connListener accepts connections as serverConn.
type connListener struct{ net.Listener }

// Accept implements net.Listener.
func (l connListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return &serverConn{TCPConn: tcp}, nil
	}
	return c, nil
}

// connKey is the key of a request's serverConn in its context.
type connKey struct{}

// withConn is the ConnContext of a server.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connClosed reports whether this side has closed the connection of a request whose
// context is given. While the request is in hand only the end of the server and the idle
// timer do so.
func connClosed(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*serverConn)
	return ok && c.closed.Load()
}
