package hop

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// Options configure a Client.
type Options struct {
	// MaxConns limits the connections to one address. An attempt waits while all
	// of them are in use. Default: 256.
	MaxConns int
	// MaxIdleConns limits the idle connections to one address. Default: 32.
	MaxIdleConns int
	// IdleTimeout is how long an idle connection is kept. It should be shorter
	// than the idle timeout of the server. Default: 30s.
	IdleTimeout time.Duration
	// Dial connects to an address and does the TLS handshake, if any. Default:
	// plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout limits the time to connect with the default Dial. It has no
	// effect if Dial is set. Default: 1s.
	DialTimeout time.Duration
	// MaxHeaderBytes limits the size of the headers of one response. The attempt
	// fails if they are larger. Default: 64 KiB.
	MaxHeaderBytes int64
}

const (
	defaultMaxConns       = 256
	defaultMaxIdleConns   = 32
	defaultIdleTimeout    = 30 * time.Second
	defaultDialTimeout    = time.Second
	defaultMaxHeaderBytes = 64 << 10
	// bufferSize is the size in bytes of a buffer for reading from or writing to
	// a connection.
	bufferSize = 4 << 10
)

// Client sends attempts to any number of addresses. An attempt is one try to
// execute a request. A Client is safe for concurrent use.
type Client struct {
	transport *Transport
	// unprotected turns off the protection against retries by the Transport and
	// the protection against unsolicited responses. Only tests set it. They
	// show that the Transport then sends some attempts twice and delivers some
	// responses to the wrong attempt.
	unprotected bool
}

// NewClient returns a Client.
func NewClient(o Options) *Client {
	o = o.withDefaults()
	t := &http.Transport{
		Proxy: nil,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := o.Dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: &orderlyConn{Conn: conn}}, nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        o.MaxConns,
		MaxIdleConnsPerHost:    o.MaxIdleConns,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: o.MaxHeaderBytes,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
	}
	return &Client{transport: &Transport{base: t}}
}

func (o Options) withDefaults() Options {
	if o.MaxConns <= 0 {
		o.MaxConns = defaultMaxConns
	}
	if o.MaxIdleConns <= 0 {
		o.MaxIdleConns = defaultMaxIdleConns
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	if o.MaxHeaderBytes <= 0 {
		o.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	return o
}

// Request is one attempt that a Client sends.
type Request struct {
	// Address is the host:port of the server.
	Address string
	Method  string
	// Target is the request target in origin form.
	Target string
	Host   string
	Header http.Header
	// Body is nil for a request without a body.
	Body          io.Reader
	ContentLength int64
}

// ErrMethod is returned for methods that are not forwarded: CONNECT, which asks
// for a tunnel, and TRACE, which echoes the request that the server received.
var ErrMethod = errors.New("method is not forwarded")

// Do sends the attempt once. On success it returns the response and the outcome
// Answered; the caller must close the response body. On failure the outcome is
// NotRun if no byte of the attempt was written, and Unknown otherwise.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, outcome.Outcome, error) {
	target, err := url.ParseRequestURI(r.Target)
	if err != nil {
		return nil, outcome.NotRunBecause(outcome.ReasonBadRequest), err
	}
	if r.Method == http.MethodTrace || r.Method == http.MethodConnect {
		return nil, outcome.NotRunBecause(outcome.ReasonBadRequest), ErrMethod
	}
	target.Scheme = "http"
	target.Host = r.Address
	attempt := attemptConn{unprotected: c.unprotected}
	req := &http.Request{
		Method:        r.Method,
		URL:           target,
		Host:          r.Host,
		Header:        r.Header,
		ContentLength: r.ContentLength,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if c.unprotected {
		setReplayable(req, r.Body)
	} else {
		setNotReplayable(req, r.Body)
	}
	resp, err := c.transport.roundTrip(ctx, req, attempt.gotConn)
	if err != nil {
		return nil, attempt.outcomeOf(err), err
	}
	if attempt.responseIsUnsolicited() {
		_ = resp.Body.Close()
		return nil, outcome.NotRunBecause(outcome.ReasonConnectionLost), errUnsolicited
	}
	return resp, outcome.ResponseComplete(), nil
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// attemptConn records which connection the Transport uses for one attempt.
type attemptConn struct {
	conn atomic.Pointer[countingConn]
	// writtenBefore is the number of bytes written to conn before the attempt.
	writtenBefore atomic.Int64
	// unprotected is a copy of Client.unprotected.
	unprotected bool
}

// gotConn implements httptrace.ClientTrace.GotConn.
func (a *attemptConn) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	a.writtenBefore.Store(conn.beginAttempt(info.Reused && !a.unprotected))
	a.conn.Store(conn)
}

// responseIsUnsolicited reports whether a response arrived although no byte of
// the attempt was written. Such a response does not belong to the attempt. If
// there is one, the method also seals the connection.
func (a *attemptConn) responseIsUnsolicited() bool {
	conn := a.conn.Load()
	return conn != nil && !a.unprotected && conn.sealIfUnsent(a.writtenBefore.Load())
}

// outcomeOf returns the outcome of an attempt that failed with err.
func (a *attemptConn) outcomeOf(err error) outcome.Outcome {
	reason := reasonOf(err)
	conn := a.conn.Load()
	if conn == nil {
		if reason == outcome.ReasonConnectionLost {
			reason = outcome.ReasonConnect
		}
		return outcome.NotRunBecause(reason)
	}
	if conn.sealIfUnsent(a.writtenBefore.Load()) {
		return outcome.NotRunBecause(reason)
	}
	return outcome.UnknownBecause(reason)
}

// reasonOf returns the outcome reason for an error of the Transport.
func reasonOf(err error) outcome.Reason {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return outcome.ReasonDeadline
	case errors.Is(err, context.Canceled):
		return outcome.ReasonCancelled
	default:
		return outcome.ReasonConnectionLost
	}
}
