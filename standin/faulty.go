package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Script determines how a FaultyUpstream responds to requests.
type Script struct {
	// Response holds the raw bytes of the response.
	Response []byte
	// CutAfter is the number of bytes of Response after which the connection is closed.
	// If it is 0, nothing is sent. If it is negative or larger than the length of
	// Response, all of Response is sent and the connection stays open.
	CutAfter int
	// Reset closes the connection after CutAfter bytes with a TCP RST instead of a FIN.
	Reset bool
	// CloseDelay is how long the connection stays open after CutAfter bytes. Default: 0.
	CloseDelay time.Duration
	// SkipBody makes the upstream respond without reading the request's body.
	SkipBody bool
	// Hang makes the upstream send no response and wait until the client closes the
	// connection.
	Hang bool
}

// FaultyUpstream is an upstream that reads each request and responds with the raw bytes
// of its script. The script may truncate the response. FaultyUpstream does not use an
// HTTP server, so that a response can be malformed in any way and break off at any byte.
type FaultyUpstream struct {
	listener net.Listener

	mu sync.Mutex
	// script is the script for the following requests.
	script       Script
	requestCount int
	// conns holds the open connections.
	conns map[net.Conn]struct{}
}

// StartFaultyUpstream starts a FaultyUpstream on a loopback port.
func StartFaultyUpstream() (*FaultyUpstream, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &FaultyUpstream{listener: ln, conns: make(map[net.Conn]struct{})}
	go f.accept()
	return f, nil
}

// Address returns the host:port of the upstream.
func (f *FaultyUpstream) Address() string { return f.listener.Addr().String() }

// SetScript sets the script for the following requests.
func (f *FaultyUpstream) SetScript(s Script) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.script = s
}

// Requests returns the number of requests received.
func (f *FaultyUpstream) Requests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requestCount
}

// Conns returns the number of open connections.
func (f *FaultyUpstream) Conns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Close stops listening and closes all connections.
func (f *FaultyUpstream) Close() error {
	err := f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		_ = c.Close()
	}
	return err
}

// accept serves each new connection in a goroutine until the listener is closed.
func (f *FaultyUpstream) accept() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.conns[conn] = struct{}{}
		f.mu.Unlock()
		go f.serve(conn)
	}
}

// serve responds to the requests of a connection in turn, each with the script that is set when the
// request's header has been read, and closes the connection at the end.
func (f *FaultyUpstream) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.conns, conn)
	}()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		s := f.countRequest()
		if !s.SkipBody {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
		if s.Hang {
			_, _ = io.Copy(io.Discard, conn)
			return
		}
		if !s.writeTo(conn) {
			return
		}
	}
}

// countRequest adds a request to requestCount and returns the script to use for the request.
func (f *FaultyUpstream) countRequest() Script {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestCount++
	return f.script
}

// writeTo sends the scripted response. It returns false if the caller must close the connection:
// after a cut response or a failed write.
func (s Script) writeTo(conn net.Conn) bool {
	if s.CutAfter < 0 || s.CutAfter > len(s.Response) {
		_, err := conn.Write(s.Response)
		return err == nil
	}
	_, _ = conn.Write(s.Response[:s.CutAfter])
	time.Sleep(s.CloseDelay)
	if tcp, ok := conn.(*net.TCPConn); ok && s.Reset {
		_ = tcp.SetLinger(0)
	}
	return false
}
