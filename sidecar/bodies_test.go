package sidecar

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// TestRequestsBeyondBodyMemoryAreRefused exhausts the body memory of the caller's daemon, then
// that of the upstream's daemon. Each time, the request must be refused without having run. A
// body that alone exceeds the limit is refused as too large. Once memory is free, requests must
// be served, and their memory must be released.
func TestRequestsBeyondBodyMemoryAreRefused(t *testing.T) {
	const limit = 100
	s := newStore(documentOf(1, "b"))
	start := func(service model.ServiceName, id string) *member {
		return startReadyWith(t, s, service, id, func(o *Options) { o.MaxBodyBytes = limit })
	}
	exhaust := func(m *member) (release func()) {
		body, err := m.bodyLimiter.Read(strings.NewReader(strings.Repeat("x", limit-1)))
		require.NoError(t, err)
		return body.Release
	}
	a, b := start("a", "a1"), start("b", "b1")
	a.waitForCandidates(t, "b", 1)
	release := exhaust(a)
	resp, body := a.sendRequest(t, http.MethodPost, "/unsafe/", "pay")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "no-memory\n", body)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	release()
	resp, _ = a.sendRequest(t, http.MethodPost, "/unsafe/", strings.Repeat("x", limit+1))
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)

	release = exhaust(b)
	resp, _ = a.sendRequest(t, http.MethodPost, "/unsafe/", "pay")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Empty(t, b.upstream.requests())
	release()
	status, _ := a.post(t, "/unsafe/")
	require.Equal(t, http.StatusOK, status)
	require.Zero(t, a.bodyLimiter.Used())
	require.Zero(t, b.bodyLimiter.Used())
}
