package hop

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// uploadBytes is the size of a body that socket buffers do not hold if the server's is limited.
	uploadBytes = 6 << 20
	// serverReadBuffer is the size, in bytes, to which limitReadBuffer limits a buffer.
	serverReadBuffer = 64 << 10
)

// limitReadBuffer keeps the kernel from taking a whole upload that the server does not read.
func limitReadBuffer(c net.Conn) { _ = c.(*net.TCPConn).SetReadBuffer(serverReadBuffer) }

// unframedHeads are heads of responses whose body ends with the connection.
var unframedHeads = map[string]string{
	"HTTP/1.1":          "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
	"HTTP/1.0":          "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n",
	"failure":           "HTTP/1.1 500 Internal Server Error\r\nId: 1\r\n\r\n",
	"after interim":     "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
	"Connection: close": "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n",
}

// uploadRequest returns a request of a Client with a body of uploadBytes.
func uploadRequest(address string) Request {
	return Request{
		Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{},
		Body: bytes.NewReader(make([]byte, uploadBytes)), ContentLength: uploadBytes,
	}
}

// uploaders send a POST request with a body of uploadBytes to a server, one by a Pool and one by a Client, and read the
// response to its end.
var uploaders = map[string]func(t *testing.T, address string) ([]byte, error){
	"Pool": func(t *testing.T, address string) ([]byte, error) {
		p := NewPool(address, PoolOptions{})
		defer p.Close()
		r := requestWithID("1")
		r.Method, r.Body = http.MethodPost, make([]byte, uploadBytes)
		resp, err := p.Do(t.Context(), r)
		if err != nil {
			return nil, err
		}
		return resp.Body, nil
	},
	"Client": func(t *testing.T, address string) ([]byte, error) {
		c := NewClient(Options{})
		defer c.CloseIdle()
		resp, _, err := c.Do(t.Context(), uploadRequest(address))
		if err != nil {
			return nil, err
		}
		defer func() { _ = resp.Body.Close() }()
		return io.ReadAll(resp.Body)
	},
}

// TestResetDuringUploadIsNoEndOfBody guards against a part of a response that is taken as complete. The response has no
// length, and the server resets the connection while the request is still being written.
func TestResetDuringUploadIsNoEndOfBody(t *testing.T) {
	const repetitions = 5
	for name, head := range unframedHeads {
		for _, uploadRead := range []int64{0, uploadBytes / 2} {
			for _, delay := range []time.Duration{0, 5 * time.Millisecond, 60 * time.Millisecond} {
				for uploader, upload := range uploaders {
					t.Run(fmt.Sprintf("%s/%s, %d bytes read, reset after %s", uploader, name, uploadRead, delay), func(t *testing.T) {
						s := startScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
							limitReadBuffer(c)
							if req, err := http.ReadRequest(r); err == nil {
								_, _ = io.CopyN(io.Discard, req.Body, uploadRead)
							}
							_, _ = io.WriteString(c, head+"part of a response")
							time.Sleep(delay)
							_ = c.(*net.TCPConn).SetLinger(0)
						})
						for range repetitions {
							body, err := upload(t, s.address)
							require.Error(t, err, "%q was taken as complete", body)
						}
					})
				}
			}
		}
	}
}

// TestCloseWithUnreadUploadIsNoEndOfBody guards against the same fault if the server closes the connection without having
// read the upload: the kernel then resets it.
func TestCloseWithUnreadUploadIsNoEndOfBody(t *testing.T) {
	for uploader, upload := range uploaders {
		t.Run(uploader, func(t *testing.T) {
			s := startScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
				limitReadBuffer(c)
				_, _ = http.ReadRequest(r)
				_, _ = io.WriteString(c, unframedHeads["HTTP/1.1"]+"part of a response")
				// The kernel resets the connection only if it holds unread bytes.
				_, _ = r.Peek(r.Size())
			})
			for range 10 {
				body, err := upload(t, s.address)
				require.Error(t, err, "%q was taken as complete", body)
			}
		})
	}
}

// TestResponseWithoutLengthEndsWithItsConnection checks that a response without a length is complete once the server has
// ended the connection in order, whatever became of the upload. A Client is not checked: its Transport closes a connection
// as soon as a write fails.
func TestResponseWithoutLengthEndsWithItsConnection(t *testing.T) {
	const whole = "whole response"
	sendResponse := func(c net.Conn, r *bufio.Reader) {
		limitReadBuffer(c)
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, unframedHeads["HTTP/1.1"]+whole)
	}
	for name, serve := range map[string]func(c net.Conn, r *bufio.Reader){
		"upload read": func(c net.Conn, r *bufio.Reader) {
			if req, err := http.ReadRequest(r); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
			}
			_, _ = io.WriteString(c, unframedHeads["HTTP/1.1"]+whole)
		},
		"upload read after the response": func(c net.Conn, r *bufio.Reader) {
			sendResponse(c, r)
			_ = c.(*net.TCPConn).CloseWrite()
			waitForClose(c)
		},
		"upload never read": func(c net.Conn, r *bufio.Reader) {
			sendResponse(c, r)
			_ = c.(*net.TCPConn).CloseWrite()
			<-t.Context().Done()
		},
		"end, then reset": func(c net.Conn, r *bufio.Reader) {
			sendResponse(c, r)
			_ = c.(*net.TCPConn).CloseWrite()
			_ = c.(*net.TCPConn).SetLinger(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := startScriptedServer(t, serve)
			for range 10 {
				body, err := uploaders["Pool"](t, s.address)
				require.NoError(t, err)
				require.Equal(t, whole, string(body))
			}
		})
	}
}

// TestClientDeliversResponseWhileUploadIsBlocked guards against a response that is withheld until the deadline because the server
// does not read the rest of the upload.
func TestClientDeliversResponseWhileUploadIsBlocked(t *testing.T) {
	const whole, repetitions = "whole response", 20
	for name, framing := range map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n", len(whole)), "end of the stream": ""} {
		t.Run(name, func(t *testing.T) {
			s := startScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
				limitReadBuffer(c)
				_, _ = http.ReadRequest(r)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: 1\r\n%s\r\n%s", framing, whole)
				_ = c.(*net.TCPConn).CloseWrite()
				<-t.Context().Done()
			})
			c := NewClient(Options{})
			defer c.CloseIdle()
			ctx, cancel := context.WithTimeout(t.Context(), responseTimeout)
			defer cancel()
			for range repetitions {
				resp, _, err := c.Do(ctx, uploadRequest(s.address))
				require.NoError(t, err)
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				require.NoError(t, err)
				require.Equal(t, whole, string(body))
			}
		})
	}
}

// failingConn is a connection at the end of its stream whose writes fail.
type failingConn struct {
	net.Conn
	writeErr error
}

func (c *failingConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (c *failingConn) Write([]byte) (int, error)        { return 0, c.writeErr }
func (c *failingConn) SetWriteDeadline(time.Time) error { return nil }

// TestEndOfStreamAfterFailedWrite checks which errors of a write show that the end of the stream is not that of the other
// side. A connection that was reset after its end gives EPIPE.
func TestEndOfStreamAfterFailedWrite(t *testing.T) {
	for name, c := range map[string]struct {
		writeErrs []error
		wantLost  bool
	}{
		"written":             {[]error{nil}, false},
		"reset":               {[]error{syscall.ECONNRESET}, true},
		"reset, tried again":  {[]error{syscall.ECONNRESET, syscall.EPIPE}, true},
		"timed out":           {[]error{syscall.ETIMEDOUT}, true},
		"reset after its end": {[]error{syscall.EPIPE}, false},
		"closed by this side": {[]error{net.ErrClosed}, false},
		"interrupted by Read": {[]error{os.ErrDeadlineExceeded}, false},
	} {
		t.Run(name, func(t *testing.T) {
			failing := &failingConn{}
			conn := &orderlyConn{Conn: failing}
			for _, err := range c.writeErrs {
				failing.writeErr = err
				if err != nil {
					failing.writeErr = &net.OpError{Op: "write", Net: "tcp", Err: err}
				}
				_, got := conn.Write([]byte("x"))
				require.Equal(t, failing.writeErr, got)
			}
			_, err := conn.Read(make([]byte, 1))
			if !c.wantLost {
				require.Equal(t, io.EOF, err)
				return
			}
			require.ErrorIs(t, err, c.writeErrs[0])
			require.NotErrorIs(t, err, io.EOF)
		})
	}
}
