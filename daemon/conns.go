package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// connTracker follows the connections of one server, which net/http does not
// show. It is what a drain goes by.
type connTracker struct {
	// leaving makes every answer ask its connection to end.
	leaving atomic.Bool
	// active counts the requests in flight.
	active atomic.Int64

	mu sync.Mutex
	// open maps each connection to the time since when no request came, the
	// zero time after the first.
	open map[net.Conn]time.Time
}

func newConnTracker() *connTracker { return &connTracker{open: make(map[net.Conn]time.Time)} }

// follow is the ConnState hook of the server.
func (t *connTracker) follow(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.open[conn] = time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(t.open, conn)
	default:
		t.open[conn] = time.Time{}
	}
}

// bothHooks calls two ConnState hooks in turn.
func bothHooks(first, second func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(conn net.Conn, state http.ConnState) {
		first(conn, state)
		second(conn, state)
	}
}

// count returns the number of open connections.
func (t *connTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// closeUnused closes the connections that no request came on for a time since
// they were opened. A client's pool opens such connections in advance, and
// http.Server.Shutdown waits 5 seconds for a request on each.
func (t *connTracker) closeUnused(age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn, since := range t.open {
		if !since.IsZero() && time.Since(since) >= age {
			_ = conn.Close()
		}
	}
}

// handler counts the requests in flight and, while leaving, asks connections to
// end after their answer: by Connection: close, or GOAWAY on HTTP/2.
func (t *connTracker) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.active.Add(1)
		defer t.active.Add(-1)
		if t.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

const (
	drainPoll = 10 * time.Millisecond
	// unusedAge is how long a connection may be open without a request before
	// a server that stops closes it.
	unusedAge = 500 * time.Millisecond
)

// awaitGone waits until all connections or the context have ended.
func (t *connTracker) awaitGone(ctx context.Context) {
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for t.count() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// stop ends a server: it takes no new connections, closes the idle and the
// unused ones and waits for the requests in flight. When the context ends first
// it returns an error and leaves them.
func (t *connTracker) stop(ctx context.Context, s *http.Server) error {
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(ctx) }()
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-tick.C:
			t.closeUnused(unusedAge)
		}
	}
}
