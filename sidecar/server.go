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
	// headerBytes and headerTimeout bound request heads until a configuration
	// says otherwise.
	defaultMaxHeaderBytes = 64 << 10
	defaultHeaderTimeout  = 10 * time.Second
	// idleSlack is how much longer than promised an idle connection of a caller
	// is kept, so that a request in time does not cross the close.
	idleCloseDelay = time.Second
)

// server serves one address. It is a part of the daemon.
type server struct {
	name     string
	http     *http.Server
	listener net.Listener

	mu sync.Mutex
	// idle holds the idle connections; limits change while it runs.
	idle   map[net.Conn]*idleConn
	limits route.Limits
	// active holds the connections between a request that has been read and the end of its
	// answer.
	active map[net.Conn]struct{}
}

// idleConn is a connection that is closed if it stays idle.
type idleConn struct {
	idleSince time.Time
	timer     *time.Timer
}

func newServer(name string, h http.Handler) *server {
	s := &server{name: name, idle: make(map[net.Conn]*idleConn), active: make(map[net.Conn]struct{})}
	s.http = &http.Server{
		Handler:                      inbound.Handler(h),
		ReadHeaderTimeout:            defaultHeaderTimeout,
		MaxHeaderBytes:               defaultMaxHeaderBytes,
		ErrorLog:                     log.New(io.Discard, "", 0),
		DisableGeneralOptionsHandler: true,
		ConnState:                    s.trackConn,
		ConnContext:                  inbound.Context,
	}
	// Without an own idle timeout the server would use that for headers.
	s.http.IdleTimeout = noIdleTimeout
	return s
}

// idleForever leaves idle connections to state, as http.Server cannot change its
// timeout while it runs.
const noIdleTimeout = 24 * time.Hour

// limit takes in what callers are promised. Where that is longer than before, it holds
// for connections that are idle already: callers go by the newest promise. Where it is
// shorter, some may not know yet.
func (s *server) setLimits(l route.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	longer := l.IdleTimeout > s.limits.IdleTimeout
	s.limits = l
	if !longer {
		return
	}
	for c, i := range s.idle {
		i.timer.Stop()
		s.scheduleClose(c, i.idleSince)
	}
}

// state follows the connections, and closes those that have been idle for longer than
// promised.
func (s *server) trackConn(c net.Conn, st http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.idle[c]; i != nil {
		i.timer.Stop()
		delete(s.idle, c)
	}
	delete(s.active, c)
	switch {
	case st == http.StateActive:
		s.active[c] = struct{}{}
	case st == http.StateIdle && s.limits.IdleTimeout > 0:
		s.scheduleClose(c, time.Now())
	}
}

// closeLater sets the timer of a connection that has been idle since a time. s.mu is held.
func (s *server) scheduleClose(c net.Conn, idleSince time.Time) {
	i := &idleConn{idleSince: idleSince}
	i.timer = time.AfterFunc(time.Until(idleSince.Add(s.limits.IdleTimeout+idleCloseDelay)), func() { s.closeIdle(c, i) })
	s.idle[c] = i
}

// answering returns how many connections wait for an answer.
func (s *server) activeConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active)
}

// closeIdle closes a connection whose timer has fired, unless it has been in use since the
// timer was set.
func (s *server) closeIdle(c net.Conn, expected *idleConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle[c] == expected {
		delete(s.idle, c)
		_ = c.Close()
	}
}

// refuseNew takes no more connections. Those that are open are served.
func (s *server) stopAccepting() { _ = s.listener.Close() }

// String names the part.
func (s *server) String() string { return s.name }

// Serve serves until the context ends.
func (s *server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	err := s.http.Serve(inbound.Listener(s.listener))
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
