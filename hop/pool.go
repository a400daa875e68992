package hop

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

// PoolOptions configure a Pool.
type PoolOptions struct {
	// DialTimeout limits the time to connect. Default: 1s.
	DialTimeout time.Duration
	// IdleTimeout is the idle timeout of a connection, unless the server announces
	// another one in a Keep-Alive header. A connection is reused only during the
	// first 70% of its idle timeout. Default: 8s.
	IdleTimeout time.Duration
	// TCPUserTimeout is how long sent bytes may stay unacknowledged before the
	// connection is closed. Default: 1500ms.
	TCPUserTimeout time.Duration
	// MaxConns limits the open connections. Do fails while all of them are in use.
	// Zero means no limit.
	MaxConns int
	// OnDial, if set, is called for each new connection.
	OnDial func()
}

const (
	defaultPoolIdleTimeout = 8 * time.Second
	defaultTCPUserTimeout  = 1500 * time.Millisecond
	// keepAliveInterval is the time between TCP keep-alive probes on an idle
	// connection.
	keepAliveInterval = time.Second
	// keepAliveCount is the number of probes without a reply after which the
	// connection is closed. A dead network path is detected within two seconds.
	keepAliveCount = 2
	// idleTimeoutFraction is the part of its idle timeout during which an idle
	// connection may be reused. Near the end of the timeout the server could
	// close the connection just as a request is sent.
	idleTimeoutFraction = 0.7
	// maxCarriedIDs is the number of requests with an ID after which a connection is closed. It bounds
	// the memory for their IDs.
	maxCarriedIDs = 512
)

// Pool keeps HTTP/1.1 connections to one address. Each connection carries one
// request at a time, and each request is written to at most one connection. A
// Pool is safe for concurrent use.
type Pool struct {
	address string
	opts    PoolOptions
	dialer  net.Dialer

	mu sync.Mutex
	// idle holds the idle connections, in the order in which they became idle.
	idle []*pooledConn
	// numOpen counts the connections that are open or being opened, idle ones
	// included.
	numOpen int
	// lastConn is the number of the connection that was opened last.
	lastConn uint64
	closed   bool
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

// NewDialer returns a dialer whose connections are closed within a bounded time
// if the network path is dead. A connection with unacknowledged bytes is closed
// after userTimeout. An idle connection is closed by TCP keep-alive. The timeout
// limits the time to connect.
func NewDialer(timeout, userTimeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, conn syscall.RawConn) error {
			return conn.Control(func(fd uintptr) {
				// If the option cannot be set, only keep-alive probes detect a
				// dead path.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
		},
	}
}

// Do sends a request once and returns the complete response. The error is a
// *RequestError.
func (p *Pool) Do(ctx context.Context, r PoolRequest) (*PoolResponse, error) {
	c, err := p.get(ctx, &r)
	if err != nil {
		return nil, &RequestError{Err: err}
	}
	resp, err := c.exchange(ctx, &r)
	p.put(c, err == nil)
	return resp, err
}

// get returns an idle connection that can be reused for a request, or else a new connection. Each
// idle connection that get finds unusable is closed.
func (p *Pool) get(ctx context.Context, r *PoolRequest) (*pooledConn, error) {
	for r.MaxIdleTime >= 0 {
		c := p.popIdle(r.ID)
		if c == nil {
			break
		}
		if c.idleWithin(r.MaxIdleTime) && c.readWouldBlock() {
			c.wroteBytes = false
			return c, nil
		}
		p.discard(c)
	}
	return p.dial(ctx)
}

// popIdle removes and returns the connection that became idle last, of those that have not carried a
// request with the given ID. It returns nil if there is none.
func (p *Pool) popIdle(id string) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if id == "" || !slices.Contains(c.carried, hashID(id)) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// hashID returns the hash under which a connection remembers the ID of a request.
func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// dial opens a connection.
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
	orderly := &orderlyConn{Conn: conn}
	limiter := &headLimiter{source: orderly}
	return &pooledConn{
		conn: orderly, number: p.nextConn(), headLimiter: limiter, reader: bufio.NewReaderSize(limiter, bufferSize), idleTimeout: p.opts.IdleTimeout,
	}, nil
}

// nextConn returns the number of a new connection.
func (p *Pool) nextConn() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastConn++
	return p.lastConn
}

// reserve reports whether a connection may be opened. If so, it counts the
// connection in numOpen. At the limit it first closes the connection that has
// been idle longest. If no connection is idle then, it returns false.
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

// put returns a connection to the pool, or closes it if it cannot be reused.
// The argument ok tells whether the exchange that has just ended on the connection
// succeeded.
func (p *Pool) put(c *pooledConn, ok bool) {
	c.idleSince = time.Now()
	if !ok || !c.reusable || c.gotUnmatchedResponse || len(c.carried) >= maxCarriedIDs || c.reader.Buffered() > 0 {
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

// closeExpired closes the connections that have been idle for too long. It
// begins with p.idle[0], which has been idle longest. It stops at the first
// connection that may still be reused. The caller holds p.mu.
func (p *Pool) closeExpired() {
	n := 0
	for n < len(p.idle) && !p.idle[n].idleWithin(0) {
		p.idle[n].close()
		n++
	}
	p.idle = p.idle[n:]
	p.numOpen -= n
}

// discard closes a connection and no longer counts it in numOpen.
func (p *Pool) discard(c *pooledConn) {
	c.close()
	p.mu.Lock()
	p.numOpen--
	p.mu.Unlock()
}

// Close closes the idle connections. Connections in use are closed when their
// requests are done.
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

// pooledConn is one connection of a Pool.
type pooledConn struct {
	conn *orderlyConn
	// number is Exchange.Conn.
	number uint64
	// reader reads from headLimiter, which reads from conn.
	reader      *bufio.Reader
	headLimiter *headLimiter
	// requestCount is the number of requests sent on the connection.
	requestCount int
	// carried holds the hashes of the IDs of these requests.
	carried []uint64
	// wroteBytes is set once a byte of the current request was written.
	wroteBytes bool
	// reusable is set after a response that leaves the connection open.
	reusable bool
	// gotUnmatchedResponse is set after a response that does not belong to the
	// request.
	gotUnmatchedResponse bool
	// idleTimeout is the timeout that the server announced, or else
	// PoolOptions.IdleTimeout.
	idleTimeout time.Duration
	// idleSince is when the last exchange ended.
	idleSince time.Time
	closeOnce sync.Once
}

// close closes the connection. It may be called more than once.
func (c *pooledConn) close() { c.closeOnce.Do(func() { _ = c.conn.Close() }) }

// idleWithin reports whether the connection has been idle briefly enough to be
// reused. The limit is idleTimeoutFraction of its idle timeout. If maxIdle is
// not 0, the connection must also have been idle for at most maxIdle.
func (c *pooledConn) idleWithin(maxIdle time.Duration) bool {
	idle := time.Since(c.idleSince)
	if maxIdle > 0 && idle > maxIdle {
		return false
	}
	return idle < time.Duration(idleTimeoutFraction*float64(c.idleTimeout))
}

// readWouldBlock reports whether a read from the connection would block. A read
// does not block if the server has closed the connection or has sent anything
// since the last response.
func (c *pooledConn) readWouldBlock() bool {
	conn, ok := c.conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = err == syscall.EAGAIN
		return true
	})
	return err == nil && wouldBlock
}

// headLimiter is a reader that limits the size of a response head, that is, the
// status line and the headers. http.ReadResponse has no such limit.
type headLimiter struct {
	source  io.Reader
	limited bool
	// remaining is the number of bytes that may still be read while limited is
	// set.
	remaining int
}

// setLimit allows n more bytes to be read.
func (h *headLimiter) setLimit(n int) { h.limited, h.remaining = true, n }

// clearLimit removes the limit.
func (h *headLimiter) clearLimit() { h.limited = false }

// Read implements io.Reader. It fails with errHeadersTooLarge once the limit is
// used up.
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
