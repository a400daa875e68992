package hop

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// invalidStatusLines are responses whose status line is not HTTP/1.x or has no valid status code.
var invalidStatusLines = map[string]string{
	"status 000":                   "HTTP/1.1 000 None\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"status 000, no body":          "HTTP/1.1 000 None\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
	"status 000, no length":        "HTTP/1.1 000 None\r\nId: 1\r\n\r\nbody",
	"status 000, then a response":  "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"status 000, body is response": "HTTP/1.1 000 None\r\nId: 1\r\nContent-Length: 49\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"status 099":                   "HTTP/1.1 099 None\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"status 099, then a response":  "HTTP/1.1 099 None\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"status 600":                   "HTTP/1.1 600 None\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"status 999":                   "HTTP/1.1 999 None\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"signed status":                "HTTP/1.1 +20 None\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"negative zero":                "HTTP/1.1 -00 None\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/2":                       "HTTP/2.0 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/0.9":                     "HTTP/0.9 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"NUL in the reason":            "HTTP/1.1 200 O\x00K\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"carriage return in reason":    "HTTP/1.1 200 OK\rId: 2\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
}

// invalidInterimStatusLines are responses after an informational response whose status line is not valid. A Client does not
// see it.
var invalidInterimStatusLines = map[string]string{
	"interim, NUL in the reason": "HTTP/1.1 103 Early\x00Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"interim, HTTP/2":            "HTTP/2.0 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
}

// TestInvalidStatusLineInvalidatesResponse guards against responses whose status line is not valid and that are delivered, or
// skipped like an informational response.
func TestInvalidStatusLineInvalidatesResponse(t *testing.T) {
	requireInvalidByPool(t, invalidStatusLines)
	requireInvalidByPool(t, invalidInterimStatusLines)
	requireInvalidByClient(t, invalidStatusLines)
}

// invalidFields are responses with a header field, or one of an informational response before them, that is not valid.
var invalidFields = map[string]string{
	"space before the colon":      "HTTP/1.1 200 OK\r\nId: 1\r\nX-Some : 1\r\nContent-Length: 4\r\n\r\nbody",
	"space in the name":           "HTTP/1.1 200 OK\r\nId: 1\r\nX Some: 1\r\nContent-Length: 4\r\n\r\nbody",
	"space in the last name":      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\nX Some: 1\r\n\r\nbody",
	"space after the length":      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length : 4\r\n\r\nbody",
	"space after another length":  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length : 4\r\nContent-Length: 2\r\n\r\nbody",
	"space after the coding":      "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding : chunked\r\nContent-Length: 14\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"space, response of no body":  "HTTP/1.1 204 No Content\r\nId: 1\r\nX Some: 1\r\n\r\n",
	"space, line feeds":           "HTTP/1.1 200 OK\nId: 1\nX Some: 1\nContent-Length: 4\n\nbody",
	"space, failure":              "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nX Some: 1\r\nContent-Length: 4\r\n\r\nbody",
	"tab in the name":             "HTTP/1.1 200 OK\r\nId: 1\r\nX\tSome: 1\r\nContent-Length: 4\r\n\r\nbody",
	"control byte in the name":    "HTTP/1.1 200 OK\r\nId: 1\r\nX\x01Some: 1\r\nContent-Length: 4\r\n\r\nbody",
	"NUL in the name":             "HTTP/1.1 200 OK\r\nId: 1\r\nX\x00Some: 1\r\nContent-Length: 4\r\n\r\nbody",
	"carriage return in the name": "HTTP/1.1 200 OK\r\nId: 1\r\nX\rSome: 1\r\nContent-Length: 4\r\n\r\nbody",
	"DEL in the name":             "HTTP/1.1 200 OK\r\nId: 1\r\nX\x7fSome: 1\r\nContent-Length: 4\r\n\r\nbody",
	"no name":                     "HTTP/1.1 200 OK\r\nId: 1\r\n: 1\r\nContent-Length: 4\r\n\r\nbody",
	"no colon":                    "HTTP/1.1 200 OK\r\nId: 1\r\nX-Some\r\nContent-Length: 4\r\n\r\nbody",
	"brackets in the name":        "HTTP/1.1 200 OK\r\nId: 1\r\n[X]: 1\r\nContent-Length: 4\r\n\r\nbody",
	"bytes over 127 in the name":  "HTTP/1.1 200 OK\r\nId: 1\r\nX\xe9: 1\r\nContent-Length: 4\r\n\r\nbody",
	"NUL in a value":              "HTTP/1.1 200 OK\r\nId: 1\r\nX-Some: \x00\r\nContent-Length: 4\r\n\r\nbody",
	"carriage return in a value":  "HTTP/1.1 200 OK\r\nId: 1\r\nX-Some: 1\rX: 2\r\nContent-Length: 4\r\n\r\nbody",
	"interim, space in the name":  "HTTP/1.1 103 Early Hints\r\nX Some: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"interim, control byte":       "HTTP/1.1 103 Early Hints\r\nX\x01: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"space after continue":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nX Some: 1\r\nContent-Length: 4\r\n\r\nbody",
}

// TestInvalidFieldInvalidatesResponse guards against responses with a header field whose name or value is not valid, and that are
// delivered, be it without that line.
func TestInvalidFieldInvalidatesResponse(t *testing.T) {
	requireInvalidByPool(t, invalidFields)
	requireInvalidByClient(t, invalidFields)
}

// TestPoolRejectsASwitchOfProtocols guards against a response that switches to another protocol and that is delivered as the
// final response, though no request asks for a switch.
func TestPoolRejectsASwitchOfProtocols(t *testing.T) {
	requireInvalidByPool(t, map[string]string{
		"upgrade":    "HTTP/1.1 101 Switching Protocols\r\nId: 1\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nabc",
		"no upgrade": "HTTP/1.1 101 Switching Protocols\r\nId: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	})
}

// TestInvalidHeadErrorIsShort guards against log lines as long as the head of a response may be.
func TestInvalidHeadErrorIsShort(t *testing.T) {
	err := checkHead(&http.Response{ProtoMajor: 1, Status: "000 " + strings.Repeat("x", defaultMaxHeaderBytes)})
	require.ErrorContains(t, err, `status "000 xxx`)
	require.Less(t, len(err.Error()), 2*maxQuotedLength)
}

// TestTransferEncodingInHTTP10InvalidatesResponse guards against an HTTP/1.0 response with a transfer coding whose chunks are
// delivered as its body. HTTP/1.0 has no codings, so the framing of such a response is faulty (RFC 9112, section 6.1).
func TestTransferEncodingInHTTP10InvalidatesResponse(t *testing.T) {
	responses := map[string]string{
		"length": "HTTP/1.0 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nContent-Length: 14\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	}
	requireInvalidByPool(t, responses)
	requireInvalidByClient(t, responses)
}

// responseTimeout bounds the wait for a response that is there at once.
const responseTimeout = 20 * time.Second

// respondOnce returns a handler that sends the given bytes as the response to a request, and waits until the client closes the
// connection.
func respondOnce(response string) func(c net.Conn, r *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		readRequestID(r)
		_, _ = io.WriteString(c, response)
		waitForClose(c)
	}
}

// requireInvalidByPool checks that a Pool rejects each of the responses at once, and does not use its connection again.
func requireInvalidByPool(t *testing.T, responses map[string]string) {
	for name, response := range responses {
		t.Run("Pool/"+name, func(t *testing.T) {
			s := startScriptedServer(t, respondOnce(response), echoIDs)
			p := NewPool(s.address, PoolOptions{})
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), responseTimeout)
			defer cancel()
			r := requestWithID("1")
			r.Method = http.MethodPost
			resp, err := p.Do(ctx, r)
			var failure *RequestError
			require.ErrorAs(t, err, &failure, "%+v", resp)
			require.NoError(t, ctx.Err(), "the response was rejected, not timed out")
			require.True(t, failure.Sent)
			_, err = p.Do(t.Context(), requestWithID("2"))
			require.NoError(t, err)
			require.Equal(t, 2, s.connectionCount())
		})
	}
}

// requireInvalidByClient is requireInvalidByPool for a Client.
func requireInvalidByClient(t *testing.T, responses map[string]string) {
	for name, response := range responses {
		t.Run("Client/"+name, func(t *testing.T) {
			s := startScriptedServer(t, respondOnce(response), echoIDs)
			c := NewClient(Options{})
			defer c.CloseIdle()
			ctx, cancel := context.WithTimeout(t.Context(), responseTimeout)
			defer cancel()
			r := Request{Address: s.address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"1"}}}
			resp, o, err := c.Do(ctx, r)
			require.Error(t, err, "%+v", resp)
			require.NoError(t, ctx.Err(), "the response was rejected, not timed out")
			require.Equal(t, outcome.UnknownBecause(outcome.ReasonConnectionLost), o)
			resp, _, err = c.Do(t.Context(), r)
			require.NoError(t, err)
			_ = resp.Body.Close()
			require.Equal(t, 2, s.connectionCount())
		})
	}
}
