package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// Script is what a Faulty does with each request.
type Script struct {
	// Answer is sent as it is.
	Answer []byte
	// Cut ends the connection after that many bytes of Answer; a negative Cut
	// sends all of it and keeps the connection.
	Cut int
	// Reset ends the connection by a reset in place of an orderly close.
	Reset bool
	// Unread answers without reading the request's body.
	Unread bool
	// Hang answers nothing and waits until the other side goes.
	Hang bool
}

// Faulty is an upstream that reads whole requests and answers with prepared
// bytes, cut off where its script says. It speaks no HTTP of its own, so that
// it can misbehave at each byte.
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

// Address is the stand-in's host:port.
func (f *Faulty) Address() string { return f.listener.Addr().String() }

// Play replaces the script.
func (f *Faulty) Play(s Script) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.script = s
}

// Requests returns how many requests were read.
func (f *Faulty) Requests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests
}

// Conns returns how many connections are open.
func (f *Faulty) Conns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Close stops the stand-in.
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

// nextScript counts a request and returns the script for it.
func (f *Faulty) nextScript() Script {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	return f.script
}

// writeTo sends the answer and reports whether the connection goes on.
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
