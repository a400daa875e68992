package hop

import (
	"bytes"
	"io"
	"net/http"
)

// The Transport sends a request again when it takes it for replayable: when its
// body is absent, http.NoBody or can be rewound, and either its method is GET,
// HEAD, OPTIONS or TRACE or it carries one of these headers.
var idempotencyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// lowercaseNames are the same headers under names that the Transport does not look
// for. On the wire the names of headers are compared without regard to case.
var lowercaseNames = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// setNotReplayable gives a request its body and headers so that the Transport never
// sends it again after its first byte.
func setNotReplayable(req *http.Request, body io.Reader) {
	for _, name := range idempotencyHeaders {
		if values, ok := req.Header[name]; ok {
			delete(req.Header, name)
			req.Header[lowercaseNames[name]] = values
		}
	}
	switch {
	case body != nil:
		// This hides everything of the body but reading.
		req.Body = io.NopCloser(onlyReader{body})
	case req.Method == http.MethodGet || req.Method == http.MethodHead || req.Method == http.MethodOptions:
		// An empty body that is not http.NoBody. The Transport finds out that
		// it is empty and sends none.
		req.Body = emptyBody{}
	default:
		// Without the headers above, other methods are not replayable, and
		// the request goes out with the length that its method wants.
		req.Body = nil
	}
}

// setReplayable gives a request its body as an ordinary client does.
func setReplayable(req *http.Request, body io.Reader) {
	data, ok := body.(*bytes.Reader)
	if !ok {
		return
	}
	req.Body = io.NopCloser(data)
	req.GetBody = func() (io.ReadCloser, error) {
		rewound := *data
		_, _ = rewound.Seek(0, io.SeekStart)
		return io.NopCloser(&rewound), nil
	}
}

type onlyReader struct{ io.Reader }

type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }
