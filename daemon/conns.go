package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// connTracker tracks the open connections and the requests in flight of one server.
// A shutdown waits for both, and net/http exposes neither.
type connTracker struct {
	// draining is true once the server drains. Each response then asks the client to
	// close the connection.
	draining atomic.Bool
	// inFlight is the number of requests in flight.
	inFlight atomic.Int64

	mu sync.Mutex
	// conns maps each open connection to the time at which it was accepted. Once a
	// request has arrived on the connection, the time is zero instead.
	conns map[net.Conn]time.Time
}

func newConnTracker() *connTracker { return &connTracker{conns: make(map[net.Conn]time.Time)} }

// trackState is the server's ConnState hook. It updates conns when a connection is opened,
// receives a request or is closed.
func (t *connTracker) trackState(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.conns[conn] = time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, conn)
	default:
		t.conns[conn] = time.Time{}
	}
}

// chainConnStateHooks returns a ConnState hook that calls first and then second.
func chainConnStateHooks(first, second func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(conn net.Conn, state http.ConnState) {
		first(conn, state)
		second(conn, state)
	}
}

// openConns returns the number of open connections.
func (t *connTracker) openConns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// closeUnused closes the connections that have been open for at least minAge and have
// never carried a request. Connection pools of clients open such connections in
// advance. http.Server.Shutdown would wait 5 seconds for a first request on each.
func (t *connTracker) closeUnused(minAge time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn, acceptedAt := range t.conns {
		if !acceptedAt.IsZero() && time.Since(acceptedAt) >= minAge {
			_ = conn.Close()
		}
	}
}

// countInFlight returns a handler that counts the requests in flight. While the server is
// draining, the handler also sets the header Connection: close on each response. On
// HTTP/2, net/http then sends GOAWAY.
func (t *connTracker) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.inFlight.Add(1)
		defer t.inFlight.Add(-1)
		if t.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

const (
	// drainPollInterval is the time between two checks of the open connections
	// while a server drains or shuts down.
	drainPollInterval = 10 * time.Millisecond
	// maxUnusedAge is how long a connection may be open without a first request
	// before a server that is shutting down closes it.
	maxUnusedAge = 500 * time.Millisecond
)

// waitUntilClosed waits until all connections are closed or the context is done.
func (t *connTracker) waitUntilClosed(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for t.openConns() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// shutdown stops accepting connections, closes idle connections and waits for the requests
// in flight. It also closes connections that are at least maxUnusedAge old and have never
// carried a request. If the context ends before the requests have finished, shutdown
// returns an error and leaves the remaining connections open.
func (t *connTracker) shutdown(ctx context.Context, s *http.Server) error {
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- s.Shutdown(ctx) }()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-shutdownErr:
			return err
		case <-ticker.C:
			t.closeUnused(maxUnusedAge)
		}
	}
}
