package daemon

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// stallLimiter is a handler that aborts a request when a read of its body or a write
// of its response makes no progress for the timeout. It does not limit the duration of
// the whole request, so long streams are possible.
type stallLimit struct {
	timeout time.Duration
	stalls  tally.Counter
	next    http.Handler
	// closeChunked closes HTTP/1 connections after a request with chunked encoding.
	closeChunked bool
}

// ServeHTTP implements http.Handler.
func (l *stallLimit) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	limited := &limitedWriter{ResponseWriter: w, limit: l, control: http.NewResponseController(w)}
	// Clear the deadline that the previous request on this connection set.
	_ = limited.control.SetWriteDeadline(time.Time{})
	if l.closeChunked && r.ProtoMajor == 1 && len(r.TransferEncoding) > 0 {
		// When a request has both Transfer-Encoding: chunked and Content-Length,
		// net/http ignores the length and hides the conflict. The rest of the
		// connection must then not be parsed as another request, which could be
		// smuggled in (RFC 9112 section 6.1).
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength != 0 {
		limited.body = &limitedBody{body: r.Body, writer: limited}
		r.Body = limited.body
	}
	l.next.ServeHTTP(limited, r)
}

func (l *stallLimit) count(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.stalls.Inc(1)
	}
}

// limitedWriter sets a deadline for every write of the response.
type limitedWriter struct {
	http.ResponseWriter
	limit   *stallLimit
	control *http.ResponseController
	// body is nil when the request has none.
	body *limitedBody
}

// WriteHeader implements http.ResponseWriter.
func (w *limitedWriter) WriteHeader(status int) {
	w.extend()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *limitedWriter) Write(p []byte) (int, error) {
	w.extend()
	n, err := w.ResponseWriter.Write(p)
	w.limit.count(err)
	return n, err
}

// FlushError flushes the response. http.ResponseController calls it.
func (w *limitedWriter) FlushError() error {
	w.extend()
	err := w.control.Flush()
	w.limit.count(err)
	return err
}

// Unwrap lets http.ResponseController access the wrapped ResponseWriter.
func (w *limitedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// extendDeadline sets the deadline of the next write. Before the first write, net/http
// reads the rest of a request body that the handler has not read, which may take up to
// one timeout itself; the deadline is then two timeouts away.
func (w *limitedWriter) extend() {
	timeout := w.limit.timeout
	if w.body != nil && w.body.extend() {
		timeout *= 2
	}
	_ = w.control.SetWriteDeadline(time.Now().Add(timeout))
}

// limitedBody sets a deadline for every read of the request body.
type limitedBody struct {
	body   io.ReadCloser
	writer *limitedWriter

	mu sync.Mutex
	// ended is set once a read has returned io.EOF or another error.
	ended bool
}

// Read implements io.Reader. At the end of the body it clears the read deadline, which
// would otherwise cancel a request that runs longer than the timeout.
func (b *limitedBody) Read(p []byte) (int, error) {
	b.extend()
	n, err := b.body.Read(p)
	if err != nil {
		b.end(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *limitedBody) Close() error { return b.body.Close() }

// extendDeadline sets the deadline of the next read. It returns false, without setting
// one, once the body has ended.
func (b *limitedBody) extend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return false
	}
	_ = b.writer.control.SetReadDeadline(time.Now().Add(b.writer.limit.timeout))
	return true
}

func (b *limitedBody) end(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.ended = true
	b.writer.limit.count(err)
	if err == io.EOF {
		_ = b.writer.control.SetReadDeadline(time.Time{})
	}
}
