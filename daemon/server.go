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
	// peerDialTimeout bounds the time to connect to another daemon.
	peerDialTimeout = time.Second
	// peerHeaderTimeout bounds the time to read a request header at the servers for
	// peers and admin.
	peerHeaderTimeout = 5 * time.Second
	// peerIdleTimeout is how long the servers for peers and admin keep an idle
	// connection open.
	peerIdleTimeout = 90 * time.Second
	// maxPeerHeaderBytes bounds the size of a request header at the servers for peers
	// and admin.
	maxPeerHeaderBytes = 128 << 10
	// peerStallFactor is the stall timeout for calls of other daemons as a multiple of
	// the setting callers.stall_timeout, which applies to requests of callers.
	peerStallFactor = 2
	// maxPeerConnections bounds the open connections of the server for peers.
	maxPeerConnections = 16 << 10
	// maxAdminConnections bounds the open connections of the server for admin.
	maxAdminConnections = 256
)

// serverOptions configures a server.
type serverOptions struct {
	name           string
	listener       net.Listener
	handler        http.Handler
	headerTimeout  time.Duration
	idleTimeout    time.Duration
	maxHeaderBytes int
	// maxConnections bounds the open connections. Further connections are closed
	// at once.
	maxConnections int
	// refusedConns counts the connections closed because of maxConnections.
	refusedConns tally.Counter
	// tls is nil for plaintext.
	tls *tls.Config
	// connErrors counts errors that net/http logs, such as failed TLS handshakes.
	connErrors tally.Counter
	// http2 enables HTTP/2 besides HTTP/1.1. Without TLS there is no negotiation, so
	// only clients that start with the HTTP/2 preface use it ("prior knowledge" in
	// RFC 9113 section 3.3).
	http2 bool
}

// server is an HTTP server as a supervised component. When it is restarted after a
// failure, it listens on the same address again.
type server struct {
	options    serverOptions
	address    string
	httpServer *http.Server
	tracker    *connTracker

	mu sync.Mutex
	// listener is the listener for the first call of Serve, which sets it to nil.
	listener net.Listener
	// stopping is set when shutdown is called. Serve then does not listen again.
	stopping bool
	// accepting is the listener of a running Serve, nil if there is none.
	accepting *inbound.Listener
}

// newServer returns a server that serves on o.listener once its Serve method is called.
func newServer(o serverOptions) *server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(o.http2 && o.tls != nil)
	protocols.SetUnencryptedHTTP2(o.http2 && o.tls == nil)
	tracker := newConnTracker()
	return &server{
		options:  o,
		tracker:  tracker,
		address:  o.listener.Addr().String(),
		listener: o.listener,
		httpServer: &http.Server{
			Handler:           inbound.AbortClosed(inbound.ResetUnfinished(tracker.countInFlight(o.handler))),
			ReadHeaderTimeout: o.headerTimeout,
			IdleTimeout:       o.idleTimeout,
			MaxHeaderBytes:    o.maxHeaderBytes,
			TLSConfig:         o.tls,
			Protocols:         protocols,
			ConnContext:       inbound.ConnContext,
			ConnState:         chainConnStateHooks(tracker.trackState, limitConnections(o.maxConnections, o.refusedConns)),
			ErrorLog:          log.New(lineCounter{o.connErrors}, "", 0),
		},
	}
}

// String returns the component's name.
func (s *server) String() string { return s.options.name }

// Serve accepts connections until shutdown is called or the context is done. When the
// context is done, it closes all connections. In both cases it returns
// suture.ErrDoNotRestart. If the listener fails, Serve returns the error, and the
// supervisor calls Serve again.
func (s *server) Serve(ctx context.Context) error {
	ln, err := s.takeOrOpenListener()
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = s.httpServer.Close() })
	defer stop()
	accepting := inbound.NewListener(ln)
	s.setAccepting(accepting)
	defer s.setAccepting(nil)
	ln = accepting
	if s.options.tls != nil {
		err = s.httpServer.ServeTLS(ln, "", "")
	} else {
		err = s.httpServer.Serve(ln)
	}
	if errors.Is(err, http.ErrServerClosed) || s.isStopping() {
		return suture.ErrDoNotRestart
	}
	return err
}

func (s *server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *server) setAccepting(l *inbound.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepting = l
}

// shutdown accepts the connections that are established already, closes the listener and waits for
// the requests in flight. It returns an error if the context is done before they have been answered.
func (s *server) shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	accepting := s.accepting
	s.mu.Unlock()
	if accepting != nil {
		accepting.Stop()
	}
	return s.tracker.shutdown(ctx, s.httpServer)
}

// close closes the listener of a server that was never run.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// takeOrOpenListener returns the listener from serverOptions on the first call. Later calls
// return a new listener on the same address. After shutdown, takeOrOpenListener returns
// suture.ErrDoNotRestart.
func (s *server) takeOrOpenListener() (net.Listener, error) {
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

// lineCounter is a writer for a log.Logger, which calls Write once for each log line.
// lineCounter counts the lines and discards them.
type lineCounter struct{ lines tally.Counter }

// Write implements io.Writer.
func (c lineCounter) Write(p []byte) (int, error) {
	c.lines.Inc(1)
	return len(p), nil
}

// limitConnections returns a ConnState hook that closes and counts new connections while
// maxOpen connections are open.
func limitConnections(maxOpen int, refusedConns tally.Counter) func(net.Conn, http.ConnState) {
	var openCount atomic.Int64
	return func(conn net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			if openCount.Add(1) > int64(maxOpen) {
				refusedConns.Inc(1)
				_ = conn.Close()
			}
		case http.StateClosed, http.StateHijacked:
			openCount.Add(-1)
		}
	}
}
