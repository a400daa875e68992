package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// body is a request body. A small body is buffered, so that it can be replayed
// for a retry. A larger body is streamed and can be sent only once.
type body struct {
	// data is the content of a buffered body.
	data []byte
	// stream is the reader of a streamed body. It is nil for a buffered body.
	stream io.Reader
	// length is the length of the body, -1 when unknown.
	length int64
}

// readBody returns the body of a request. It buffers a body of at most
// maxReplayableBody bytes; a larger body is streamed. length is the Content-Length, -1
// when unknown. When the body cannot be read, readBody returns nil and the reason for
// which the request must be refused. Otherwise the reason is ReasonNone.
func readBody(r io.Reader, length int64) (*body, outcome.Reason) {
	if length == 0 {
		return &body{}, outcome.ReasonNone
	}
	prefix, err := io.ReadAll(io.LimitReader(r, maxReplayableBody+1))
	if err != nil {
		return nil, bodyErrorReason(err)
	}
	if len(prefix) <= maxReplayableBody {
		return &body{data: prefix, length: int64(len(prefix))}, outcome.ReasonNone
	}
	return &body{stream: io.MultiReader(bytes.NewReader(prefix), r), length: length}, outcome.ReasonNone
}

// bodyErrorReason returns the reason to refuse a request whose body could not be
// read.
func bodyErrorReason(err error) outcome.Reason {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return outcome.ReasonTooLarge
	}
	return outcome.ReasonBadRequest
}

// reader returns a reader of the body for one attempt, and the length of the body. The
// reader is nil when there is no body.
func (b *body) reader() (io.Reader, int64) {
	switch {
	case b.stream != nil:
		return b.stream, b.length
	case len(b.data) == 0:
		return nil, 0
	default:
		return bytes.NewReader(b.data), b.length
	}
}

// replayable reports whether the body can be sent more than once.
func (b *body) replayable() bool { return b.stream == nil }
