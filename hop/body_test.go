package hop

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// memoryOf is a Memory of a number of bytes.
type memoryOf struct{ left, taken int64 }

func (m *memoryOf) Grow(n int64) error {
	if n > m.left {
		return errors.New("no memory")
	}
	m.left -= n
	m.taken += n
	return nil
}

// TestEndlessResponsesAreCutOff guards against a server that sends without end and takes the memory or the processor
// of the process. The connection must be closed well before the server has sent maxSent bytes.
func TestEndlessResponsesAreCutOff(t *testing.T) {
	const maxSent, memory = 64 << 20, 1 << 20
	junk := strings.Repeat("x", 8<<10)
	for name, c := range map[string]struct {
		// head is sent once, then part again and again.
		head, part string
		memory     Memory
		maxBytes   int64
	}{
		"headers":                           {"HTTP/1.1 200 OK\r\n", "X-Some: " + junk + "\r\n", nil, 0},
		"informational responses":           {"", "HTTP/1.1 102 Processing\r\n\r\n", nil, 0},
		"body until the end of connection":  {"HTTP/1.1 200 OK\r\nId: r1\r\n\r\n", junk, &memoryOf{left: memory}, 0},
		"body in chunks":                    {"HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n", "2000\r\n" + junk + "\r\n", &memoryOf{left: memory}, 0},
		"body beyond the limit of one":      {"HTTP/1.1 200 OK\r\nId: r1\r\n\r\n", junk, nil, memory},
		"body of a very long known length":  {"HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9000000000000000000\r\n\r\n", junk, nil, 0},
		"body of a response to another one": {"HTTP/1.1 200 OK\r\nId: r0\r\n\r\n", junk, nil, 0},
		"trailers":                          {"HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\nTrailer: X-Some\r\n\r\n0\r\n", "X-Some: " + junk + "\r\n", nil, 0},
		"bytes that are not HTTP":           {"", junk, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			sentBytes := make(chan int, 1)
			s := startScriptedServer(t, func(c2 net.Conn, r *bufio.Reader) {
				readRequestID(r)
				_, _ = io.WriteString(c2, c.head)
				n := 0
				for n < maxSent {
					if _, err := io.WriteString(c2, c.part); err != nil {
						break
					}
					n += len(c.part)
				}
				sentBytes <- n
			})
			p := NewPool(s.address, PoolOptions{})
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			r := requestWithID("r1")
			r.Memory, r.MaxResponseBytes = c.memory, c.maxBytes
			_, err := p.Do(ctx, r)
			require.Error(t, err)
			require.NoError(t, ctx.Err(), "the response was cut off, not timed out")
			require.Less(t, <-sentBytes, maxSent/4, "bytes sent before the connection was closed")
		})
	}
}

// TestAnnouncedLengthTakesNoMemory has the server announce a long body and send a short part of it. Only the memory of a
// first buffer may be taken.
func TestAnnouncedLengthTakesNoMemory(t *testing.T) {
	s := startScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequestID(r)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: %d\r\n\r\nstart", defaultMaxResponseBytes)
	})
	p := NewPool(s.address, PoolOptions{})
	defer p.Close()
	memory := &memoryOf{left: defaultMaxResponseBytes}
	r := requestWithID("r1")
	r.Memory = memory
	_, err := p.Do(t.Context(), r)
	require.Error(t, err)
	require.LessOrEqual(t, memory.taken, int64(maxFirstBodyBuffer+1))
}

// TestBodiesOfAllLengthsAreRead reads bodies around the sizes of buffers, with and without a known length, and the
// responses that have none.
func TestBodiesOfAllLengthsAreRead(t *testing.T) {
	for _, n := range []int{0, 1, minBodyBuffer - 1, minBodyBuffer, minBodyBuffer + 1, maxFirstBodyBuffer, maxFirstBodyBuffer + 1, 2*maxFirstBodyBuffer + 3, 1 << 20} {
		for _, known := range []bool{true, false} {
			s := startScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
				readRequestID(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: r1\r\n")
				if known {
					_, _ = fmt.Fprintf(c, "Content-Length: %d\r\n", n)
				}
				_, _ = io.WriteString(c, "\r\n"+strings.Repeat("x", n))
			})
			p := NewPool(s.address, PoolOptions{})
			r := requestWithID("r1")
			r.MaxResponseBytes = int64(max(n, 1))
			resp, err := p.Do(t.Context(), r)
			require.NoError(t, err, "%d bytes, known %t", n, known)
			require.Equal(t, strings.Repeat("x", n), string(resp.Body))
			p.Close()
		}
	}
	s := startScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9000000000000000000\r\n\r\n")
	})
	p := NewPool(s.address, PoolOptions{})
	defer p.Close()
	r := requestWithID("r1")
	r.Method = http.MethodHead
	resp, err := p.Do(t.Context(), r)
	require.NoError(t, err)
	require.Empty(t, resp.Body)
}

// TestEndlessHeadersAreRejected has the server send response headers until it
// has sent maxSent bytes. The Pool must close the connection well before.
func TestEndlessHeadersAreRejected(t *testing.T) {
	const maxSent = 64 << 20
	sentBytes := make(chan int, 1)
	s := startScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequestID(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		line := []byte("X-Some: " + strings.Repeat("x", 8<<10) + "\r\n")
		n := 0
		for n < maxSent {
			if _, err := c.Write(line); err != nil {
				break
			}
			n += len(line)
		}
		sentBytes <- n
	})
	p := NewPool(s.address, PoolOptions{})
	defer p.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err := p.Do(ctx, PoolRequest{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {"r1"}}})
	require.Error(t, err)
	require.Less(t, <-sentBytes, maxSent/4, "header bytes sent before the connection was closed")
}
