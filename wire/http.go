package wire

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"sync"

	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// WriteResult writes a result as the response to the daemon that sent the call,
// and closes the result's body. The id is that of the Call. A result whose outcome
// is not Answered becomes a response with status 503 and no body. If the body cannot
// be copied, WriteResult aborts the connection. The other daemon then sees that
// the response is truncated.
func WriteResult(w http.ResponseWriter, r *Result, id string) {
	defer func() { _ = r.Body.Close() }()
	header := w.Header()
	if r.Outcome.Kind != outcome.Answered {
		r.SetInternalHeaders(header, id)
		header.Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	maps.Copy(header, r.Header)
	r.SetInternalHeaders(header, id)
	w.WriteHeader(r.Status)
	if err := CopyBody(w, r); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// ResultFromResponse returns an HTTP response as a Result with outcome
// Answered. The trailers are set once the body has been read to io.EOF.
func ResultFromResponse(resp *http.Response) *Result {
	r := &Result{
		Outcome:       outcome.ResponseComplete(),
		Status:        resp.StatusCode,
		Header:        resp.Header,
		ContentLength: resp.ContentLength,
	}
	r.Body = &trailerBody{ReadCloser: resp.Body, resp: resp, result: r}
	return r
}

// trailerBody copies the trailers of a response to its Result at the end of the
// body. The trailers are not known earlier.
type trailerBody struct {
	io.ReadCloser
	resp   *http.Response
	result *Result
}

// Read implements io.Reader.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.result.Trailer = b.resp.Trailer
	}
	return n, err
}

// copyBufferSize is the size of the buffers of CopyBody, in bytes.
const copyBufferSize = 16 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// CopyBody copies the body and the trailers of a result to a response. If the
// length of the body is unknown, it flushes after every write.
func CopyBody(w http.ResponseWriter, r *Result) error {
	var dst io.Writer = w
	if r.ContentLength < 0 {
		dst = flushWriter{w: w, controller: http.NewResponseController(w)}
	}
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	if _, err := io.CopyBuffer(onlyWriter{dst}, onlyReader{r.Body}, buf[:]); err != nil {
		return err
	}
	for name, values := range r.Trailer {
		for _, v := range values {
			w.Header().Add(http.TrailerPrefix+name, v)
		}
	}
	return nil
}

// onlyReader hides the io.WriterTo of a reader and onlyWriter the io.ReaderFrom
// of a writer. With either of them io.CopyBuffer would not use its buffer.
type (
	onlyReader struct{ io.Reader }
	onlyWriter struct{ io.Writer }
)

// flushWriter flushes the response after every write.
type flushWriter struct {
	w          io.Writer
	controller *http.ResponseController
}

func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err == nil {
		err = f.controller.Flush()
	}
	return n, err
}
