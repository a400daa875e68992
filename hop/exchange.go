package hop

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// PoolRequest is one request with its body in memory.
type PoolRequest struct {
	Method string
	// Target is the request target in origin form, sent byte for byte.
	Target string
	Host   string
	// Header holds the headers. Their names are sent as spelled. The Pool itself
	// adds Host and, where it is needed, Content-Length.
	Header http.Header
	Body   []byte
	// ID identifies the request in its responses, empty if nothing does. A connection carries at most one
	// request with the same ID, so that a late copy of the response to one is not taken for the response
	// to another.
	ID string
	// MaxIdleTime limits how long the connection used for the request may have
	// been idle. With zero, only the connection's idle timeout limits it. A negative
	// value requires a new connection.
	MaxIdleTime time.Duration
	// Accept reports whether a response belongs to this request. Other
	// responses are read and discarded. Nil accepts every response.
	Accept func(*http.Response) bool
	// CloseAfter, if set, reports whether the connection must not carry another request
	// after a response that belongs to this request.
	CloseAfter func(*http.Response) bool
	// OnInformational, if set, is called for each informational (1xx) response.
	OnInformational func()
	// MaxResponseBytes limits the response body, in bytes. Default: 16 MiB.
	MaxResponseBytes int64
	// Memory, if set, limits the memory for the response body.
	Memory Memory
}

// PoolResponse is a complete response.
type PoolResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// Exchange tells where the response was read.
	Exchange Exchange
}

// Exchange identifies the use of a connection by one request. It is zero if the request got no
// connection.
type Exchange struct {
	// Conn is the number of the connection in its Pool, from 1.
	Conn uint64
	// Index is the number of the request on the connection, from 1.
	Index int
	// Unmatched is the number of responses that were discarded, because they belong to other requests.
	Unmatched int
}

// RequestError is the error of a request that got no complete response. Sent
// and ResponseStarted tell how far the exchange came.
type RequestError struct {
	// Sent is set if the server may have received bytes of the request.
	Sent bool
	// ResponseStarted is set if the headers of the response were received.
	ResponseStarted bool
	// Reused is set if the connection had carried a request before.
	Reused bool
	// Exchange tells which connection was used.
	Exchange Exchange
	// Err is the cause.
	Err error
}

// Error tells how far the exchange came, and gives the cause.
func (e *RequestError) Error() string {
	switch {
	case e.ResponseStarted:
		return fmt.Sprintf("incomplete response: %v", e.Err)
	case e.Sent:
		return fmt.Sprintf("no response: %v", e.Err)
	default:
		return fmt.Sprintf("not sent: %v", e.Err)
	}
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

const (
	// maxUnmatchedResponses is the number of responses to other requests that are
	// discarded before the connection is closed.
	maxUnmatchedResponses = 3
	// maxInlineBodyBytes is the size, in bytes, of the largest body that is written
	// before the response is read. A larger body is written while the response
	// is read, so that a response that arrives early is noticed.
	maxInlineBodyBytes = 2 << 10
)

var (
	errPoolFull           = errors.New("all connections are in use")
	errNoMatchingResponse = errors.New("connection delivered only responses to other requests")
	errHeadersTooLarge    = errors.New("response headers are too large")
)

// encodeHead returns the request line and the headers. It adds Content-Length if the
// request has a body or if the method expects one (POST, PUT or PATCH).
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

// exchange sends a request and reads its response. The error is a
// *RequestError.
func (c *pooledConn) exchange(ctx context.Context, r *PoolRequest) (*PoolResponse, error) {
	stop := context.AfterFunc(ctx, func() { c.close() })
	defer stop()
	failure := &RequestError{Reused: c.requestCount > 0}
	c.requestCount++
	failure.Exchange = Exchange{Conn: c.number, Index: c.requestCount}
	if r.ID != "" {
		c.carried = append(c.carried, hashID(r.ID))
	}
	writeDone, err := c.send(r)
	failure.Sent = c.wroteBytes
	if err != nil {
		return nil, failure.withCause(ctx, err)
	}
	resp, err := c.receive(r, failure)
	if err != nil {
		return nil, failure.withCause(ctx, err)
	}
	select {
	case err = <-writeDone:
		c.reusable = c.reusable && err == nil
	default:
		// The response arrived before the whole body was written.
		c.reusable = false
	}
	if !stop() {
		// The context has ended, so the function passed to AfterFunc closes the
		// connection.
		c.reusable = false
	}
	return resp, nil
}

// withCause sets the cause and returns e. The cause is the error of the context
// if the context has ended, and err otherwise.
func (e *RequestError) withCause(ctx context.Context, err error) error {
	e.Err = err
	if ctx.Err() != nil {
		e.Err = ctx.Err()
	}
	return e
}

// send writes the request. It writes a body larger than maxInlineBodyBytes in the
// background. The channel receives the result of writing the body: nil when the
// whole request is written, or an error. The error that send returns concerns only
// the writes that it does before it returns.
func (c *pooledConn) send(r *PoolRequest) (<-chan error, error) {
	writeDone := make(chan error, 1)
	head := r.encodeHead()
	if len(r.Body) <= maxInlineBodyBytes {
		err := c.write(append(head, r.Body...))
		writeDone <- err
		return writeDone, err
	}
	if err := c.write(head); err != nil {
		return writeDone, err
	}
	go func() {
		_, err := c.conn.Write(r.Body)
		writeDone <- err
	}()
	return writeDone, nil
}

// write writes to the connection and records whether any byte was written.
func (c *pooledConn) write(p []byte) error {
	n, err := c.conn.Write(p)
	c.wroteBytes = c.wroteBytes || n > 0
	return err
}

// receive reads responses until one belongs to the request, and returns that
// one. It sets failure.ResponseStarted once the headers of that response are
// received, and counts the other responses in failure.Exchange.
func (c *pooledConn) receive(r *PoolRequest, failure *RequestError) (*PoolResponse, error) {
	for range maxUnmatchedResponses {
		resp, err := c.readResponse(r)
		if err != nil {
			return nil, err
		}
		matches := r.Accept == nil || r.Accept(resp)
		failure.ResponseStarted = matches
		var body []byte
		if matches {
			body, err = r.readBody(resp)
		} else {
			err = discardBody(resp)
		}
		if err != nil {
			return nil, err
		}
		c.updateReuse(resp)
		if matches {
			c.reusable = c.reusable && (r.CloseAfter == nil || !r.CloseAfter(resp))
			return &PoolResponse{Status: resp.StatusCode, Header: resp.Header, Body: body, Exchange: failure.Exchange}, nil
		}
		c.gotUnmatchedResponse = true
		failure.Exchange.Unmatched++
		if !c.reusable {
			break
		}
	}
	return nil, errNoMatchingResponse
}

// readResponse reads the status line and the headers of the next final response. For
// each earlier informational (1xx) response it calls r.OnInformational. The heads of all
// of them together are limited in size. If one of them is invalid, the response is.
func (c *pooledConn) readResponse(r *PoolRequest) (*http.Response, error) {
	c.headLimiter.setLimit(defaultMaxHeaderBytes)
	defer c.headLimiter.clearLimit()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err == nil {
			err = checkHead(resp)
		}
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		case resp.StatusCode == http.StatusSwitchingProtocols:
			// No request asks to switch protocols.
			return nil, &InvalidHeadError{Part: "status", Value: resp.Status}
		}
		if r.OnInformational != nil {
			r.OnInformational()
		}
	}
}

// updateReuse derives from a response whether the connection can be reused, and
// for how long it may stay idle.
func (c *pooledConn) updateReuse(resp *http.Response) {
	bodyEndsAtClose := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	c.reusable = !resp.Close && !bodyEndsAtClose
	if timeout, ok := parseKeepAlive(resp.Header.Get("Keep-Alive")); ok {
		c.idleTimeout = timeout
	}
}

// parseKeepAlive returns the timeout parameter of a Keep-Alive header, which is a
// whole number of seconds. It reports false if the header has no valid timeout.
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
