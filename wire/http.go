package wire

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"sync"

	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// WriteResult writes an answer to the daemon that sent the call and closes its
// body. A body that breaks off aborts the connection, so that a truncated
// answer never looks complete.
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

// ResultFromResponse returns an HTTP response as an Result. Its trailers are there once
// the body has been read to io.EOF.
func ResultFromResponse(resp *http.Response) *Result {
	r := &Result{
		Outcome:       outcome.Done(),
		Status:        resp.StatusCode,
		Header:        resp.Header,
		ContentLength: resp.ContentLength,
	}
	r.Body = &trailerBody{ReadCloser: resp.Body, resp: resp, result: r}
	return r
}

// trailerBody takes over the response's trailers, which are not known before
// the end of the body.
type trailerBody struct {
	io.ReadCloser
	resp   *http.Response
	result *Result
}

// Read reads from the response.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.result.Trailer = b.resp.Trailer
	}
	return n, err
}

// copyBufferSize is the size of one copying step, in bytes.
const copyBufferSize = 16 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// CopyBody copies an answer's body and its trailers to a caller, flushing as
// data arrives when the length is not known.
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

// onlyReader and onlyWriter hide the methods that would make io.CopyBuffer
// leave its buffer unused.
type (
	onlyReader struct{ io.Reader }
	onlyWriter struct{ io.Writer }
)

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
