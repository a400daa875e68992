package inbound

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
)

// trackedConn is a connection that tells whether this side has closed it.
type trackedConn struct {
	*net.TCPConn
	closedByServer atomic.Bool
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.closedByServer.Store(true)
	return c.TCPConn.Close()
}

// NewListener returns a listener whose connections tell whether they have been closed.
func NewListener(l net.Listener) net.Listener { return trackingListener{l} }

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

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext is the ConnContext of an http.Server that serves a NewListener, with TLS or without.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if tlsConn, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = tlsConn.NetConn()
	}
	return context.WithValue(ctx, connKey{}, c)
}

// ClosedByServer reports whether this side has closed the connection of a request whose context is
// given. net/http itself does so only after the handler.
func ClosedByServer(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*trackedConn)
	return ok && c.closedByServer.Load()
}

// ClosedByClient reports whether the other side has closed the connection of a request whose context
// is given. net/http ends the context once a goroutine of its own has read that, which takes
// long where the processor is busy.
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
