package hop

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// PoolOptions configure a Pool.
type PoolOptions struct {
	// DialTimeout bounds connecting. Default: 1s.
	DialTimeout time.Duration
	// IdleTimeout closes kept connections that were idle for so long, where the
	// other side states nothing shorter. Default: 8s.
	IdleTimeout time.Duration
	// TCPUserTimeout is how long sent bytes may stay without acknowledgement before
	// the connection counts as lost. Default: 1500ms.
	TCPUserTimeout time.Duration
	// MaxConns bounds the open connections. Zero means no bound.
	MaxConns int
	// OnDial, if set, is called for each new connection.
	OnDial func()
}

const (
	defaultPoolIdleTimeout = 8 * time.Second
	defaultTCPUserTimeout  = 1500 * time.Millisecond
	// keepAliveInterval is the time between probes of a connection that carries
	// nothing, and keepAliveCount how many may go unanswered. A link that has
	// gone silent is known within two seconds.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// idleTimeoutFraction is the share of the other side's stated idle timeout that is
	// used, so that a request does not cross its close.
	idleTimeoutFraction = 0.7
)

// Pool keeps HTTP/1.1 connections to one address. A connection serves one
// exchange at a time, and a request is written to at most one connection. It is
// safe for concurrent use.
type Pool struct {
	address string
	opts    PoolOptions
	dialer  net.Dialer

	mu      sync.Mutex
	idle    []*pooledConn
	numOpen int
	closed  bool
}

// NewPool returns a Pool without connections.
func NewPool(address string, o PoolOptions) *Pool {
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultPoolIdleTimeout
	}
	if o.TCPUserTimeout <= 0 {
		o.TCPUserTimeout = defaultTCPUserTimeout
	}
	return &Pool{address: address, opts: o, dialer: NewDialer(o.DialTimeout, o.TCPUserTimeout)}
}

// NewDialer returns a dialer whose connections notice within a bounded time that
// the link has gone silent.
func NewDialer(timeout, userTimeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, conn syscall.RawConn) error {
			return conn.Control(func(fd uintptr) {
				// Without the option only keep-alive probes find the silence.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
		},
	}
}

// Do sends an exchange once and returns the whole response. The error is a
// *RequestError.
func (p *Pool) Do(ctx context.Context, r PoolRequest) (*PoolResponse, error) {
	c, err := p.get(ctx, r.MaxIdleTime)
	if err != nil {
		return nil, &RequestError{Err: err}
	}
	resp, err := c.exchange(ctx, &r)
	p.put(c, err == nil)
	return resp, err
}

// get returns a kept connection that is quiet, or a new one.
func (p *Pool) get(ctx context.Context, maxIdle time.Duration) (*pooledConn, error) {
	for maxIdle >= 0 {
		c := p.popIdle()
		if c == nil {
			break
		}
		if c.idleWithin(maxIdle) && c.noUnreadData() {
			c.wroteBytes = false
			return c, nil
		}
		p.discard(c)
	}
	return p.dial(ctx)
}

func (p *Pool) popIdle() *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) dial(ctx context.Context) (*pooledConn, error) {
	if !p.reserve() {
		return nil, errPoolFull
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.mu.Lock()
		p.numOpen--
		p.mu.Unlock()
		return nil, err
	}
	if p.opts.OnDial != nil {
		p.opts.OnDial()
	}
	limiter := &headLimiter{source: conn}
	return &pooledConn{conn: conn, headLimit: limiter, reader: bufio.NewReaderSize(limiter, bufferSize), idleTimeout: p.opts.IdleTimeout}, nil
}

// reserve counts a connection about to be opened. It makes room by closing a
// kept one.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.opts.MaxConns > 0 && p.numOpen >= p.opts.MaxConns {
		if len(p.idle) == 0 {
			return false
		}
		p.idle[0].close()
		p.idle = p.idle[1:]
		p.numOpen--
	}
	p.numOpen++
	return true
}

// put keeps a connection that can serve again and closes any other.
func (p *Pool) put(c *pooledConn, ok bool) {
	c.idleSince = time.Now()
	if !ok || !c.reusable || c.unmatched || c.reader.Buffered() > 0 {
		p.discard(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		p.numOpen--
		return
	}
	p.idle = append(p.idle, c)
	p.closeExpired()
}

// closeExpired closes the kept connections that have been idle for too long. The
// oldest come first. p.mu is held.
func (p *Pool) closeExpired() {
	n := 0
	for n < len(p.idle) && !p.idle[n].idleWithin(0) {
		p.idle[n].close()
		n++
	}
	p.idle = p.idle[n:]
	p.numOpen -= n
}

func (p *Pool) discard(c *pooledConn) {
	c.close()
	p.mu.Lock()
	p.numOpen--
	p.mu.Unlock()
}

// Close closes the kept connections, and the others once they are done.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.numOpen -= len(p.idle)
	p.idle = nil
}

// pooledConn is one connection.
type pooledConn struct {
	conn net.Conn
	// reader reads from heads.
	reader    *bufio.Reader
	headLimit *headLimiter
	// requests counts the exchanges; written tells that the present one has sent
	// bytes.
	requests   int
	wroteBytes bool
	// reusable is set by a response that leaves the connection open, strayed by
	// one that belonged to no request.
	reusable    bool
	unmatched   bool
	idleTimeout time.Duration
	idleSince   time.Time
	closeOnce   sync.Once
}

func (c *pooledConn) close() { c.closeOnce.Do(func() { _ = c.conn.Close() }) }

// idleWithin reports whether the connection has been idle for less than allowed.
func (c *pooledConn) idleWithin(maxIdle time.Duration) bool {
	idle := time.Since(c.idleSince)
	if maxIdle > 0 && idle > maxIdle {
		return false
	}
	return idle < time.Duration(idleTimeoutFraction*float64(c.idleTimeout))
}

// noUnreadData reports whether the other side has neither closed the connection nor
// sent anything on it since the last response.
func (c *pooledConn) noUnreadData() bool {
	conn, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = err == syscall.EAGAIN
		return true
	})
	return err == nil && noData
}

// headLimiter bounds the bytes of a response head, which net/http reads without a bound.
type headLimiter struct {
	source    io.Reader
	limited   bool
	remaining int
}

// setLimit lets so many bytes more be read; lift ends that.
func (h *headLimiter) setLimit(n int) { h.limited, h.remaining = true, n }
func (h *headLimiter) clearLimit()    { h.limited = false }

// Read implements io.Reader.
func (h *headLimiter) Read(p []byte) (int, error) {
	if !h.limited {
		return h.source.Read(p)
	}
	if h.remaining <= 0 {
		return 0, errHeadersTooLarge
	}
	n, err := h.source.Read(p[:min(len(p), h.remaining)])
	h.remaining -= n
	return n, err
}
