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
type stallLimiter struct {
	timeout time.Duration
	stalls  tally.Counter
	next    http.Handler
	// closeChunked closes HTTP/1 connections after a request with chunked encoding.
	closeChunked bool
}

// ServeHTTP implements http.Handler.
func (l *stallLimiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	limited := &limitedWriter{ResponseWriter: w, limiter: l, control: http.NewResponseController(w)}
	// Clear the deadline that the previous request on this connection set, which
	// would abort this one.
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

func (l *stallLimiter) countTimeout(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.stalls.Inc(1)
	}
}

// limitedWriter gives every write of the response a deadline, as a rule one timeout
// away.
type limitedWriter struct {
	http.ResponseWriter
	limiter *stallLimiter
	control *http.ResponseController
	// body is nil when the request has none.
	body *limitedBody
}

// WriteHeader implements http.ResponseWriter.
func (w *limitedWriter) WriteHeader(status int) {
	w.extendDeadline()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *limitedWriter) Write(p []byte) (int, error) {
	w.extendDeadline()
	n, err := w.ResponseWriter.Write(p)
	w.limiter.countTimeout(err)
	return n, err
}

// FlushError flushes the response with the deadline of a write. http.ResponseController
// calls it.
func (w *limitedWriter) FlushError() error {
	w.extendDeadline()
	err := w.control.Flush()
	w.limiter.countTimeout(err)
	return err
}

// Unwrap lets http.ResponseController access the wrapped ResponseWriter.
func (w *limitedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// extendDeadline sets the deadline of the next write. Before the first write, net/http
// reads the rest of a request body that the handler has not read, which may take up to
// one timeout itself; the deadline is then two timeouts away.
func (w *limitedWriter) extendDeadline() {
	timeout := w.limiter.timeout
	if w.body != nil && w.body.extendDeadline() {
		timeout *= 2
	}
	_ = w.control.SetWriteDeadline(time.Now().Add(timeout))
}

// limitedBody gives every read of the request body a deadline, one timeout away.
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
	b.extendDeadline()
	n, err := b.body.Read(p)
	if err != nil {
		b.markEnded(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *limitedBody) Close() error { return b.body.Close() }

// extendDeadline sets the deadline of the next read. It returns false, without setting
// one, once the body has ended.
func (b *limitedBody) extendDeadline() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return false
	}
	_ = b.writer.control.SetReadDeadline(time.Now().Add(b.writer.limiter.timeout))
	return true
}

func (b *limitedBody) markEnded(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.ended = true
	b.writer.limiter.countTimeout(err)
	if err == io.EOF {
		_ = b.writer.control.SetReadDeadline(time.Time{})
	}
}
