package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rawUpstream is an upstream that writes the bytes of its responses itself. Its health checks succeed.
type rawUpstream struct {
	id  string
	ran atomic.Int64
	// respond holds a responder. It may be replaced while a hedge of an earlier request still runs.
	respond atomic.Pointer[responder]
}

// responder responds to a request, of which only the headers have been read. The connection is closed then.
type responder func(conn net.Conn, r *http.Request)

func (u *rawUpstream) setResponder(r responder) { u.respond.Store(&r) }

func (u *rawUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	// The kernel does not take a whole upload that is not read.
	_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	for in := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			_, _ = io.WriteString(conn, strings.Replace(healthResponse, "a1", u.id, 1))
			continue
		}
		u.ran.Add(1)
		(*u.respond.Load())(conn, r)
		return
	}
}

// startRaw starts a daemon of service b with the given upstream.
func startRaw(t *testing.T, s *store, u *rawUpstream) *member {
	t.Helper()
	return startReadyWith(t, s, "b", u.id, func(o *Options) { o.Addresses.Upstream = serveConns(t, u.serve) })
}

// startRawPair starts a daemon of service a and one of service b, which has the given upstream.
func startRawPair(t *testing.T, u *rawUpstream) map[string]*member {
	t.Helper()
	s := newStore(documentOf(1, "b"))
	a, b := startReady(t, s, "a", "a1"), startRaw(t, s, u)
	a.waitForCandidates(t, "b", 1)
	b.waitForCandidates(t, "b", 1)
	return map[string]*member{"two daemons": a, "one daemon": b}
}

// upload is a body that the buffers of a connection do not hold.
var upload = strings.Repeat("x", 6<<20)

// breakOff sends a part of a response without a length, and resets the connection after a while.
func breakOff(statusLine string, after time.Duration) responder {
	return func(conn net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(conn, "%s\r\nT-Id: %s\r\nT-Seal: seal of b1\r\n\r\npart of an answer", statusLine, r.Header.Get("T-Id"))
		time.Sleep(after)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// TestResponseBrokenOffDuringUploadIsNoAnswer guards against a part of a response that reaches the caller as a whole one: the
// upstream responds to a long upload at once, without a length, and resets the connection while the upload is being written.
func TestResponseBrokenOffDuringUploadIsNoAnswer(t *testing.T) {
	up := &rawUpstream{id: "b1"}
	members := startRawPair(t, up)
	for _, statusLine := range []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 404 Not Found", "HTTP/1.1 500 Internal Server Error"} {
		for _, after := range []time.Duration{0, 5 * time.Millisecond, 60 * time.Millisecond} {
			up.setResponder(breakOff(statusLine, after))
			for name, m := range members {
				t.Run(fmt.Sprintf("%s, %s, reset after %s", name, statusLine, after), func(t *testing.T) {
					for range 3 {
						ranBefore := up.ran.Load()
						status, body := m.uploadUntilAcknowledged(t, "/unsafe/", upload)
						require.Equal(t, http.StatusBadGateway, status, body)
						require.Equal(t, ranBefore+1, up.ran.Load(), "it may have run, so it is not sent again")
					}
				})
			}
		}
	}
}

// TestResponseBrokenOffDuringUploadIsRetried sends uploads to a route whose requests may run more than once. A response that
// breaks off must not keep the caller from that of another upstream.
func TestResponseBrokenOffDuringUploadIsRetried(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a := startReady(t, s, "a", "a1")
	broken := &rawUpstream{id: "b1"}
	broken.setResponder(breakOff("HTTP/1.1 200 OK", 0))
	startRaw(t, s, broken)
	startReady(t, s, "b", "b2")
	a.waitForCandidates(t, "b", 2)
	a.allowRetries()
	const minRequests, maxRequests = 6, 100
	for n := 0; n < minRequests || broken.ran.Load() == 0; n++ {
		require.Less(t, n, maxRequests, "no request was sent to b1")
		status, body := a.uploadUntilAcknowledged(t, "/safe/", upload)
		require.Equal(t, http.StatusOK, status, body)
		require.Equal(t, "answer of b2", body)
	}
}

// TestEarlyResponsesThatEndInOrderAreDelivered checks that a response to an upload that is not read yet is delivered if it is
// whole: it has a length, or the upstream ends its connection in order.
func TestEarlyResponsesThatEndInOrderAreDelivered(t *testing.T) {
	up := &rawUpstream{id: "b1"}
	members := startRawPair(t, up)
	for name, c := range map[string]struct {
		framing string
		end     func(net.Conn)
	}{
		"length": {"Content-Length: 12\r\n", func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }},
		"end of the stream": {"", func(conn net.Conn) {
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}},
	} {
		up.setResponder(func(conn net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: seal of b1\r\n%s\r\nwhole answer", r.Header.Get("T-Id"), c.framing)
			c.end(conn)
		})
		for from, m := range members {
			status, body := m.uploadUntilAcknowledged(t, "/unsafe/", upload)
			require.Equal(t, http.StatusOK, status, "%s, %s: %s", name, from, body)
			require.Equal(t, "whole answer", body)
		}
	}
}

// respondWith sends a response, in which each %[1]s stands for the id of the request.
func respondWith(response string) responder {
	return func(conn net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(conn, response, r.Header.Get("T-Id"))
		_, _ = io.Copy(io.Discard, conn)
	}
}

// wholeResponse is a response that a daemon delivers.
const wholeResponse = "HTTP/1.1 200 OK\r\nT-Id: %[1]s\r\nT-Seal: s\r\nContent-Length: 4\r\n\r\nbody"

// invalidStatuses are responses whose status is not valid.
var invalidStatuses = map[string]string{
	"000":                  "HTTP/1.1 000 None\r\nT-Id: %[1]s\r\nT-Seal: s\r\nContent-Length: 4\r\n\r\nbody",
	"000, then a response": "HTTP/1.1 000 None\r\nT-Id: %[1]s\r\n\r\n" + wholeResponse,
	"000, not run":         "HTTP/1.1 000 None\r\nT-Id: %[1]s\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"099, then a response": "HTTP/1.1 099 None\r\nT-Id: %[1]s\r\n\r\n" + wholeResponse,
	"600":                  "HTTP/1.1 600 None\r\nT-Id: %[1]s\r\nT-Seal: s\r\nContent-Length: 4\r\n\r\nbody",
	"999":                  "HTTP/1.1 999 None\r\nT-Id: %[1]s\r\nT-Seal: s\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/2":               "HTTP/2.0 200 OK\r\nT-Id: %[1]s\r\nT-Seal: s\r\nContent-Length: 4\r\n\r\nbody",
	"control character":    "HTTP/1.1 503 \x01\r\nT-Id: %[1]s\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
}

// TestInvalidStatusIsNoAnswer guards against responses without a valid status that reach callers, or from which the caller gets
// what follows their head.
func TestInvalidStatusIsNoAnswer(t *testing.T) { requireNoAnswers(t, invalidStatuses) }

// invalidFields are responses with a header field that is not valid.
var invalidFields = map[string]string{
	"space in the name":             "HTTP/1.1 200 OK\r\nT-Id: %[1]s\r\nT-Seal: s\r\nX Some: 1\r\nContent-Length: 4\r\n\r\nbody",
	"space before the colon":        "HTTP/1.1 200 OK\r\nT-Id: %[1]s\r\nT-Seal: s\r\nContent-Length: 4\r\nX-Some : 1\r\n\r\nbody",
	"space after the length":        "HTTP/1.1 200 OK\r\nT-Id: %[1]s\r\nT-Seal: s\r\nContent-Length : 9\r\nContent-Length: 4\r\n\r\nbody and",
	"space after the coding":        "HTTP/1.1 200 OK\r\nT-Id: %[1]s\r\nT-Seal: s\r\nTransfer-Encoding : chunked\r\nContent-Length: 9\r\n\r\n4\r\nbody\r\n",
	"space after the encoding":      "HTTP/1.1 200 OK\r\nT-Id: %[1]s\r\nT-Seal: s\r\nContent-Encoding : gzip\r\nContent-Length: 4\r\n\r\nbody",
	"space, not run":                "HTTP/1.1 503 Service Unavailable\r\nT-Id: %[1]s\r\nT-Not-Run: 1\r\nX Some: 1\r\nContent-Length: 0\r\n\r\n",
	"space, failure":                "HTTP/1.1 500 Internal Server Error\r\nT-Id: %[1]s\r\nX Some: 1\r\nContent-Length: 4\r\n\r\nbody",
	"space in an interim response":  "HTTP/1.1 103 Early Hints\r\nX Some: 1\r\n\r\n" + wholeResponse,
	"control byte in the name":      "HTTP/1.1 200 OK\r\nT-Id: %[1]s\r\nT-Seal: s\r\nX\x01: 1\r\nContent-Length: 4\r\n\r\nbody",
	"carriage return in the name":   "HTTP/1.1 200 OK\r\nT-Id: %[1]s\r\nT-Seal: s\r\nX\rSome: 1\r\nContent-Length: 4\r\n\r\nbody",
	"control byte in another value": "HTTP/1.1 200 OK\r\nT-Id: %[1]s\r\nT-Seal: s\r\nX: \x00\r\nContent-Length: 4\r\n\r\nbody",
}

// TestInvalidFieldIsNoAnswer guards against responses with an invalid header field that reach callers, with that field or with a
// body that is not the upstream's.
func TestInvalidFieldIsNoAnswer(t *testing.T) { requireNoAnswers(t, invalidFields) }

// TestSwitchOfProtocolsIsNoAnswer guards against a response that switches to another protocol and that reaches the caller, though
// the request did not ask for a switch. The caller waits for a final response, or takes what follows for another protocol.
func TestSwitchOfProtocolsIsNoAnswer(t *testing.T) {
	requireNoAnswers(t, map[string]string{
		"upgrade":    "HTTP/1.1 101 Switching Protocols\r\nT-Id: %[1]s\r\nT-Seal: s\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nabc",
		"no upgrade": "HTTP/1.1 101 Switching Protocols\r\nT-Id: %[1]s\r\nT-Seal: s\r\n\r\n" + wholeResponse,
	})
}

// requireNoAnswers has the upstream send each of the responses. The outcome of a request that must not run twice is unknown then,
// and it is not sent again. Any other request gets the response of another upstream.
func requireNoAnswers(t *testing.T, responses map[string]string) {
	up := &rawUpstream{id: "b1"}
	members := startRawPair(t, up)
	for name, response := range responses {
		up.setResponder(respondWith(response))
		for from, m := range members {
			t.Run(name+", "+from, func(t *testing.T) {
				ranBefore := up.ran.Load()
				status, body := m.postUntilAcknowledged(t, "/unsafe/")
				require.Equal(t, http.StatusBadGateway, status, body)
				require.Equal(t, ranBefore+1, up.ran.Load())
			})
		}
	}
	other := startReady(t, members["one daemon"].source.store, "b", "b2")
	for name, response := range responses {
		up.setResponder(respondWith(response))
		for from, m := range members {
			m.waitForCandidates(t, "b", 2)
			m.allowRetries()
			t.Run("another upstream, "+name+", "+from, func(t *testing.T) {
				for range 3 {
					status, body := m.get(t, "/safe/")
					require.Equal(t, http.StatusOK, status, body)
					require.Equal(t, "answer of b2", body)
				}
			})
		}
	}
	require.NotEmpty(t, other.upstream.requests())
}

// TestInvalidHeadOfAHealthResponseStatesNothing guards against health responses whose head is not valid and that are believed.
func TestInvalidHeadOfAHealthResponseStatesNothing(t *testing.T) {
	for name, response := range map[string]string{
		"status 000, then a response": "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\nT-Instance: b1\r\nContent-Length: 0\r\n\r\n",
		"protocol":                    "HTTP/2.0 200 OK\r\nT-Instance: b1\r\nContent-Length: 0\r\n\r\n",
		"space in a name":             "HTTP/1.1 200 OK\r\nT-Instance: b1\r\nX Some: 1\r\nContent-Length: 0\r\n\r\n",
		"control byte in a name":      "HTTP/1.1 200 OK\r\nT-Instance: b1\r\nX\x01: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			m := startReadyWith(t, newStore(documentOf(1, "b")), "b", "b1", func(o *Options) {
				o.Addresses.Upstream = serveConns(t, func(conn net.Conn) {
					defer func() { _ = conn.Close() }()
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						_, _ = io.WriteString(conn, response)
					}
				})
			})
			info, healthy := m.guard.checkHealth(waitLimit, false)
			require.False(t, healthy)
			require.Equal(t, ResponseInfo{}, info)
		})
	}
}
