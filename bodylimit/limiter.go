package bodylimit

import (
	"errors"
	"io"
	"sync/atomic"
)

// Limiter limits the memory for the bodies of all requests in flight. It is safe for concurrent use.
type Limiter struct {
	// maxBytes is how many bytes all bodies together may take.
	maxBytes int64
	// usedBytes is how many bytes the current bodies take.
	usedBytes atomic.Int64
}

// DefaultBytes is the default limit for all bodies together, in bytes.
const DefaultBytes = 64 << 20

// New returns a Limiter for the given number of bytes. Zero or less means DefaultBytes.
func New(limit int64) *Limiter {
	if limit <= 0 {
		limit = DefaultBytes
	}
	return &Limiter{maxBytes: limit}
}

var (
	// ErrMemoryExhausted is returned when the buffered bodies leave too little memory for
	// another body.
	ErrMemoryExhausted = errors.New("not enough memory for another request body")
	// ErrTooLarge is returned for a body that alone exceeds the limit.
	ErrTooLarge = errors.New("request body exceeds the memory limit for all bodies")
)

// Used returns how many bytes the current bodies take.
func (b *Limiter) Used() int64 { return b.usedBytes.Load() }

// Body is a request body and the memory that is accounted for it.
type Body struct {
	Bytes []byte
	// accountedBytes is how many bytes of limiter.usedBytes belong to this body.
	accountedBytes int64
	limiter        *Limiter
}

// Read reads a whole body. It returns ErrMemoryExhausted if the other bodies leave too
// little memory for it, and ErrTooLarge if it alone exceeds the limit. Errors of source are
// returned unchanged. After an error, no memory is accounted for the body.
func (b *Limiter) Read(source io.Reader) (*Body, error) {
	body := &Body{limiter: b}
	var err error
	body.Bytes, err = io.ReadAll(&limitedReader{body, source})
	if err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

// Release returns the memory of the body to the limiter. It may be called more than once, and on
// a nil body.
func (b *Body) Release() {
	if b != nil {
		b.limiter.usedBytes.Add(-b.accountedBytes)
		b.accountedBytes = 0
	}
}

// limitedReader reads a body from source and accounts for its memory. Read returns
// ErrTooLarge or ErrMemoryExhausted when the limit is exceeded.
type limitedReader struct {
	*Body
	source io.Reader
}

func (r *limitedReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.accountedBytes += int64(n)
	used := r.limiter.usedBytes.Add(int64(n))
	switch {
	case r.accountedBytes > r.limiter.maxBytes:
		return 0, ErrTooLarge
	case used > r.limiter.maxBytes:
		return 0, ErrMemoryExhausted
	}
	return n, err
}
