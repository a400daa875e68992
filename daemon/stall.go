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
	// stalls counts the reads and writes that exceeded their deadline.
	stalls tally.Counter
	next   http.Handler
	// closeChunked makes the server close an HTTP/1 connection after a request with
	// chunked encoding.
	closeChunked bool
}

// ServeHTTP implements http.Handler.
func (l *stallLimiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	limited := &limitedWriter{ResponseWriter: w, limiter: l, controller: http.NewResponseController(w)}
	// Clear the deadline that the previous request on this connection set. That
	// deadline would abort this request.
	_ = limited.controller.SetWriteDeadline(time.Time{})
	if l.closeChunked && r.ProtoMajor == 1 && len(r.TransferEncoding) > 0 {
		// When a request has both Transfer-Encoding: chunked and Content-Length,
		// net/http ignores the length and hides the conflict. The bytes after such
		// a request may be a smuggled request, so they must not be parsed
		// (RFC 9112 section 6.1). Since the conflict is hidden, the connection is
		// closed after every request with chunked encoding.
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength != 0 {
		limited.body = &limitedBody{body: r.Body, writer: limited}
		r.Body = limited.body
	}
	l.next.ServeHTTP(limited, r)
}

// countTimeout counts a stall if err reports an exceeded deadline.
func (l *stallLimiter) countTimeout(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.stalls.Inc(1)
	}
}

// limitedWriter sets a deadline before every write of the response. The deadline is one
// timeout after the start of the write, or two timeouts if the request body has not been
// read to its end. See extendDeadlines for the reason.
type limitedWriter struct {
	http.ResponseWriter
	limiter    *stallLimiter
	controller *http.ResponseController
	// body is nil when the request has none.
	body *limitedBody
}

// WriteHeader implements http.ResponseWriter.
func (w *limitedWriter) WriteHeader(status int) {
	w.extendDeadlines()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *limitedWriter) Write(p []byte) (int, error) {
	w.extendDeadlines()
	n, err := w.ResponseWriter.Write(p)
	w.limiter.countTimeout(err)
	return n, err
}

// FlushError flushes the response with the deadline of a write. http.ResponseController
// calls it.
func (w *limitedWriter) FlushError() error {
	w.extendDeadlines()
	err := w.controller.Flush()
	w.limiter.countTimeout(err)
	return err
}

// Unwrap lets http.ResponseController access the wrapped ResponseWriter.
func (w *limitedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// extendDeadlines sets the deadline of the next write to one timeout from now. If the
// handler has not read the request body to its end, net/http reads the rest of the body
// before the first write. extendDeadlines then sets the read deadline to one timeout from
// now. It sets the write deadline to two timeouts from now, because that read may take up
// to one timeout itself.
func (w *limitedWriter) extendDeadlines() {
	timeout := w.limiter.timeout
	if w.body != nil && w.body.extendReadDeadline() {
		timeout *= 2
	}
	_ = w.controller.SetWriteDeadline(time.Now().Add(timeout))
}

// limitedBody sets a deadline before every read of the request body. The deadline is one
// timeout after the start of the read.
type limitedBody struct {
	body   io.ReadCloser
	writer *limitedWriter

	mu sync.Mutex
	// ended is set once a read has returned io.EOF or another error.
	ended bool
}

// Read implements io.Reader. At the end of the body it clears the read deadline.
// Otherwise the deadline would cancel a request that runs longer than the timeout.
func (b *limitedBody) Read(p []byte) (int, error) {
	b.extendReadDeadline()
	n, err := b.body.Read(p)
	if err != nil {
		b.handleReadError(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *limitedBody) Close() error { return b.body.Close() }

// extendReadDeadline sets the deadline of the next read to one timeout from now and returns
// true. Once the body has ended, it sets no deadline and returns false.
func (b *limitedBody) extendReadDeadline() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return false
	}
	_ = b.writer.controller.SetReadDeadline(time.Now().Add(b.writer.limiter.timeout))
	return true
}

// handleReadError marks the body as ended after a read returned err, which may be io.EOF.
// It counts a stall if err reports an exceeded deadline. At io.EOF it clears the read
// deadline. Calls after the first have no effect.
func (b *limitedBody) handleReadError(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.ended = true
	b.writer.limiter.countTimeout(err)
	if err == io.EOF {
		_ = b.writer.controller.SetReadDeadline(time.Time{})
	}
}
