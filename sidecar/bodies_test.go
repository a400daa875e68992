package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
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

// endlessUpstream is the upstream with the given id. It answers requests for a path that contains "endless" with a body
// without end, and others with a short one.
func endlessUpstream(id string, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in, junk := bufio.NewReader(conn), make([]byte, 8<<10)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		switch {
		case r.URL.Path == "/health":
			_, _ = io.WriteString(conn, strings.Replace(healthResponse, "a1", id, 1))
		case strings.Contains(r.URL.Path, "endless"):
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: s\r\n\r\n", r.Header.Get("T-Id"))
			for err == nil {
				_, err = conn.Write(junk)
			}
		default:
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: s\r\nContent-Length: 5\r\n\r\nshort", r.Header.Get("T-Id"))
		}
	}
}

// postUntilAcknowledged sends a request, again for as long as it has not run because the daemon of the upstream did not
// acknowledge it within ackTimeout. On a busy machine it may not do so in time.
func (m *member) postUntilAcknowledged(t *testing.T, path string) (int, string) {
	return m.uploadUntilAcknowledged(t, path, "pay")
}

// uploadUntilAcknowledged is postUntilAcknowledged for a request with the given body.
func (m *member) uploadUntilAcknowledged(t *testing.T, path, requestBody string) (int, string) {
	for end := time.Now().Add(waitLimit); ; {
		resp, body := m.sendRequest(t, http.MethodPost, path, requestBody)
		notAcknowledged := body == string(outcome.ReasonWithdrawn)+"\n" || body == string(outcome.ReasonNoUpstream)+"\n"
		if resp.StatusCode != http.StatusServiceUnavailable || !notAcknowledged || time.Now().After(end) {
			return resp.StatusCode, body
		}
	}
}

// TestEndlessResponsesLeaveOthersServed guards against responses without end that take the memory of the daemons. Their
// requests end with an unknown outcome, whichever daemon they come through, and others are served meanwhile.
func TestEndlessResponsesLeaveOthersServed(t *testing.T) {
	const limit, endlessRequests, others = 4 << 20, 6, 50
	s := newStore(documentOf(1, "b"))
	start := func(service model.ServiceName, id string) *member {
		return startReadyWith(t, s, service, id, func(o *Options) {
			o.MaxResponseBytes = limit
			o.Addresses.Upstream = serveConns(t, func(conn net.Conn) { endlessUpstream(id, conn) })
		})
	}
	a, b := start("a", "a1"), start("b", "b1")
	a.waitForCandidates(t, "b", 1)
	stop, watched := make(chan struct{}), make(chan int64)
	go func() {
		var most int64
		for {
			most = max(most, a.responses.Used(), b.responses.Used())
			select {
			case <-stop:
				watched <- most
				return
			case <-time.After(100 * time.Microsecond):
			}
		}
	}()
	var wg sync.WaitGroup
	for i := range endlessRequests {
		for _, m := range []*member{a, b} {
			for _, path := range []string{"/unsafe/endless", "/safe/endless"} {
				wg.Go(func() {
					status, body := m.postUntilAcknowledged(t, path)
					assert.Equal(t, http.StatusBadGateway, status, "%s %d", path, i)
					assert.Equal(t, "response-too-large\n", body)
				})
			}
		}
	}
	for range others {
		for _, m := range []*member{a, b} {
			status, body := m.postUntilAcknowledged(t, "/unsafe/short")
			assert.Equal(t, http.StatusOK, status, body)
		}
	}
	wg.Wait()
	close(stop)
	require.LessOrEqual(t, <-watched, int64(limit))
	eventually(t, "all memory is returned", func() bool { return a.responses.Used()+b.responses.Used() == 0 })
	require.Zero(t, b.guard.attempts.retainedBytes.Load()-int64(len("short")*2*others), "only short responses are kept")
}

// TestSlowCallersHoldResponseMemory guards against responses that are no longer counted while their callers have yet to
// read them.
func TestSlowCallersHoldResponseMemory(t *testing.T) {
	const size = 8 << 20
	m := startReady(t, newStore(documentOf(1, "a")), "a", "a1")
	m.upstream.setHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) })
	c := dialCallers(t, m)
	c.sendWithDeadline(t, "slow", "4000")
	eventually(t, "the response is in hand", func() bool { return m.responses.Used() >= size })
	resp, err := c.readResponse()
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	eventually(t, "its memory is returned", func() bool { return m.responses.Used() == 0 })
}

// TestEndlessHealthResponsesAreCutOff guards against a health check that reads without end, and holds memory, until its
// timeout.
func TestEndlessHealthResponsesAreCutOff(t *testing.T) {
	const maxSent = 16 << 20
	sent := make(chan int, 1)
	m := startReadyWith(t, newStore(documentOf(1, "a")), "a", "a1", func(o *Options) {
		o.Addresses.Upstream = serveConns(t, func(conn net.Conn) {
			defer func() { _ = conn.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			_, _ = io.WriteString(conn, strings.TrimSuffix(healthResponse, "Content-Length: 0\r\n\r\n")+"\r\n")
			junk, n := make([]byte, 8<<10), 0
			for n < maxSent {
				written, err := conn.Write(junk)
				n += written
				if err != nil {
					break
				}
			}
			sent <- n
		})
	})
	_, healthy := m.guard.checkHealth(waitLimit, false)
	require.False(t, healthy)
	require.Less(t, <-sent, maxSent)
}
