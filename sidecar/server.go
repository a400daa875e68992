package sidecar

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/dottereltiller/dottereltiller/core/route"
	"github.com/dottereltiller/dottereltiller/inbound"
)

const (
	// defaultMaxHeaderBytes bounds the size of request headers until a configuration sets
	// another limit.
	defaultMaxHeaderBytes = 64 << 10
	// defaultHeaderTimeout bounds the time to read request headers until a configuration sets
	// another limit.
	defaultHeaderTimeout = 10 * time.Second
	// idleCloseDelay is how much longer than the idle timeout an idle connection of a caller is
	// kept. A request that the caller sends just before the timeout then arrives before the
	// connection is closed.
	idleCloseDelay = time.Second
)

// server serves HTTP on one address.
type server struct {
	name     string
	http     *http.Server
	listener net.Listener

	mu sync.Mutex
	// accepting is the listener of a running Serve, nil if there is none.
	accepting *inbound.Listener
	// conns holds the states of the open connections. In http.StateActive, the request has been read
	// and the response has not been written completely.
	conns map[net.Conn]http.ConnState
	// idleConns holds the idle connections that are to be closed after the idle timeout.
	idleConns map[net.Conn]*idleConn
	// limits are the limits advertised to callers. They may change while the server runs. Zero
	// until setLimits is called: idle connections are then kept open.
	limits route.Limits
}

// idleConn is an idle connection and the timer that closes it.
type idleConn struct {
	idleSince time.Time
	timer     *time.Timer
}

func newServer(name string, h http.Handler) *server {
	s := &server{name: name, idleConns: make(map[net.Conn]*idleConn), conns: make(map[net.Conn]http.ConnState)}
	s.http = &http.Server{
		Handler:                      inbound.AbortClosed(h),
		ReadHeaderTimeout:            defaultHeaderTimeout,
		MaxHeaderBytes:               defaultMaxHeaderBytes,
		ErrorLog:                     log.New(io.Discard, "", 0),
		DisableGeneralOptionsHandler: true,
		ConnState:                    s.trackConn,
		ConnContext:                  inbound.ConnContext,
	}
	// Without an IdleTimeout, http.Server would apply ReadHeaderTimeout to idle connections.
	s.http.IdleTimeout = noIdleTimeout
	return s
}

// noIdleTimeout is so long that it in effect disables the idle timeout of http.Server, which cannot
// change while the server runs. trackConn has idle connections closed instead.
const noIdleTimeout = 24 * time.Hour

// setLimits sets the limits that are advertised to callers. Callers go by the newest idle timeout
// that they know. A timeout longer than the previous one therefore also applies to connections
// that are idle already. A shorter one does not, because some callers may not know it yet.
func (s *server) setLimits(l route.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	longer := l.IdleTimeout > s.limits.IdleTimeout
	s.limits = l
	if !longer {
		return
	}
	for c, i := range s.idleConns {
		i.timer.Stop()
		s.scheduleClose(c, i.idleSince)
	}
}

// trackConn tracks the states of connections, and sets and stops the timers that close idle
// connections. It is the ConnState hook of http.Server.
func (s *server) trackConn(c net.Conn, st http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.idleConns[c]; i != nil {
		i.timer.Stop()
		delete(s.idleConns, c)
	}
	s.conns[c] = st
	switch {
	case st == http.StateClosed, st == http.StateHijacked:
		delete(s.conns, c)
	case st == http.StateIdle && s.limits.IdleTimeout > 0:
		s.scheduleClose(c, time.Now())
	}
}

// scheduleClose starts the timer that closes an idle connection, idleCloseDelay after the idle
// timeout. The caller holds s.mu.
func (s *server) scheduleClose(c net.Conn, idleSince time.Time) {
	idle := &idleConn{idleSince: idleSince}
	idle.timer = time.AfterFunc(time.Until(idleSince.Add(s.limits.IdleTimeout+idleCloseDelay)), func() { s.closeIdle(c, idle) })
	s.idleConns[c] = idle
}

// numActiveConns returns the number of connections that wait for a response.
func (s *server) numActiveConns() int {
	return s.countConns(func(_ net.Conn, st http.ConnState) bool { return st == http.StateActive })
}

// numPendingConns returns the number of connections that wait for a response, or on which the process
// has yet to read what the client has sent.
func (s *server) numPendingConns() int {
	return s.countConns(func(c net.Conn, st http.ConnState) bool { return st == http.StateActive || inbound.HasUnreadBytes(c) })
}

func (s *server) countConns(counts func(net.Conn, http.ConnState) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c, st := range s.conns {
		if counts(c, st) {
			n++
		}
	}
	return n
}

// closeIdle closes a connection whose idle timer has fired. expected is the idleConn that the timer
// belongs to. closeIdle does nothing if the connection is no longer idle or has a newer timer.
func (s *server) closeIdle(c net.Conn, expected *idleConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idleConns[c] == expected {
		delete(s.idleConns, c)
		_ = c.Close()
	}
}

// stopAccepting closes the listener. Connections that are established already are accepted first, if the
// server is running.
func (s *server) stopAccepting() {
	s.mu.Lock()
	accepting := s.accepting
	s.mu.Unlock()
	if accepting == nil {
		_ = s.listener.Close()
		return
	}
	accepting.Stop()
}

// String implements fmt.Stringer. The supervisor logs this name.
func (s *server) String() string { return s.name }

// Serve accepts connections until the context ends.
func (s *server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	accepting := inbound.NewListener(s.listener)
	s.mu.Lock()
	s.accepting = accepting
	s.mu.Unlock()
	err := s.http.Serve(accepting)
	s.mu.Lock()
	s.accepting = nil
	s.mu.Unlock()
	if errors.Is(err, net.ErrClosed) {
		return suture.ErrDoNotRestart
	}
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return err
}

func (s *server) close() {
	_ = s.http.Close()
	if s.listener != nil {
		_ = s.listener.Close()
	}
}
