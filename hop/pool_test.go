package hop

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/loopback"
)

// scriptedServer is a test server with a handler per connection.
type scriptedServer struct {
	address       string
	mu            sync.Mutex
	acceptedCount int
}

// startScriptedServer starts a server that handles its first connection with
// the first handler, its second with the second, and so on. The last handler
// handles all further connections.
func startScriptedServer(t *testing.T, handlers ...func(c net.Conn, r *bufio.Reader)) *scriptedServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := &scriptedServer{address: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			handle := handlers[min(s.acceptedCount, len(handlers)-1)]
			s.acceptedCount++
			s.mu.Unlock()
			go func() {
				defer func() { _ = c.Close() }()
				handle(c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

// connectionCount returns the number of connections accepted so far.
func (s *scriptedServer) connectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acceptedCount
}

// readRequestID reads one request and returns its Id header. It returns an empty
// string when no request can be read, as on a closed connection.
func readRequestID(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req.Header.Get("Id")
}

// writeResponse writes a response with an Id header and a body.
func writeResponse(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// echoIDs responds to every request with the Id of the request, until the
// connection is closed.
func echoIDs(c net.Conn, r *bufio.Reader) {
	for id := readRequestID(r); id != ""; id = readRequestID(r) {
		writeResponse(c, id, "body of "+id)
	}
}

// waitForClose waits until the client closes the connection.
func waitForClose(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// requestWithID returns a request that accepts only a response with its own Id.
func requestWithID(id string) PoolRequest {
	return PoolRequest{
		Method: http.MethodGet, Target: "/x?y=1", Host: "h", Header: http.Header{"Id": {id}},
		Accept: func(r *http.Response) bool { return r.Header.Get("Id") == id },
	}
}

func TestPoolReusesConnections(t *testing.T) {
	s := startScriptedServer(t, echoIDs)
	p := NewPool(s.address, PoolOptions{})
	defer p.Close()
	for i := range 5 {
		id := fmt.Sprint(i)
		resp, err := p.Do(t.Context(), requestWithID(id))
		require.NoError(t, err)
		require.Equal(t, "body of "+id, string(resp.Body))
	}
	require.Equal(t, 1, s.connectionCount())
}

// TestPoolMatchesResponsesToRequests has the first connection deliver a second
// response to a request, stray bytes, or a response that ends the connection.
// The next request must still get its own response.
func TestPoolMatchesResponsesToRequests(t *testing.T) {
	for name, c := range map[string]struct {
		// handleFirstConn handles the first connection.
		handleFirstConn func(c net.Conn, r *bufio.Reader)
		// wantConnections is the number of connections that the two requests use
		// together.
		wantConnections int
	}{
		"second response at once": {func(c net.Conn, r *bufio.Reader) {
			readRequestID(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\nb")
			waitForClose(c)
		}, 2},
		"second response after the next request": {func(c net.Conn, r *bufio.Reader) {
			writeResponse(c, readRequestID(r), "a")
			id := readRequestID(r)
			writeResponse(c, "1", "unsolicited")
			writeResponse(c, id, "own")
			waitForClose(c)
		}, 1},
		"bytes that are not HTTP": {func(c net.Conn, r *bufio.Reader) {
			writeResponse(c, readRequestID(r), "a")
			_, _ = io.WriteString(c, "\x00\x01junk")
			waitForClose(c)
		}, 2},
		"no Content-Length": {func(c net.Conn, r *bufio.Reader) {
			readRequestID(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nunframed")
		}, 2},
		"Connection: close": {func(c net.Conn, r *bufio.Reader) {
			readRequestID(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 1\r\n\r\na")
			waitForClose(c)
		}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := startScriptedServer(t, c.handleFirstConn, echoIDs)
			p := NewPool(s.address, PoolOptions{})
			defer p.Close()
			_, err := p.Do(t.Context(), requestWithID("1"))
			require.NoError(t, err)
			waitForReadable(p)
			resp, err := p.Do(t.Context(), requestWithID("2"))
			require.NoError(t, err)
			require.Equal(t, "2", resp.Header.Get("Id"))
			require.Equal(t, c.wantConnections, s.connectionCount())
		})
	}
}

// waitForReadable waits until the server has sent data on the idle connection or
// has closed it, at most for 100ms.
func waitForReadable(p *Pool) {
	for deadline := time.Now().Add(100 * time.Millisecond); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		p.mu.Lock()
		wouldBlock := len(p.idle) > 0 && p.idle[0].readWouldBlock()
		p.mu.Unlock()
		if !wouldBlock {
			return
		}
	}
}

// TestPoolReportsProgressOfFailedRequest checks that a failed request reports
// whether it was sent and whether its response had started. Only a request that
// was not sent may be reported to the caller as not run.
func TestPoolReportsProgressOfFailedRequest(t *testing.T) {
	for name, c := range map[string]struct {
		handle                        func(c net.Conn, r *bufio.Reader)
		wantSent, wantResponseStarted bool
	}{
		"closed without a response": {func(_ net.Conn, r *bufio.Reader) { readRequestID(r) }, true, false},
		"closed within the body": {func(c net.Conn, r *bufio.Reader) {
			readRequestID(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf")
		}, true, true},
		"reset within a body without Content-Length": {func(c net.Conn, r *bufio.Reader) {
			readRequestID(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf")
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}, true, true},
		"not HTTP": {func(c net.Conn, r *bufio.Reader) {
			readRequestID(r)
			_, _ = io.WriteString(c, "what\r\n\r\n")
		}, true, false},
		"only responses to other requests": {func(c net.Conn, r *bufio.Reader) {
			readRequestID(r)
			for range 5 {
				writeResponse(c, "other", "x")
			}
			waitForClose(c)
		}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := startScriptedServer(t, c.handle)
			p := NewPool(s.address, PoolOptions{})
			defer p.Close()
			_, err := p.Do(t.Context(), requestWithID("1"))
			var failure *RequestError
			require.ErrorAs(t, err, &failure)
			require.Equal(t, c.wantSent, failure.Sent)
			require.Equal(t, c.wantResponseStarted, failure.ResponseStarted)
			require.Equal(t, 1, s.connectionCount(), "the request must be sent once")
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		unused, err := loopback.UnusedAddress()
		require.NoError(t, err)
		_, err = NewPool(unused, PoolOptions{}).Do(t.Context(), requestWithID("1"))
		var failure *RequestError
		require.ErrorAs(t, err, &failure)
		require.False(t, failure.Sent)
	})
}

// TestPoolSkipsClosedConnections checks that a connection closed by the server
// is not reused.
func TestPoolSkipsClosedConnections(t *testing.T) {
	closed := make(chan struct{})
	s := startScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		writeResponse(c, readRequestID(r), "a")
		_ = c.Close()
		close(closed)
	}, echoIDs)
	p := NewPool(s.address, PoolOptions{})
	defer p.Close()
	_, err := p.Do(t.Context(), requestWithID("1"))
	require.NoError(t, err)
	<-closed
	waitForReadable(p)
	_, err = p.Do(t.Context(), requestWithID("2"))
	require.NoError(t, err)
	require.Equal(t, 2, s.connectionCount())
}

// TestPoolReusesConnectionOnlyWithinMaxIdleTime checks that a request reuses a
// connection only if that was idle for at most MaxIdleTime, and never if
// MaxIdleTime is negative.
func TestPoolReusesConnectionOnlyWithinMaxIdleTime(t *testing.T) {
	s := startScriptedServer(t, echoIDs)
	p := NewPool(s.address, PoolOptions{})
	defer p.Close()
	do := func(maxIdle time.Duration) {
		req := requestWithID("1")
		req.MaxIdleTime = maxIdle
		_, err := p.Do(t.Context(), req)
		require.NoError(t, err)
	}
	do(0)
	do(time.Hour)
	require.Equal(t, 1, s.connectionCount())
	time.Sleep(2 * time.Millisecond)
	do(time.Nanosecond)
	require.Equal(t, 2, s.connectionCount(), "the connection was idle for too long")
	do(-1)
	require.Equal(t, 3, s.connectionCount(), "a new connection was required")
}

func TestParseKeepAlive(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"timeout=5":        5 * time.Second,
		"max=9, Timeout=2": 2 * time.Second,
		"timeout=0":        0,
		"timeout=x":        -1,
		"":                 -1,
	} {
		got, ok := parseKeepAlive(header)
		require.Equal(t, want >= 0, ok, header)
		if ok {
			require.Equal(t, want, got, header)
		}
	}
}

func TestPoolCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	s := startScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequestID(r)
		waitForClose(c)
		close(closed)
	})
	p := NewPool(s.address, PoolOptions{})
	defer p.Close()
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	_, err := p.Do(ctx, requestWithID("1"))
	require.ErrorIs(t, err, context.Canceled)
	<-closed
}

// TestPoolReadsEarlyResponse has a server respond before the whole body was
// sent. The response is delivered, and the connection is not reused.
func TestPoolReadsEarlyResponse(t *testing.T) {
	s := startScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = r.ReadString('\n')
		writeResponse(c, "1", "early")
		time.Sleep(50 * time.Millisecond)
	}, echoIDs)
	p := NewPool(s.address, PoolOptions{})
	defer p.Close()
	req := requestWithID("1")
	req.Method, req.Body = http.MethodPost, []byte(strings.Repeat("x", 32<<20))
	resp, err := p.Do(t.Context(), req)
	require.NoError(t, err)
	require.Equal(t, "early", string(resp.Body))
	_, err = p.Do(t.Context(), requestWithID("2"))
	require.NoError(t, err)
	require.Equal(t, 2, s.connectionCount())
}

// TestPoolFailsAtMaxConns checks that a request fails at once while another one uses
// the only connection that MaxConns allows.
func TestPoolFailsAtMaxConns(t *testing.T) {
	s := startScriptedServer(t, func(c net.Conn, r *bufio.Reader) { readRequestID(r); waitForClose(c) })
	p := NewPool(s.address, PoolOptions{MaxConns: 1})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _, _ = p.Do(ctx, requestWithID("1")) }()
	require.Eventually(t, func() bool { return s.connectionCount() == 1 }, 5*time.Second, time.Millisecond)
	_, err := p.Do(t.Context(), requestWithID("2"))
	require.ErrorIs(t, err, errPoolFull)
	cancel()
	<-done
}

// TestPoolReportsInformationalResponses checks that a sender learns from a 1xx
// response that its request arrived, before the final response.
func TestPoolReportsInformationalResponses(t *testing.T) {
	s := startScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		id := readRequestID(r)
		_, _ = io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n")
		writeResponse(c, id, "a")
	})
	p := NewPool(s.address, PoolOptions{})
	defer p.Close()
	calls := 0
	req := requestWithID("1")
	req.OnInformational = func() { calls++ }
	_, err := p.Do(t.Context(), req)
	require.NoError(t, err)
	require.Equal(t, 1, calls)
}

// TestLargeBodyIsWrittenConcurrently sends bodies that are written while the
// response is read. It is meant to be run with the race detector.
func TestLargeBodyIsWrittenConcurrently(t *testing.T) {
	s := startScriptedServer(t, echoIDs)
	p := NewPool(s.address, PoolOptions{})
	defer p.Close()
	for i := range 500 {
		id := fmt.Sprint("r", i)
		resp, err := p.Do(t.Context(), PoolRequest{
			Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {id}},
			Body: make([]byte, maxInlineBodyBytes+1+i),
		})
		require.NoError(t, err)
		require.Equal(t, "body of "+id, string(resp.Body))
	}
}
