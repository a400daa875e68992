package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/inbound"
)

const (
	peerDialTimeout   = time.Second
	peerHeaderTimeout = 5 * time.Second
	peerIdleTimeout   = 90 * time.Second
	peerHeaderBytes   = 128 << 10
	// peerStallFactor is how much longer than callers other daemons may stall.
	peerStallFactor = 2
	// maxPeerConnections and maxAdminConnections bound open connections.
	maxPeerConnections  = 16 << 10
	maxAdminConnections = 256
)

// serverOptions configure a server.
type serverOptions struct {
	name           string
	listener       net.Listener
	handler        http.Handler
	headerTimeout  time.Duration
	idleTimeout    time.Duration
	maxHeaderBytes int
	// maxConnections bounds open connections; further ones are closed at once
	// and counted in refused.
	maxConnections int
	refused        tally.Counter
	// tls is nil for plaintext.
	tls *tls.Config
	// errors counts what goes wrong below the requests, such as handshakes.
	errors tally.Counter
	// http2 also accepts HTTP/2, with prior knowledge on plaintext.
	http2 bool
}

// server is an HTTP server as a supervised part. After a failure it listens
// anew on the same address.
type server struct {
	opts    serverOptions
	address string
	http    *http.Server
	conns   *connTracker

	mu       sync.Mutex
	listener net.Listener
	stopping bool
}

func newServer(o serverOptions) *server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(o.http2 && o.tls != nil)
	protocols.SetUnencryptedHTTP2(o.http2 && o.tls == nil)
	conns := newConnTracker()
	return &server{
		opts:     o,
		conns:    conns,
		address:  o.listener.Addr().String(),
		listener: o.listener,
		http: &http.Server{
			Handler:           inbound.AbortClosed(conns.handler(o.handler)),
			ReadHeaderTimeout: o.headerTimeout,
			IdleTimeout:       o.idleTimeout,
			MaxHeaderBytes:    o.maxHeaderBytes,
			TLSConfig:         o.tls,
			Protocols:         protocols,
			ConnContext:       inbound.ConnContext,
			ConnState:         bothHooks(conns.follow, limitConnections(o.maxConnections, o.refused)),
			ErrorLog:          log.New(lineCounter{o.errors}, "", 0),
		},
	}
}

// String names the part.
func (s *server) String() string { return s.opts.name }

// Serve accepts connections until shutdown was called or the context ends. On
// the latter it closes all connections.
func (s *server) Serve(ctx context.Context) error {
	ln, err := s.takeListener()
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	ln = inbound.NewListener(ln)
	if s.opts.tls != nil {
		err = s.http.ServeTLS(ln, "", "")
	} else {
		err = s.http.Serve(ln)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return err
}

// shutdown stops accepting and waits until the requests in flight have been
// answered or the context ends.
func (s *server) shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	return s.conns.stop(ctx, s.http)
}

// close closes the listener of a server that never ran.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// takeListener returns the listener bound at the start, or a new one after a
// failure.
func (s *server) takeListener() (net.Listener, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return nil, suture.ErrDoNotRestart
	}
	ln := s.listener
	s.listener = nil
	if ln != nil {
		return ln, nil
	}
	return net.Listen("tcp", s.address)
}

// lineCounter counts the lines that a logger writes and drops them.
type lineCounter struct{ lines tally.Counter }

// Write implements io.Writer.
func (c lineCounter) Write(p []byte) (int, error) {
	c.lines.Inc(1)
	return len(p), nil
}

// limitConnections returns a hook that closes new connections while max are
// open.
func limitConnections(max int, refused tally.Counter) func(net.Conn, http.ConnState) {
	var open atomic.Int64
	return func(conn net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			if open.Add(1) > int64(max) {
				refused.Inc(1)
				_ = conn.Close()
			}
		case http.StateClosed, http.StateHijacked:
			open.Add(-1)
		}
	}
}
