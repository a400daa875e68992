package wire

import (
	"bufio"
	"bytes"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// FuzzReadCall parses arbitrary requests as calls of another daemon. It encodes
// and decodes each accepted call again; apart from the body, the result must equal
// the call.
func FuzzReadCall(f *testing.F) {
	f.Add("POST /release?a=b HTTP/1.1\r\nHost: h\r\nDottereltiller-Hop-Id: 1\r\nDottereltiller-Hop-Timeout-Us: 5\r\nContent-Length: 1\r\n\r\nx")
	f.Add("GET / HTTP/1.1\r\nHost: h\r\nDottereltiller-Hop-Id: 1\r\nDottereltiller-Hop-Attempt: 99999999999999999999\r\n\r\n")
	f.Add("GET / HTTP/1.1\r\nHost: h\r\nDottereltiller-Hop-Id: 1\r\nDottereltiller-Hop-Timeout-Us: 9223372036854775807\r\n\r\n")
	f.Add("GET / HTTP/1.1\r\nHost: h\r\nDottereltiller-Hop-Id: \r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		call, err := ReadCall(req)
		if err != nil {
			return
		}
		require.NotEmpty(t, call.ID)
		require.GreaterOrEqual(t, call.Timeout, time.Duration(0))
		for name := range call.Header {
			require.False(t, strings.HasPrefix(name, internalPrefix), name)
		}
		forwarded := req.Clone(t.Context())
		forwarded.Header = call.Header.Clone()
		call.SetInternalHeaders(forwarded.Header)
		decoded, err := ReadCall(forwarded)
		require.NoError(t, err)
		decoded.Body, call.Body = nil, nil
		require.Equal(t, call, decoded)
	})
}

// FuzzResultRoundTrip sends arbitrary responses of an upstream from one daemon
// to another. A complete response must arrive unchanged, and a truncated one
// must stay recognizable as truncated.
func FuzzResultRoundTrip(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "POST")
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", "POST")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\nX-Sum: 1\r\n\r\n", "GET")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\non", "GET")
	f.Add("HTTP/1.1 204 No Content\r\nDottereltiller-Hop-Id: forged\r\n\r\n", "GET")
	f.Add("HTTP/1.1 304 Not Modified\r\n\r\n", "GET")
	f.Fuzz(func(t *testing.T, text, method string) {
		read := func() (*http.Response, error) {
			return http.ReadResponse(bufio.NewReader(strings.NewReader(text)), &http.Request{Method: method})
		}
		resp, err := read()
		if err != nil || resp.StatusCode < 200 || resp.StatusCode > 999 {
			return
		}
		want, wantErr := io.ReadAll(resp.Body)
		resp, err = read()
		require.NoError(t, err)
		result := ResultFromResponse(resp)
		StripInternalHeaders(result.Header)
		StripHopByHopHeaders(result.Header)

		recorder := httptest.NewRecorder()
		aborted := writeResultAborted(recorder, result, "id-1")
		require.Equal(t, wantErr != nil, aborted, "a truncated response must be forwarded as truncated")
		if aborted {
			return
		}
		_, err = ReadResult(recorder.Result(), "id-2")
		require.ErrorIs(t, err, ErrIDMismatch)
		got, err := ReadResult(recorder.Result(), "id-1")
		require.NoError(t, err)
		require.Equal(t, outcome.ResponseComplete(), got.Outcome)
		require.Equal(t, resp.StatusCode, got.Status)
		body, err := io.ReadAll(got.Body)
		require.NoError(t, err)
		require.Equal(t, string(want), string(body))
		for name := range maps.Keys(got.Header) {
			require.False(t, strings.HasPrefix(name, internalPrefix), name)
		}
	})
}

// writeResultAborted calls WriteResult and reports whether it aborted the
// connection.
func writeResultAborted(recorder *httptest.ResponseRecorder, r *Result, id string) (aborted bool) {
	defer func() {
		if v := recover(); v != nil {
			if v != http.ErrAbortHandler {
				panic(v)
			}
			aborted = true
		}
	}()
	WriteResult(recorder, r, id)
	return false
}

// FuzzParseLoad parses arbitrary load headers. An accepted load must have
// values in range and survive being formatted and parsed again.
func FuzzParseLoad(f *testing.F) {
	f.Add(formatLoad(model.Load{Running: 3, Waiting: 2, Limit: 6, ServiceTime: 1500 * time.Microsecond, FailureRate: 0.25, Draining: true, Seq: 9}))
	f.Add("1 2 3 4 NaN true 7")
	f.Add("1 2 3")
	f.Fuzz(func(t *testing.T, text string) {
		load, err := parseLoad(text)
		if err != nil {
			return
		}
		require.True(t, load.FailureRate >= 0 && load.FailureRate <= 1, "failure rate %v", load.FailureRate)
		require.True(t, load.Running >= 0 && load.Waiting >= 0 && load.ServiceTime >= 0)
		reparsed, err := parseLoad(formatLoad(load))
		require.NoError(t, err)
		require.Equal(t, load.Seq, reparsed.Seq)
		require.InDelta(t, load.FailureRate, reparsed.FailureRate, 0.001)
	})
}

func TestResultWithoutResponseCarriesCallID(t *testing.T) {
	o := outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.ReasonDraining, RetryAfter: 2 * time.Second}
	recorder := httptest.NewRecorder()
	WriteResult(recorder, NoResponse(o), "id-1")
	result, err := ReadResult(recorder.Result(), "id-1")
	require.NoError(t, err)
	require.Equal(t, o, result.Outcome)
	body, err := io.ReadAll(result.Body)
	require.NoError(t, err)
	require.True(t, bytes.Equal(body, nil))
}
