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
	id string
	// respond responds to a request, of which only the headers have been read. The connection is closed then.
	respond func(conn net.Conn, r *http.Request)
	ran     atomic.Int64
}

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
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nT-Instance: %s\r\nT-Slow: 1\r\nContent-Length: 0\r\n\r\n", u.id)
			continue
		}
		u.ran.Add(1)
		u.respond(conn, r)
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
func breakOff(statusLine string, after time.Duration) func(net.Conn, *http.Request) {
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
			up.respond = breakOff(statusLine, after)
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
	broken := &rawUpstream{id: "b1", respond: breakOff("HTTP/1.1 200 OK", 0)}
	startRaw(t, s, broken)
	startReady(t, s, "b", "b2")
	a.waitForCandidates(t, "b", 2)
	a.allowRetries()
	for range 6 {
		status, body := a.uploadUntilAcknowledged(t, "/safe/", upload)
		require.Equal(t, http.StatusOK, status, body)
		require.Equal(t, "answer of b2", body)
	}
	require.Positive(t, broken.ran.Load())
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
		up.respond = func(conn net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: seal of b1\r\n%s\r\nwhole answer", r.Header.Get("T-Id"), c.framing)
			c.end(conn)
		}
		for from, m := range members {
			status, body := m.uploadUntilAcknowledged(t, "/unsafe/", upload)
			require.Equal(t, http.StatusOK, status, "%s, %s: %s", name, from, body)
			require.Equal(t, "whole answer", body)
		}
	}
}
