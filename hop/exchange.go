package hop

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// PoolRequest is one request whose body is at hand, and the conditions under which
// an answer to it counts.
type PoolRequest struct {
	Method string
	// Target is the request target in origin form, sent byte for byte.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdleTime is how long a kept connection may have been idle to be used. Zero
	// means that any kept connection will do; negative asks for a new one.
	MaxIdleTime time.Duration
	// Accept reports whether a response belongs to this request. Others are read
	// to their end and passed over. Nil accepts any.
	Accept func(*http.Response) bool
	// OnInformational, if set, is called for each informational response.
	OnInformational func()
}

// PoolResponse is a whole response.
type PoolResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// RequestError tells how far an exchange without a whole response had come.
type RequestError struct {
	// Sent tells that bytes of the request may have reached the other side.
	Sent bool
	// ResponseStarted tells that a response to the request had begun.
	ResponseStarted bool
	// Reused tells that the connection had served a request before.
	Reused bool
	Err    error
}

// Error tells how far the exchange had come, and the cause.
func (e *RequestError) Error() string {
	switch {
	case e.ResponseStarted:
		return fmt.Sprintf("response broke off: %v", e.Err)
	case e.Sent:
		return fmt.Sprintf("no response: %v", e.Err)
	default:
		return fmt.Sprintf("not sent: %v", e.Err)
	}
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

const (
	// maxResponseBody bounds a response body held in memory, in bytes.
	maxResponseBody = 16 << 20
	// maxUnmatched is how many responses to other requests are passed over before a
	// connection is given up.
	maxUnmatched = 3
	// maxInlineBody is the largest body written before the response is waited for,
	// in bytes. A larger one is written beside it, so that a response that comes
	// early is seen.
	maxInlineBody = 2 << 10
)

var (
	errPoolFull           = errors.New("all connections are in use")
	errNoMatchingResponse = errors.New("responses belong to other requests")
	errBodyTooLarge       = errors.New("response is too large")
	errHeadersTooLarge    = errors.New("response headers are too large")
)

// encodeHead returns the request line and headers.
func (r *PoolRequest) encodeHead() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// exchange sends a request on a connection and reads its response.
func (c *pooledConn) exchange(ctx context.Context, r *PoolRequest) (*PoolResponse, error) {
	stop := context.AfterFunc(ctx, func() { c.close() })
	defer stop()
	failure := &RequestError{Reused: c.requests > 0}
	c.requests++
	written, err := c.send(r)
	failure.Sent = c.wroteBytes
	if err != nil {
		return nil, failure.withCause(ctx, err)
	}
	resp, err := c.receive(r, failure)
	if err != nil {
		return nil, failure.withCause(ctx, err)
	}
	select {
	case err = <-written:
		c.reusable = c.reusable && err == nil
	default:
		// The response came before the body was in.
		c.reusable = false
	}
	if !stop() {
		c.reusable = false
	}
	return resp, nil
}

func (e *RequestError) withCause(ctx context.Context, err error) error {
	e.Err = err
	if ctx.Err() != nil {
		e.Err = ctx.Err()
	}
	return e
}

// send writes the request. The channel yields one value when it is all written.
func (c *pooledConn) send(r *PoolRequest) (<-chan error, error) {
	written := make(chan error, 1)
	head := r.encodeHead()
	if len(r.Body) <= maxInlineBody {
		err := c.write(append(head, r.Body...))
		written <- err
		return written, err
	}
	if err := c.write(head); err != nil {
		return written, err
	}
	go func() {
		_, err := c.conn.Write(r.Body)
		written <- err
	}()
	return written, nil
}

func (c *pooledConn) write(p []byte) error {
	n, err := c.conn.Write(p)
	c.wroteBytes = c.wroteBytes || n > 0
	return err
}

// receive reads responses until one belongs to the request.
func (c *pooledConn) receive(r *PoolRequest, failure *RequestError) (*PoolResponse, error) {
	for range maxUnmatched {
		resp, err := c.readResponse(r)
		if err != nil {
			return nil, err
		}
		matches := r.Accept == nil || r.Accept(resp)
		failure.ResponseStarted = matches
		body, err := readBody(resp)
		if err != nil {
			return nil, err
		}
		c.updateReuse(resp)
		if matches {
			return &PoolResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
		}
		c.unmatched = true
		if !c.reusable {
			break
		}
	}
	return nil, errNoMatchingResponse
}

// readResponse reads the head of the next final response.
func (c *pooledConn) readResponse(r *PoolRequest) (*http.Response, error) {
	defer c.headLimit.clearLimit()
	for {
		c.headLimit.setLimit(defaultMaxHeaderBytes)
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols || resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if r.OnInformational != nil {
			r.OnInformational()
		}
	}
}

func readBody(resp *http.Response) ([]byte, error) {
	defer func() { _ = resp.Body.Close() }()
	var buf bytes.Buffer
	if n := resp.ContentLength; n > 0 && n <= maxResponseBody {
		buf.Grow(int(n))
	}
	if _, err := io.Copy(&buf, io.LimitReader(resp.Body, maxResponseBody+1)); err != nil {
		return nil, err
	}
	if buf.Len() > maxResponseBody {
		return nil, errBodyTooLarge
	}
	return buf.Bytes(), nil
}

// updateReuse notes whether and how long the connection can serve again.
func (c *pooledConn) updateReuse(resp *http.Response) {
	endsWithClose := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	c.reusable = !resp.Close && !endsWithClose && resp.StatusCode != http.StatusSwitchingProtocols
	if timeout, ok := parseKeepAlive(resp.Header.Get("Keep-Alive")); ok {
		c.idleTimeout = timeout
	}
}

// parseKeepAlive returns the timeout that a Keep-Alive header states.
func parseKeepAlive(header string) (time.Duration, bool) {
	for _, field := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n >= 0 {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}
