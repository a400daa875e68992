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
	// maxReply bounds a response body held in memory, in bytes.
	maxReply = 16 << 20
	// maxStray is how many responses to other requests are passed over before a
	// connection is given up.
	maxStray = 3
	// inlineBody is the largest body written before the response is waited for,
	// in bytes. A larger one is written beside it, so that a response that comes
	// early is seen.
	inlineBody = 2 << 10
)

var (
	errFull     = errors.New("all connections are in use")
	errForeign  = errors.New("responses belong to other requests")
	errTooLarge = errors.New("response is too large")
	errHeaders  = errors.New("response headers are too large")
)

// head returns the request line and headers.
func (x *PoolRequest) head() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", x.Method, x.Target, x.Host)
	for name, values := range x.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(x.Body) > 0 || x.Method == http.MethodPost || x.Method == http.MethodPut || x.Method == http.MethodPatch {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(x.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// exchange sends a request on a connection and reads its response.
func (l *link) exchange(ctx context.Context, x *PoolRequest) (*PoolResponse, error) {
	stop := context.AfterFunc(ctx, func() { l.close() })
	defer stop()
	lost := &RequestError{Reused: l.uses > 0}
	l.uses++
	wrote, err := l.send(x)
	lost.Sent = l.written
	if err != nil {
		return nil, lost.because(ctx, err)
	}
	reply, err := l.receive(x, lost)
	if err != nil {
		return nil, lost.because(ctx, err)
	}
	select {
	case err = <-wrote:
		l.reusable = l.reusable && err == nil
	default:
		// The response came before the body was in.
		l.reusable = false
	}
	if !stop() {
		l.reusable = false
	}
	return reply, nil
}

func (e *RequestError) because(ctx context.Context, err error) error {
	e.Err = err
	if ctx.Err() != nil {
		e.Err = ctx.Err()
	}
	return e
}

// send writes the request. The channel yields one value when it is all written.
func (l *link) send(x *PoolRequest) (<-chan error, error) {
	wrote := make(chan error, 1)
	head := x.head()
	if len(x.Body) <= inlineBody {
		err := l.write(append(head, x.Body...))
		wrote <- err
		return wrote, err
	}
	if err := l.write(head); err != nil {
		return wrote, err
	}
	go func() {
		_, err := l.conn.Write(x.Body)
		wrote <- err
	}()
	return wrote, nil
}

func (l *link) write(p []byte) error {
	n, err := l.conn.Write(p)
	l.written = l.written || n > 0
	return err
}

// receive reads responses until one belongs to the request.
func (l *link) receive(x *PoolRequest, lost *RequestError) (*PoolResponse, error) {
	for range maxStray {
		resp, err := l.readResponse(x)
		if err != nil {
			return nil, err
		}
		mine := x.Accept == nil || x.Accept(resp)
		lost.ResponseStarted = mine
		body, err := readBody(resp)
		if err != nil {
			return nil, err
		}
		l.keep(resp)
		if mine {
			return &PoolResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
		}
		l.strayed = true
		if !l.reusable {
			break
		}
	}
	return nil, errForeign
}

// readResponse reads the head of the next final response.
func (l *link) readResponse(x *PoolRequest) (*http.Response, error) {
	defer l.heads.lift()
	for {
		l.heads.bound(defaultMaxHeaderBytes)
		resp, err := http.ReadResponse(l.reader, &http.Request{Method: x.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols || resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if x.OnInformational != nil {
			x.OnInformational()
		}
	}
}

func readBody(resp *http.Response) ([]byte, error) {
	defer func() { _ = resp.Body.Close() }()
	var buf bytes.Buffer
	if n := resp.ContentLength; n > 0 && n <= maxReply {
		buf.Grow(int(n))
	}
	if _, err := io.Copy(&buf, io.LimitReader(resp.Body, maxReply+1)); err != nil {
		return nil, err
	}
	if buf.Len() > maxReply {
		return nil, errTooLarge
	}
	return buf.Bytes(), nil
}

// keep notes whether and how long the connection can serve again.
func (l *link) keep(resp *http.Response) {
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	l.reusable = !resp.Close && !unframed && resp.StatusCode != http.StatusSwitchingProtocols
	if limit, ok := keepAlive(resp.Header.Get("Keep-Alive")); ok {
		l.idleLimit = limit
	}
}

// keepAlive returns the timeout that a Keep-Alive header states.
func keepAlive(h string) (time.Duration, bool) {
	for _, field := range strings.Split(h, ",") {
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
