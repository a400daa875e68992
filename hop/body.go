package hop

import (
	"fmt"
	"io"
	"net/http"
)

const (
	// defaultMaxResponseBytes is the default of PoolRequest.MaxResponseBytes.
	defaultMaxResponseBytes = 16 << 20
	// minBodyBuffer is the least size, in bytes, of the buffer for a response body of unknown length.
	minBodyBuffer = 512
	// maxFirstBodyBuffer is the largest first buffer for a response body, in bytes. A server may announce a
	// long body and send none.
	maxFirstBodyBuffer = 64 << 10
	// maxDiscardedBytes is the largest body, in bytes, of a response to another request that is read to its end.
	maxDiscardedBytes = 1 << 20
)

// Memory limits the memory for responses.
type Memory interface {
	// Grow takes n more bytes, or returns an error if there is no room for them.
	Grow(n int64) error
}

// BodyTooLargeError reports a response whose body was not read to its end, because of its size.
type BodyTooLargeError struct {
	// Limit is the limit in bytes, zero if Err is set.
	Limit int64
	// Err is the error of PoolRequest.Memory.
	Err error
}

// Error names the limit or the cause.
func (e *BodyTooLargeError) Error() string {
	if e.Err != nil {
		return e.Err.Error()
	}
	return fmt.Sprintf("response body exceeds %d bytes", e.Limit)
}

// Unwrap returns the cause.
func (e *BodyTooLargeError) Unwrap() error { return e.Err }

// readBody reads the body. It returns a *BodyTooLargeError if the body exceeds r.MaxResponseBytes or
// r.Memory has no room for it. It does not close the body, because Close would first read it to its
// end, and the end of a body that is too large may never come.
func (r *PoolRequest) readBody(resp *http.Response) ([]byte, error) {
	limit := r.MaxResponseBytes
	if limit <= 0 {
		limit = defaultMaxResponseBytes
	}
	switch {
	case resp.Body == http.NoBody:
		return nil, nil
	case resp.ContentLength > limit:
		return nil, &BodyTooLargeError{Limit: limit}
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := min(nextBufferSize(int64(cap(body)), resp.ContentLength), limit+1)
			if err := r.takeMemory(size - int64(cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, &BodyTooLargeError{Limit: limit}
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// nextBufferSize returns the size of the buffer that replaces a full one of the given size. A buffer for a
// body of known length has one more byte than that, so that its end is read without growing once more.
func nextBufferSize(size, contentLength int64) int64 {
	if size == 0 && contentLength >= 0 {
		return min(contentLength, maxFirstBodyBuffer) + 1
	}
	next := max(2*size, minBodyBuffer)
	if contentLength >= size {
		next = min(next, contentLength+1)
	}
	return next
}

// takeMemory takes n bytes from r.Memory.
func (r *PoolRequest) takeMemory(n int64) error {
	if r.Memory == nil {
		return nil
	}
	if err := r.Memory.Grow(n); err != nil {
		return &BodyTooLargeError{Err: err}
	}
	return nil
}

// discardBody reads the body of a response to another request to its end.
func discardBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardedBytes+1))
	if err == nil && n > maxDiscardedBytes {
		return &BodyTooLargeError{Limit: maxDiscardedBytes}
	}
	return err
}
