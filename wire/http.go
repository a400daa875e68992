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
func WriteResult(w http.ResponseWriter, a *Result, id string) {
	defer func() { _ = a.Body.Close() }()
	h := w.Header()
	if a.Outcome.Kind != outcome.Answered {
		a.SetInternalHeaders(h, id)
		h.Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	maps.Copy(h, a.Header)
	a.SetInternalHeaders(h, id)
	w.WriteHeader(a.Status)
	if err := CopyBody(w, a); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// ResultFromResponse returns an HTTP response as an Result. Its trailers are there once
// the body has been read to io.EOF.
func ResultFromResponse(resp *http.Response) *Result {
	a := &Result{
		Outcome:       outcome.Done(),
		Status:        resp.StatusCode,
		Header:        resp.Header,
		ContentLength: resp.ContentLength,
	}
	a.Body = &trailerBody{ReadCloser: resp.Body, resp: resp, answer: a}
	return a
}

// trailerBody takes over the response's trailers, which are not known before
// the end of the body.
type trailerBody struct {
	io.ReadCloser
	resp   *http.Response
	answer *Result
}

// Read reads from the response.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.answer.Trailer = b.resp.Trailer
	}
	return n, err
}

// copyBuffer is the size of one copying step, in bytes.
const copyBuffer = 16 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// CopyBody copies an answer's body and its trailers to a caller, flushing as
// data arrives when the length is not known.
func CopyBody(w http.ResponseWriter, a *Result) error {
	var dst io.Writer = w
	if a.ContentLength < 0 {
		dst = flushWriter{w: w, c: http.NewResponseController(w)}
	}
	buf := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(buf)
	if _, err := io.CopyBuffer(onlyWriter{dst}, onlyReader{a.Body}, buf[:]); err != nil {
		return err
	}
	for name, values := range a.Trailer {
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
	w io.Writer
	c *http.ResponseController
}

func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err == nil {
		err = f.c.Flush()
	}
	return n, err
}
