package sidecar

import (
	"errors"
	"io"
	"sync/atomic"
)

// bodyLimiter limits the memory for the bodies of all requests in flight. Bodies are buffered
// whole, because a request may be retried. Without a limit, many large bodies at once would
// exhaust the memory of the process. bodyLimiter is safe for concurrent use.
type bodyLimiter struct {
	// maxBytes is how many bytes all bodies together may take.
	maxBytes int64
	// usedBytes is how many bytes the current bodies take.
	usedBytes atomic.Int64
}

// defaultBodyMemory is the limit for all bodies together, in bytes, if Options.MaxBodyBytes is
// not set.
const defaultBodyMemory = 64 << 20

func newBodyLimiter(limit int64) *bodyLimiter {
	if limit <= 0 {
		limit = defaultBodyMemory
	}
	return &bodyLimiter{maxBytes: limit}
}

var (
	// errBodyMemoryExhausted is returned when the buffered bodies leave too little memory for
	// another body.
	errBodyMemoryExhausted = errors.New("not enough memory for another request body")
	// errBodyTooLarge is returned for a body that alone exceeds the limit.
	errBodyTooLarge = errors.New("request body exceeds the memory limit for all bodies")
)

// bufferedBody is a request body and the memory that is accounted for it.
type bufferedBody struct {
	bytes []byte
	// accountedBytes is how many bytes of limiter.usedBytes belong to this body.
	accountedBytes int64
	limiter        *bodyLimiter
}

// read reads a whole body. It returns errBodyMemoryExhausted if the other bodies leave too
// little memory for it, and errBodyTooLarge if it alone exceeds the limit. Errors of source are
// returned unchanged. After an error, no memory is accounted for the body.
func (b *bodyLimiter) read(source io.Reader) (*bufferedBody, error) {
	body := &bufferedBody{limiter: b}
	var err error
	body.bytes, err = io.ReadAll(&limitedReader{body, source})
	if err != nil {
		body.release()
		return nil, err
	}
	return body, nil
}

// release returns the memory of the body to the limiter. It may be called more than once, and on
// a nil body.
func (b *bufferedBody) release() {
	if b != nil {
		b.limiter.usedBytes.Add(-b.accountedBytes)
		b.accountedBytes = 0
	}
}

// limitedReader reads a body from source and accounts for its memory. Read returns
// errBodyTooLarge or errBodyMemoryExhausted when the limit is exceeded.
type limitedReader struct {
	*bufferedBody
	source io.Reader
}

func (r *limitedReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.accountedBytes += int64(n)
	used := r.limiter.usedBytes.Add(int64(n))
	switch {
	case r.accountedBytes > r.limiter.maxBytes:
		return 0, errBodyTooLarge
	case used > r.limiter.maxBytes:
		return 0, errBodyMemoryExhausted
	}
	return n, err
}
