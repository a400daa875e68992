package hop

import (
	"bytes"
	"io"
	"net/http"
)

// idempotencyHeaders are the headers that the Transport takes as permission to
// retry a request. The Transport retries a request only if it can send the body
// again: the body is absent, is http.NoBody or can be rewound. In addition, the
// method must be GET, HEAD, OPTIONS or TRACE, or the request must have one of
// these headers.
var idempotencyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// lowercaseNameByHeader maps each of the idempotencyHeaders to a spelling that the
// Transport does not recognize. Servers recognize the spelling, because they
// compare header names without regard to case.
var lowercaseNameByHeader = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// setNotReplayable sets the body of a request and renames the
// idempotencyHeaders. The Transport then does not retry the request once its
// first byte was written.
func setNotReplayable(req *http.Request, body io.Reader) {
	for _, name := range idempotencyHeaders {
		if values, ok := req.Header[name]; ok {
			delete(req.Header, name)
			req.Header[lowercaseNameByHeader[name]] = values
		}
	}
	switch {
	case body != nil:
		// The wrapper hides all methods of the body other than Read.
		req.Body = io.NopCloser(onlyReader{body})
	case req.Method == http.MethodGet || req.Method == http.MethodHead || req.Method == http.MethodOptions:
		// The Transport does not retry a request with this body, because it is
		// not http.NoBody. The Transport still detects that the body is empty,
		// and sends none.
		req.Body = emptyBody{}
	default:
		// Requests with other methods are not replayable once the headers
		// above are renamed. With a nil body the Transport sends the
		// Content-Length that the method requires.
		req.Body = nil
	}
}

// setReplayable sets the body of a request as an ordinary client does, so that
// the Transport can retry the request. It sets no body unless the given one is a
// *bytes.Reader. It is used only if Client.unprotected is set.
func setReplayable(req *http.Request, body io.Reader) {
	reader, ok := body.(*bytes.Reader)
	if !ok {
		return
	}
	req.Body = io.NopCloser(reader)
	req.GetBody = func() (io.ReadCloser, error) {
		rewound := *reader
		_, _ = rewound.Seek(0, io.SeekStart)
		return io.NopCloser(&rewound), nil
	}
}

// onlyReader hides all methods other than Read.
type onlyReader struct{ io.Reader }

// emptyBody is a body without content.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }
