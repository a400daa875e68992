package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// body is a request body that is held whole when small, so that it can be sent
// again, and streamed once otherwise.
type body struct {
	data   []byte
	stream io.Reader
	length int64
}

// readBody takes in a body of the announced length, -1 when unknown.
func readBody(r io.Reader, length int64) (*body, outcome.Reason) {
	if length == 0 {
		return &body{}, outcome.ReasonNone
	}
	start, err := io.ReadAll(io.LimitReader(r, maxReplayableBody+1))
	if err != nil {
		return nil, bodyErrorReason(err)
	}
	if len(start) <= maxReplayableBody {
		return &body{data: start, length: int64(len(start))}, outcome.ReasonNone
	}
	return &body{stream: io.MultiReader(bytes.NewReader(start), r), length: length}, outcome.ReasonNone
}

func bodyErrorReason(err error) outcome.Reason {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return outcome.ReasonTooLarge
	}
	return outcome.ReasonBadRequest
}

// reader returns the body for one attempt, nil when there is none.
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

// rewind reports whether the body can be sent again.
func (b *body) replayable() bool { return b.stream == nil }
