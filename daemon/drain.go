package daemon

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/wire"
)

// AbortedRequestsError is returned by Serve when a shutdown aborted requests in
// flight, because settings.Process.ShutdownTimeout expired or AbortDrain was called.
type CutError struct {
	// CallerRequests is the number of aborted requests of callers, PeerCalls the
	// number of aborted calls of other daemons.
	Callers int
	Calls   int
	// KeyedRequests is the number of aborted requests with an idempotency key that
	// this daemon was running as the owner of the key. Their outcome is unknown.
	Keyed int
	// Waited is how long the shutdown had lasted before it aborted the requests.
	After time.Duration
}

// Error returns the counts of aborted requests on one line.
func (e *CutError) Error() string {
	return fmt.Sprintf("stopped with requests in flight after %s: abandoned %d of callers, %d calls of other daemons, %d keyed runs",
		e.After.Round(time.Millisecond), e.Callers, e.Calls, e.Keyed)
}

// AbortDrain makes a shutdown stop waiting for requests in flight. Serve then aborts
// them and returns an *AbortedRequestsError if there were any. When AbortDrain is
// called before the shutdown begins, the shutdown does not wait at all.
func (d *Daemon) AbortDrain() { d.abandonOnce.Do(func() { close(d.abandoned) }) }

// shutdown drains the daemon: it asks callers and other daemons to close their
// connections while it still serves, calls the functions in beforeStop, closes the
// listeners and waits for the requests in flight. All of it together takes at most
// process.shutdown_timeout.
func (d *Daemon) shutdown(ctx context.Context) error {
	began := time.Now()
	d.logger.Info("daemon stopping")
	d.stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Process.ShutdownTimeout))
	defer cancel()
	go func() {
		select {
		case <-d.abandoned:
			cancel()
		case <-ctx.Done():
		}
	}()
	d.callers.conns.leaving.Store(true)
	d.peers.conns.leaving.Store(true)
	for _, f := range d.beforeStop {
		f(ctx)
	}
	stopped := make(chan error, 2)
	for _, s := range []*server{d.callers, d.peers} {
		go func() { stopped <- s.shutdown(ctx) }()
	}
	first, second := <-stopped, <-stopped
	if first == nil && second == nil {
		return nil
	}
	cut := &CutError{
		Callers: int(d.callers.conns.active.Load()),
		Calls:   int(d.peers.conns.active.Load()),
		Keyed:   d.Owner.RunningCount(),
		After:   time.Since(began),
	}
	_ = d.callers.http.Close()
	_ = d.peers.http.Close()
	return cut
}

// handOverKeysAndDrain hands over this daemon's idempotency keys to other daemons while
// the daemon still serves. It returns when the handover has ended and, at most
// process.drain_time after its start, the connections are closed.
func (d *Daemon) goAway(ctx context.Context) {
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		if err := d.Owner.Drain(ctx); err != nil {
			d.logger.Warn("keys not handed over", "error", err)
		}
	}()
	grace, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Process.DrainTime))
	defer cancel()
	d.peers.conns.awaitGone(grace)
	d.callers.conns.awaitGone(grace)
	<-drained
}

// rejectWhileDraining rejects calls from other daemons for this VM's upstreams, with
// the outcome "not run", once the daemon is draining. The entries that sent them then
// pick other upstreams. Calls in flight are not affected.
func (d *Daemon) refuseWhenLeaving(next http.Handler) http.Handler {
	refused := d.scope("peers").Tagged(map[string]string{"reason": string(outcome.ReasonDraining)}).Counter("refused")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !d.peers.conns.leaving.Load() {
			next.ServeHTTP(w, r)
			return
		}
		c, err := wire.ReadCall(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		refused.Inc(1)
		wire.WriteResult(w, wire.NoResponse(outcome.NotRunBecause(outcome.ReasonDraining)), c.ID)
	})
}
