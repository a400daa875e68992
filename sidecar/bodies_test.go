package sidecar

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// TestBodyMemoryIsLimitedAndReleased reads bodies until their memory is exhausted. A body that is
// rejected, too large or cut off by an error must take no memory afterwards.
func TestBodyMemoryIsLimitedAndReleased(t *testing.T) {
	b := newBodyLimiter(10)
	first, err := b.read(strings.NewReader("123456"))
	require.NoError(t, err)
	require.Equal(t, "123456", string(first.bytes))
	_, err = b.read(iotest.OneByteReader(strings.NewReader("12345")))
	require.ErrorIs(t, err, errBodyMemoryExhausted)
	second, err := b.read(strings.NewReader("1234"))
	require.NoError(t, err, "a rejected body takes no memory")
	first.release()
	first.release()
	second.release()
	_, err = b.read(strings.NewReader("12345678901"))
	require.ErrorIs(t, err, errBodyTooLarge)
	_, err = b.read(iotest.ErrReader(errors.New("gone")))
	require.EqualError(t, err, "gone")
	require.Zero(t, b.usedBytes.Load())
}

// TestRequestsBeyondBodyMemoryAreRefused exhausts the body memory of the caller's daemon, then
// that of the upstream's daemon. Each time, the request must be refused without having run. A
// body that alone exceeds the limit is refused as too large. Once memory is free, requests must
// be served, and their memory must be released.
func TestRequestsBeyondBodyMemoryAreRefused(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a, b := startReady(t, s, "a", "a1"), startReady(t, s, "b", "b1")
	a.waitForCandidates(t, "b", 1)
	const limit = 100
	a.bodyLimiter.maxBytes = limit
	a.bodyLimiter.usedBytes.Store(limit - 1)
	resp, body := a.sendRequest(t, http.MethodPost, "/unsafe/", "pay")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "no-memory\n", body)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	a.bodyLimiter.usedBytes.Store(0)
	resp, _ = a.sendRequest(t, http.MethodPost, "/unsafe/", strings.Repeat("x", limit+1))
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)

	b.bodyLimiter.maxBytes = limit
	b.bodyLimiter.usedBytes.Store(limit - 1)
	resp, _ = a.sendRequest(t, http.MethodPost, "/unsafe/", "pay")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Empty(t, b.upstream.requests())
	b.bodyLimiter.usedBytes.Store(0)
	status, _ := a.post(t, "/unsafe/")
	require.Equal(t, http.StatusOK, status)
	require.Zero(t, a.bodyLimiter.usedBytes.Load())
	require.Zero(t, b.bodyLimiter.usedBytes.Load())
}
