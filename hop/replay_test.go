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

// droppingServer is a test server that responds to requests for /warm. For any
// other request it reads the whole request and drops the connection.
type droppingServer struct {
	listener net.Listener
	mu       sync.Mutex
	// received holds the requests for paths other than /warm, each with its
	// body.
	received []*http.Request
	// drop closes or resets the connection of a request for another path than
	// /warm.
	drop func(net.Conn)
}

func startDroppingServer(t *testing.T, drop func(net.Conn)) *droppingServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	d := &droppingServer{listener: ln, drop: drop}
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

func (d *droppingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
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
		d.received = append(d.received, req)
		d.mu.Unlock()
		d.drop(conn)
		return
	}
}

func (d *droppingServer) requests() []*http.Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.received
}

// dropMethods are the ways in which the server drops a connection.
var dropMethods = map[string]func(net.Conn){
	"closed": func(c net.Conn) { _ = c.Close() },
	"reset":  func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() },
}

// sendToDroppingServer sends one attempt over a reused connection, because the
// Transport retries only there. It checks that the outcome is Unknown, and returns
// the requests that the server received, except that for /warm.
func sendToDroppingServer(t *testing.T, c *Client, drop func(net.Conn), method string, body []byte) []*http.Request {
	d := startDroppingServer(t, drop)
	address := d.listener.Addr().String()
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
	require.Equal(t, outcome.Unknown, o.Kind, "the server may have executed the request")
	return d.requests()
}

var httpMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, "PROPFIND", "RELEASE",
}

// TestNoReplayAfterDroppedConnection checks that the Transport does not retry
// an attempt whose connection is dropped after the server received the request.
func TestNoReplayAfterDroppedConnection(t *testing.T) {
	for name, drop := range dropMethods {
		for _, method := range httpMethods {
			for _, body := range [][]byte{nil, []byte("two parcels")} {
				t.Run(fmt.Sprintf("%s/%s/%d bytes", name, method, len(body)), func(t *testing.T) {
					c := NewClient(Options{})
					defer c.CloseIdle()
					received := sendToDroppingServer(t, c, drop, method, body)
					require.Len(t, received, 1)
					got, err := io.ReadAll(received[0].Body)
					require.NoError(t, err)
					require.Equal(t, string(body), string(got))
					require.Equal(t, "k", received[0].Header.Get("Idempotency-Key"), "the server must receive the key")
					require.Equal(t, "x", received[0].Header.Get("X-Idempotency-Key"))
				})
			}
		}
	}
}

// TestTransportReplaysUnprotectedAttempts shows that the protection is needed:
// without it the Transport sends each of these attempts more than once.
func TestTransportReplaysUnprotectedAttempts(t *testing.T) {
	for _, method := range httpMethods {
		for _, body := range [][]byte{nil, []byte("two parcels")} {
			t.Run(fmt.Sprintf("%s/%d bytes", method, len(body)), func(t *testing.T) {
				c := NewClient(Options{})
				defer c.CloseIdle()
				c.unprotected = true
				require.Greater(t, len(sendToDroppingServer(t, c, dropMethods["closed"], method, body)), 1)
			})
		}
	}
}

// TestContentLengthOfEmptyBody checks that a request without a body has a
// Content-Length if and only if its method requires one, and never a
// Transfer-Encoding.
func TestContentLengthOfEmptyBody(t *testing.T) {
	for method, want := range map[string]struct {
		contentLength    string
		transferEncoding []string
	}{
		http.MethodPost:   {contentLength: "0"},
		http.MethodPut:    {contentLength: "0"},
		http.MethodPatch:  {contentLength: "0"},
		http.MethodGet:    {},
		http.MethodHead:   {},
		http.MethodDelete: {},
		"RELEASE":         {},
	} {
		t.Run(method, func(t *testing.T) {
			c := NewClient(Options{})
			defer c.CloseIdle()
			received := sendToDroppingServer(t, c, dropMethods["closed"], method, nil)
			require.Len(t, received, 1)
			require.Equal(t, want.contentLength, received[0].Header.Get("Content-Length"))
			require.Equal(t, want.transferEncoding, received[0].TransferEncoding)
		})
	}
}

func TestUnsupportedMethodsAreNotSent(t *testing.T) {
	c := NewClient(Options{})
	for _, method := range []string{http.MethodTrace, http.MethodConnect} {
		_, o, err := c.Do(t.Context(), Request{Address: "127.0.0.1:1", Method: method, Target: "/"})
		require.ErrorIs(t, err, ErrMethod)
		require.Equal(t, outcome.NotRunBecause(outcome.ReasonBadRequest), o)
	}
}
