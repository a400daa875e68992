package sidecar

import (
	"errors"
	"io"
	"sync/atomic"
)

// bodies bounds the memory that the request bodies in hand take: they are held whole,
// as a request may be sent more than once, and many large ones at a time would end
// the process. It is safe for concurrent use.
type bodies struct {
	limit int64
	used  atomic.Int64
}

// defaultBodyBytes bounds the bodies in hand where the options do not.
const defaultBodyBytes = 64 << 20

func newBodies(most int64) *bodies {
	if most <= 0 {
		most = defaultBodyBytes
	}
	return &bodies{limit: most}
}

var (
	// errNoRoom tells that the bodies in hand leave no room for another.
	errNoRoom = errors.New("no memory for another request body")
	// errTooLarge tells that a body alone is over the bound.
	errTooLarge = errors.New("request body is larger than the memory for all of them")
)

// heldBody is a body and the room that it takes.
type bufferedBody struct {
	bytes   []byte
	size    int64
	limiter *bodies
}

// read reads a body. Where it does not fit it returns errNoRoom or errTooLarge and
// holds nothing.
func (b *bodies) read(from io.Reader) (*bufferedBody, error) {
	h := &bufferedBody{limiter: b}
	var err error
	h.bytes, err = io.ReadAll(&limitedReader{h, from})
	if err != nil {
		h.release()
		return nil, err
	}
	return h, nil
}

// release gives the room back. It may be called again, and on nil.
func (h *bufferedBody) release() {
	if h != nil {
		h.limiter.used.Add(-h.size)
		h.size = 0
	}
}

// holding counts what is read.
type limitedReader struct {
	*bufferedBody
	from io.Reader
}

func (h *limitedReader) Read(p []byte) (int, error) {
	n, err := h.from.Read(p)
	h.size += int64(n)
	held := h.limiter.used.Add(int64(n))
	switch {
	case h.size > h.limiter.limit:
		return 0, errTooLarge
	case held > h.limiter.limit:
		return 0, errNoRoom
	}
	return n, err
}
