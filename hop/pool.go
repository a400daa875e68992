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
	defaultPoolIdle = 8 * time.Second
	defaultSilence  = 1500 * time.Millisecond
	// keepAliveEvery is the time between probes of a connection that carries
	// nothing, and keepAliveCount how many may go unanswered. A link that has
	// gone silent is known within two seconds.
	keepAliveEvery = time.Second
	keepAliveCount = 2
	// idleMargin is the share of the other side's stated idle timeout that is
	// used, so that a request does not cross its close.
	idleMargin = 0.7
)

// Pool keeps HTTP/1.1 connections to one address. A connection serves one
// exchange at a time, and a request is written to at most one connection. It is
// safe for concurrent use.
type Pool struct {
	address string
	opts    PoolOptions
	dialer  net.Dialer

	mu     sync.Mutex
	idle   []*link
	open   int
	closed bool
}

// NewPool returns a Pool without connections.
func NewPool(address string, o PoolOptions) *Pool {
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultPoolIdle
	}
	if o.TCPUserTimeout <= 0 {
		o.TCPUserTimeout = defaultSilence
	}
	return &Pool{address: address, opts: o, dialer: Dialer(o.DialTimeout, o.TCPUserTimeout)}
}

// Dialer returns a dialer whose connections notice within a bounded time that
// the link has gone silent.
func Dialer(timeout, silence time.Duration) net.Dialer {
	return net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveEvery, Interval: keepAliveEvery, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without the option only keep-alive probes find the silence.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			})
		},
	}
}

// Do sends an exchange once and returns the whole response. The error is a
// *RequestError.
func (p *Pool) Do(ctx context.Context, x PoolRequest) (*PoolResponse, error) {
	l, err := p.take(ctx, x.MaxIdleTime)
	if err != nil {
		return nil, &RequestError{Err: err}
	}
	reply, err := l.exchange(ctx, &x)
	p.put(l, err == nil)
	return reply, err
}

// take returns a kept connection that is quiet, or a new one.
func (p *Pool) take(ctx context.Context, maxIdle time.Duration) (*link, error) {
	for maxIdle >= 0 {
		l := p.pop()
		if l == nil {
			break
		}
		if l.fresh(maxIdle) && l.quiet() {
			l.written = false
			return l, nil
		}
		p.drop(l)
	}
	return p.dial(ctx)
}

func (p *Pool) pop() *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	l := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return l
}

func (p *Pool) dial(ctx context.Context) (*link, error) {
	if !p.reserve() {
		return nil, errFull
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	if p.opts.OnDial != nil {
		p.opts.OnDial()
	}
	heads := &headReader{from: conn}
	return &link{conn: conn, heads: heads, reader: bufio.NewReaderSize(heads, bufferBytes), idleLimit: p.opts.IdleTimeout}, nil
}

// reserve counts a connection about to be opened. It makes room by closing a
// kept one.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.opts.MaxConns > 0 && p.open >= p.opts.MaxConns {
		if len(p.idle) == 0 {
			return false
		}
		p.idle[0].close()
		p.idle = p.idle[1:]
		p.open--
	}
	p.open++
	return true
}

// put keeps a connection that can serve again and closes any other.
func (p *Pool) put(l *link, ok bool) {
	l.since = time.Now()
	if !ok || !l.reusable || l.strayed || l.reader.Buffered() > 0 {
		p.drop(l)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		l.close()
		p.open--
		return
	}
	p.idle = append(p.idle, l)
	p.sweep()
}

// sweep closes the kept connections that have been idle for too long. The
// oldest come first. p.mu is held.
func (p *Pool) sweep() {
	n := 0
	for n < len(p.idle) && !p.idle[n].fresh(0) {
		p.idle[n].close()
		n++
	}
	p.idle = p.idle[n:]
	p.open -= n
}

func (p *Pool) drop(l *link) {
	l.close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Close closes the kept connections, and the others once they are done.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.idle {
		l.close()
	}
	p.open -= len(p.idle)
	p.idle = nil
}

// link is one connection.
type link struct {
	conn net.Conn
	// reader reads from heads.
	reader *bufio.Reader
	heads  *headReader
	// uses counts the exchanges; written tells that the present one has sent
	// bytes.
	uses    int
	written bool
	// reusable is set by a response that leaves the connection open, strayed by
	// one that belonged to no request.
	reusable  bool
	strayed   bool
	idleLimit time.Duration
	since     time.Time
	once      sync.Once
}

func (l *link) close() { l.once.Do(func() { _ = l.conn.Close() }) }

// fresh reports whether the connection has been idle for less than allowed.
func (l *link) fresh(maxIdle time.Duration) bool {
	idle := time.Since(l.since)
	if maxIdle > 0 && idle > maxIdle {
		return false
	}
	return idle < time.Duration(idleMargin*float64(l.idleLimit))
}

// quiet reports whether the other side has neither closed the connection nor
// sent anything on it since the last response.
func (l *link) quiet() bool {
	sc, ok := l.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// headReader bounds the bytes of a response head, which net/http reads without a bound.
type headReader struct {
	from    io.Reader
	bounded bool
	left    int
}

// bound lets so many bytes more be read; lift ends that.
func (h *headReader) bound(n int) { h.bounded, h.left = true, n }
func (h *headReader) lift()       { h.bounded = false }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.bounded {
		return h.from.Read(p)
	}
	if h.left <= 0 {
		return 0, errHeaders
	}
	n, err := h.from.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}
