package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// Script determines how a Faulty treats requests.
type Script struct {
	// Answer holds the raw bytes of the response.
	Answer []byte
	// Cut is the number of bytes of Answer after which the connection is closed.
	// If Cut is negative or larger than Answer, all of Answer is sent and the
	// connection stays open.
	Cut int
	// Reset closes the connection by a TCP RST instead of a FIN.
	Reset bool
	// Unread sends the response without reading the request's body.
	Unread bool
	// Hang sends no response and waits until the client closes the connection.
	Hang bool
}

// Faulty is an upstream that responds to each request with the raw bytes of its
// script, truncated where the script says. It does not use an HTTP server, so that
// a response can break off at any byte.
type Faulty struct {
	listener net.Listener

	mu       sync.Mutex
	script   Script
	requests int
	conns    map[net.Conn]struct{}
}

// StartFaulty starts a Faulty on a loopback port.
func StartFaulty() (*Faulty, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &Faulty{listener: ln, conns: make(map[net.Conn]struct{})}
	go f.accept()
	return f, nil
}

// Address returns the host:port of the upstream.
func (f *Faulty) Address() string { return f.listener.Addr().String() }

// Play sets the script for the following requests.
func (f *Faulty) Play(s Script) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.script = s
}

// Requests returns the number of requests received.
func (f *Faulty) Requests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests
}

// Conns returns the number of open connections.
func (f *Faulty) Conns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Close stops listening and closes all connections.
func (f *Faulty) Close() error {
	err := f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		_ = c.Close()
	}
	return err
}

func (f *Faulty) accept() {
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

func (f *Faulty) serve(conn net.Conn) {
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
		s := f.nextScript()
		if !s.Unread {
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

// nextScript counts a request and returns the current script.
func (f *Faulty) nextScript() Script {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	return f.script
}

// writeTo sends the scripted response and reports whether the connection stays open.
func (s Script) writeTo(conn net.Conn) bool {
	if s.Cut < 0 || s.Cut > len(s.Answer) {
		_, err := conn.Write(s.Answer)
		return err == nil
	}
	_, _ = conn.Write(s.Answer[:s.Cut])
	if tcp, ok := conn.(*net.TCPConn); ok && s.Reset {
		_ = tcp.SetLinger(0)
	}
	return false
}
