package inbound

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
)

// trackedConn is a TCP connection that records whether the server has closed
// it.
type trackedConn struct {
	*net.TCPConn
	closedByServer atomic.Bool
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.closedByServer.Store(true)
	return c.TCPConn.Close()
}

// NewListener returns a listener whose connections ClosedByServer and
// ClosedByClient can check.
func NewListener(l net.Listener) net.Listener { return trackingListener{l} }

// trackingListener wraps each accepted TCP connection in a trackedConn.
type trackingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return &trackedConn{TCPConn: tcp}, nil
	}
	return c, nil
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// ConnContext stores the connection of a request in the context of the request.
// It is to be used as the ConnContext of an http.Server whose listener is made
// by NewListener, with or without TLS.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if tlsConn, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = tlsConn.NetConn()
	}
	return context.WithValue(ctx, connKey{}, c)
}

// ClosedByServer reports whether the server has closed the connection of the
// request with the given context. It returns false for a connection that no
// listener of NewListener accepted. net/http itself reports the close only after
// the handler has returned.
func ClosedByServer(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*trackedConn)
	return ok && c.closedByServer.Load()
}

// ClosedByClient reports whether the client has closed the connection of the
// request with the given context. It returns false for a connection that no
// listener of NewListener accepted, and true if the state of the connection cannot
// be read. net/http cancels the context only after one of its goroutines has read
// the close, which takes long on a busy processor.
func ClosedByClient(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*trackedConn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err == nil {
			closed = n == 0
		} else {
			closed = err != syscall.EAGAIN && err != syscall.EINTR
		}
	})
	return closed || err != nil
}
