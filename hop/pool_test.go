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

// script is a server that plays one function a connection, in order; the last one
// is played for all further connections.
type script struct {
	address string
	mu      sync.Mutex
	conns   int
}

func play(t *testing.T, parts ...func(c net.Conn, r *bufio.Reader)) *script {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := &script{address: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			part := parts[min(s.conns, len(parts)-1)]
			s.conns++
			s.mu.Unlock()
			go func() {
				defer func() { _ = c.Close() }()
				part(c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

func (s *script) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// request reads one request and returns its id; empty at the end.
func request(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req.Header.Get("Id")
}

func answer(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// echo answers every request with its id.
func echo(c net.Conn, r *bufio.Reader) {
	for id := request(r); id != ""; id = request(r) {
		answer(c, id, "body of "+id)
	}
}

// until waits for the other side to close.
func until(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

func exchangeOf(id string) PoolRequest {
	return PoolRequest{
		Method: http.MethodGet, Target: "/x?y=1", Host: "h", Header: http.Header{"Id": {id}},
		Accept: func(r *http.Response) bool { return r.Header.Get("Id") == id },
	}
}

func TestPoolReusesConnections(t *testing.T) {
	s := play(t, echo)
	p := NewPool(s.address, PoolOptions{})
	defer p.Close()
	for i := range 5 {
		id := fmt.Sprint(i)
		reply, err := p.Do(t.Context(), exchangeOf(id))
		require.NoError(t, err)
		require.Equal(t, "body of "+id, string(reply.Body))
	}
	require.Equal(t, 1, s.connections())
}

// TestPoolKeepsAnswersApart holds what comes on a connection to the request that
// it belongs to.
func TestPoolKeepsAnswersApart(t *testing.T) {
	for name, c := range map[string]struct {
		first func(c net.Conn, r *bufio.Reader)
		// conns is how many connections two requests take.
		conns int
	}{
		"a second answer at once": {func(c net.Conn, r *bufio.Reader) {
			request(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\nb")
			until(c)
		}, 2},
		"a second answer when the next request comes": {func(c net.Conn, r *bufio.Reader) {
			answer(c, request(r), "a")
			id := request(r)
			answer(c, "1", "stray")
			answer(c, id, "own")
			until(c)
		}, 1},
		"bytes that are no answer": {func(c net.Conn, r *bufio.Reader) {
			answer(c, request(r), "a")
			_, _ = io.WriteString(c, "\x00\x01junk")
			until(c)
		}, 2},
		"no length": {func(c net.Conn, r *bufio.Reader) {
			request(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nunframed")
		}, 2},
		"told to close": {func(c net.Conn, r *bufio.Reader) {
			request(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 1\r\n\r\na")
			until(c)
		}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := play(t, c.first, echo)
			p := NewPool(s.address, PoolOptions{})
			defer p.Close()
			_, err := p.Do(t.Context(), exchangeOf("1"))
			require.NoError(t, err)
			settle(p)
			reply, err := p.Do(t.Context(), exchangeOf("2"))
			require.NoError(t, err)
			require.Equal(t, "2", reply.Header.Get("Id"))
			require.Equal(t, c.conns, s.connections())
		})
	}
}

// settle gives what the other side sends after an answer the time to arrive.
func settle(p *Pool) {
	for end := time.Now().Add(100 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		p.mu.Lock()
		quiet := len(p.idle) > 0 && p.idle[0].quiet()
		p.mu.Unlock()
		if !quiet {
			return
		}
	}
}

// TestPoolTellsHowFarItCame checks the proof that a request was not sent, which
// callers are told.
func TestPoolTellsHowFarItCame(t *testing.T) {
	for name, c := range map[string]struct {
		part        func(c net.Conn, r *bufio.Reader)
		sent, begun bool
	}{
		"closed without an answer": {func(_ net.Conn, r *bufio.Reader) { request(r) }, true, false},
		"cut short": {func(c net.Conn, r *bufio.Reader) {
			request(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf")
		}, true, true},
		"reset without a length": {func(c net.Conn, r *bufio.Reader) {
			request(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf")
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}, true, true},
		"not the protocol": {func(c net.Conn, r *bufio.Reader) {
			request(r)
			_, _ = io.WriteString(c, "what\r\n\r\n")
		}, true, false},
		"only answers to others": {func(c net.Conn, r *bufio.Reader) {
			request(r)
			for range 5 {
				answer(c, "other", "x")
			}
			until(c)
		}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := play(t, c.part)
			p := NewPool(s.address, PoolOptions{})
			defer p.Close()
			_, err := p.Do(t.Context(), exchangeOf("1"))
			var lost *RequestError
			require.ErrorAs(t, err, &lost)
			require.Equal(t, c.sent, lost.Sent)
			require.Equal(t, c.begun, lost.ResponseStarted)
			require.Equal(t, 1, s.connections(), "it is sent once")
		})
	}
	t.Run("nobody listens", func(t *testing.T) {
		nobody, err := loopback.UnusedAddress()
		require.NoError(t, err)
		_, err = NewPool(nobody, PoolOptions{}).Do(t.Context(), exchangeOf("1"))
		var lost *RequestError
		require.ErrorAs(t, err, &lost)
		require.False(t, lost.Sent)
	})
}

func TestPoolLeavesClosedConnections(t *testing.T) {
	closed := make(chan struct{})
	s := play(t, func(c net.Conn, r *bufio.Reader) {
		answer(c, request(r), "a")
		_ = c.Close()
		close(closed)
	}, echo)
	p := NewPool(s.address, PoolOptions{})
	defer p.Close()
	_, err := p.Do(t.Context(), exchangeOf("1"))
	require.NoError(t, err)
	<-closed
	settle(p)
	_, err = p.Do(t.Context(), exchangeOf("2"))
	require.NoError(t, err)
	require.Equal(t, 2, s.connections())
}

func TestPoolMaxIdle(t *testing.T) {
	s := play(t, echo)
	p := NewPool(s.address, PoolOptions{})
	defer p.Close()
	do := func(maxIdle time.Duration) {
		x := exchangeOf("1")
		x.MaxIdleTime = maxIdle
		_, err := p.Do(t.Context(), x)
		require.NoError(t, err)
	}
	do(0)
	do(time.Hour)
	require.Equal(t, 1, s.connections())
	time.Sleep(2 * time.Millisecond)
	do(time.Nanosecond)
	require.Equal(t, 2, s.connections(), "idle for too long")
	do(-1)
	require.Equal(t, 3, s.connections(), "a new one was asked for")
}

func TestPoolHeedsKeepAlive(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"timeout=5":        5 * time.Second,
		"max=9, Timeout=2": 2 * time.Second,
		"timeout=0":        0,
		"timeout=x":        -1,
		"":                 -1,
	} {
		got, ok := keepAlive(header)
		require.Equal(t, want >= 0, ok, header)
		if ok {
			require.Equal(t, want, got, header)
		}
	}
}

func TestPoolCancels(t *testing.T) {
	gone := make(chan struct{})
	s := play(t, func(c net.Conn, r *bufio.Reader) {
		request(r)
		until(c)
		close(gone)
	})
	p := NewPool(s.address, PoolOptions{})
	defer p.Close()
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	_, err := p.Do(ctx, exchangeOf("1"))
	require.ErrorIs(t, err, context.Canceled)
	<-gone
}

// TestPoolSeesAnEarlyAnswer answers an upstream that rejects a long body before
// it is in: the answer counts, the connection is not used again.
func TestPoolSeesAnEarlyAnswer(t *testing.T) {
	s := play(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = r.ReadString('\n')
		answer(c, "1", "early")
		time.Sleep(50 * time.Millisecond)
	}, echo)
	p := NewPool(s.address, PoolOptions{})
	defer p.Close()
	x := exchangeOf("1")
	x.Method, x.Body = http.MethodPost, []byte(strings.Repeat("x", 32<<20))
	reply, err := p.Do(t.Context(), x)
	require.NoError(t, err)
	require.Equal(t, "early", string(reply.Body))
	_, err = p.Do(t.Context(), exchangeOf("2"))
	require.NoError(t, err)
	require.Equal(t, 2, s.connections())
}

func TestPoolMaxConns(t *testing.T) {
	s := play(t, func(c net.Conn, r *bufio.Reader) { request(r); until(c) })
	p := NewPool(s.address, PoolOptions{MaxConns: 1})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _, _ = p.Do(ctx, exchangeOf("1")) }()
	require.Eventually(t, func() bool { return s.connections() == 1 }, 5*time.Second, time.Millisecond)
	_, err := p.Do(t.Context(), exchangeOf("2"))
	require.ErrorIs(t, err, errFull)
	cancel()
	<-done
}

// TestPoolTellsOfInformationalResponses lets senders know that a request has
// arrived before it is answered.
func TestPoolTellsOfInformationalResponses(t *testing.T) {
	s := play(t, func(c net.Conn, r *bufio.Reader) {
		id := request(r)
		_, _ = io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n")
		answer(c, id, "a")
	})
	p := NewPool(s.address, PoolOptions{})
	defer p.Close()
	informed := 0
	x := exchangeOf("1")
	x.OnInformational = func() { informed++ }
	_, err := p.Do(t.Context(), x)
	require.NoError(t, err)
	require.Equal(t, 1, informed)
}

// TestLargeBodyIsWrittenBesideTheWait has the race detector look at bodies that are
// written while the response is waited for.
func TestLargeBodyIsWrittenBesideTheWait(t *testing.T) {
	s := play(t, echo)
	p := NewPool(s.address, PoolOptions{})
	defer p.Close()
	for i := range 500 {
		id := fmt.Sprint("r", i)
		reply, err := p.Do(t.Context(), PoolRequest{
			Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {id}},
			Body: make([]byte, inlineBody+1+i),
		})
		require.NoError(t, err)
		require.Equal(t, "body of "+id, string(reply.Body))
	}
}

// TestEndlessHeadersAreGivenUp has the other side send headers without an end.
func TestEndlessHeadersAreGivenUp(t *testing.T) {
	const most = 64 << 20
	sent := make(chan int, 1)
	s := play(t, func(c net.Conn, r *bufio.Reader) {
		request(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		line := []byte("X-Some: " + strings.Repeat("x", 8<<10) + "\r\n")
		n := 0
		for n < most {
			if _, err := c.Write(line); err != nil {
				break
			}
			n += len(line)
		}
		sent <- n
	})
	p := NewPool(s.address, PoolOptions{})
	defer p.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err := p.Do(ctx, PoolRequest{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {"r1"}}})
	require.Error(t, err)
	require.Less(t, <-sent, most/4, "bytes of headers that were taken in")
}
