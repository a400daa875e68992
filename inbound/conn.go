package inbound

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// trackedConn is a TCP connection that records whether the server has closed
// it.
type trackedConn struct {
	*net.TCPConn
	acceptedAt     time.Time
	closedByServer atomic.Bool
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.closedByServer.Store(true)
	return c.TCPConn.Close()
}

// Listener is a listener whose connections ClosedByServer and ClosedByClient can
// check. Unlike Close, Stop loses no connection that is established already.
type Listener struct {
	net.Listener
	closeOnce sync.Once
	// stopping is closed by Stop, and closed by Close.
	stopping, closed chan struct{}
}

// NewListener returns a Listener that accepts the connections of l.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, stopping: make(chan struct{}), closed: make(chan struct{})}
}

const (
	// lastAcceptTimeout is how long no connection may arrive before a stopping
	// Listener is closed.
	lastAcceptTimeout = 2 * time.Millisecond
	// maxStopTime bounds the time that Stop takes while connections keep arriving
	// or the server accepts none.
	maxStopTime = 100 * time.Millisecond
)

// Accept implements net.Listener. After Stop, it returns the connections that the
// kernel holds for the process. Then it closes the listener and returns
// net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return &trackedConn{TCPConn: tcp, acceptedAt: time.Now()}, nil
	}
	return c, nil
}

func (l *Listener) accept() (net.Conn, error) {
	select {
	case <-l.stopping:
		return l.acceptLast()
	default:
	}
	c, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return l.acceptLast()
	}
	return c, err
}

// acceptLast accepts a connection that is established or arrives within
// lastAcceptTimeout. If there is none, it closes the listener.
func (l *Listener) acceptLast() (net.Conn, error) {
	// Stop may set its deadline during the first try, which then ends without looking.
	for range 2 {
		l.setDeadline(time.Now().Add(lastAcceptTimeout))
		if c, err := l.Listener.Accept(); err == nil {
			return c, nil
		}
	}
	_ = l.Close()
	return nil, net.ErrClosed
}

// Close closes the listener. The error is nil if it is closed already, as after Stop.
func (l *Listener) Close() (err error) {
	l.closeOnce.Do(func() {
		err = l.Listener.Close()
		close(l.closed)
	})
	return err
}

// setDeadline sets the time after which Accept fails, if the listener has one.
func (l *Listener) setDeadline(t time.Time) {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = d.SetDeadline(t)
	}
}

// Stop has Accept return the connections that are established already, and then
// closes the listener. It returns once the listener is closed, after maxStopTime at
// the latest. It must be called at most once, and only if Accept is called.
func (l *Listener) Stop() {
	close(l.stopping)
	l.setDeadline(time.Now())
	timer := time.NewTimer(maxStopTime)
	defer timer.Stop()
	select {
	case <-l.closed:
	case <-timer.C:
		_ = l.Close()
	}
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

// AcceptedAt returns when the connection of the request with the given context was
// accepted. It returns the zero time for a connection that no listener of
// NewListener accepted.
func AcceptedAt(ctx context.Context) time.Time {
	c, ok := ctx.Value(connKey{}).(*trackedConn)
	if !ok {
		return time.Time{}
	}
	return c.acceptedAt
}

// HasUnreadBytes reports whether the kernel holds bytes of a connection that the
// process has not read. It returns false for a connection that no listener of
// NewListener accepted.
func HasUnreadBytes(c net.Conn) bool {
	if tlsConn, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = tlsConn.NetConn()
	}
	tracked, ok := c.(*trackedConn)
	if !ok {
		return false
	}
	raw, err := tracked.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	_ = raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return unread > 0
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
