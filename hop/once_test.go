package hop

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// dropper is a server that answers requests for /warm and, for all others,
// reads the whole request and drops the connection.
type dropper struct {
	ln net.Listener
	mu sync.Mutex
	// read holds the requests that were read whole, with their bodies.
	read []*http.Request
	// drop drops a connection; the first byte of an answer may be written.
	drop func(net.Conn)
}

func startDropper(t *testing.T, drop func(net.Conn)) *dropper {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	d := &dropper{ln: ln, drop: drop}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	return d
}

func (d *dropper) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if req.URL.Path == "/warm" {
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		d.mu.Lock()
		d.read = append(d.read, req)
		d.mu.Unlock()
		d.drop(conn)
		return
	}
}

func (d *dropper) requests() []*http.Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.read
}

var drops = map[string]func(net.Conn){
	"closed": func(c net.Conn) { _ = c.Close() },
	"reset":  func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() },
}

// sendDropped sends one attempt over a connection that has been used before,
// which is when the Transport sends again, and returns what the server read.
func sendDropped(t *testing.T, c *Client, drop func(net.Conn), method string, body []byte) []*http.Request {
	d := startDropper(t, drop)
	address := d.ln.Addr().String()
	resp, _, err := c.Do(t.Context(), Request{Address: address, Method: http.MethodGet, Target: "/warm", Header: http.Header{}})
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	require.NoError(t, resp.Body.Close())

	r := Request{Address: address, Method: method, Target: "/release", Header: http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"x"}}}
	if body != nil {
		r.Body, r.ContentLength = bytes.NewReader(body), int64(len(body))
	}
	_, o, err := c.Do(t.Context(), r)
	require.Error(t, err)
	require.Equal(t, outcome.Unknown, o.Kind, "the request went out")
	return d.requests()
}

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, "PROPFIND", "RELEASE",
}

func TestAttemptIsNeverSentAgainAfterADroppedConnection(t *testing.T) {
	for name, drop := range drops {
		for _, method := range methods {
			for _, body := range [][]byte{nil, []byte("two parcels")} {
				t.Run(fmt.Sprintf("%s/%s/%d bytes", name, method, len(body)), func(t *testing.T) {
					c := NewClient(Options{})
					defer c.CloseIdle()
					read := sendDropped(t, c, drop, method, body)
					require.Len(t, read, 1)
					got, err := io.ReadAll(read[0].Body)
					require.NoError(t, err)
					require.Equal(t, string(body), string(got))
					require.Equal(t, "k", read[0].Header.Get("Idempotency-Key"), "the upstream gets the key")
					require.Equal(t, "x", read[0].Header.Get("X-Idempotency-Key"))
				})
			}
		}
	}
}

// TestCarelessAttemptIsSentAgain shows that the defence is needed: without it
// the Transport sends each of these a second time.
func TestCarelessAttemptIsSentAgain(t *testing.T) {
	for _, method := range methods {
		for _, body := range [][]byte{nil, []byte("two parcels")} {
			t.Run(fmt.Sprintf("%s/%d bytes", method, len(body)), func(t *testing.T) {
				c := NewClient(Options{})
				defer c.CloseIdle()
				c.careless = true
				require.Greater(t, len(sendDropped(t, c, drops["closed"], method, body)), 1)
			})
		}
	}
}

func TestEmptyBodyGoesOutWithALength(t *testing.T) {
	for method, want := range map[string]struct {
		length string
		coding []string
	}{
		http.MethodPost:   {length: "0"},
		http.MethodPut:    {length: "0"},
		http.MethodPatch:  {length: "0"},
		http.MethodGet:    {},
		http.MethodHead:   {},
		http.MethodDelete: {},
		"RELEASE":         {},
	} {
		t.Run(method, func(t *testing.T) {
			c := NewClient(Options{})
			defer c.CloseIdle()
			read := sendDropped(t, c, drops["closed"], method, nil)
			require.Len(t, read, 1)
			require.Equal(t, want.length, read[0].Header.Get("Content-Length"))
			require.Equal(t, want.coding, read[0].TransferEncoding)
		})
	}
}

func TestMethodsThatAreNotSentOn(t *testing.T) {
	c := NewClient(Options{})
	for _, method := range []string{http.MethodTrace, http.MethodConnect} {
		_, o, err := c.Do(t.Context(), Request{Address: "127.0.0.1:1", Method: method, Target: "/"})
		require.ErrorIs(t, err, ErrMethod)
		require.Equal(t, outcome.NotRunBecause(outcome.ReasonBadRequest), o)
	}
}
