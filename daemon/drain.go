package daemon

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/wire"
)

// AbortedRequestsError is returned by Serve when a shutdown aborted requests in flight. A
// shutdown aborts them when settings.Process.ShutdownTimeout has expired or AbortDrain is
// called. The command dottereltillerd calls AbortDrain at the second signal to stop.
type AbortedRequestsError struct {
	// CallerRequests is the number of aborted requests of callers.
	CallerRequests int
	// PeerCalls is the number of aborted calls of other daemons.
	PeerCalls int
	// KeyedRequests is the number of aborted requests with an idempotency key that
	// this daemon was running as the owner of the key. Their outcome is unknown.
	KeyedRequests int
	// Waited is the time from the start of the shutdown until it aborted the requests.
	Waited time.Duration
}

// Error returns the counts of aborted requests on one line.
func (e *AbortedRequestsError) Error() string {
	return fmt.Sprintf("stopped with requests in flight after %s: abandoned %d of callers, %d calls of other daemons, %d keyed runs",
		e.Waited.Round(time.Millisecond), e.CallerRequests, e.PeerCalls, e.KeyedRequests)
}

// AbortDrain makes a shutdown stop waiting for requests in flight. Serve then aborts
// them and returns an *AbortedRequestsError if there were any. When AbortDrain is
// called before the shutdown begins, the shutdown does not wait at all.
func (d *Daemon) AbortDrain() { d.abortOnce.Do(func() { close(d.drainAborted) }) }

// shutdown drains the daemon. While the daemon still serves, shutdown asks callers and
// other daemons to close their connections and calls the functions in beforeStop. Then it
// closes the listeners and waits for the requests in flight. All of this together takes
// at most process.shutdown_timeout. When that time has expired or AbortDrain is called,
// shutdown aborts the requests still in flight and returns an *AbortedRequestsError.
func (d *Daemon) shutdown(ctx context.Context) error {
	startedAt := time.Now()
	d.logger.Info("daemon stopping")
	d.stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Process.ShutdownTimeout))
	defer cancel()
	go func() {
		select {
		case <-d.drainAborted:
			cancel()
		case <-ctx.Done():
		}
	}()
	d.callerServer.tracker.draining.Store(true)
	d.peerServer.tracker.draining.Store(true)
	for _, f := range d.beforeStop {
		f(ctx)
	}
	shutdownResults := make(chan error, 2)
	for _, s := range []*server{d.callerServer, d.peerServer} {
		go func() { shutdownResults <- s.shutdown(ctx) }()
	}
	firstErr, secondErr := <-shutdownResults, <-shutdownResults
	if firstErr == nil && secondErr == nil {
		return nil
	}
	abortedErr := &AbortedRequestsError{
		CallerRequests: int(d.callerServer.tracker.inFlight.Load()),
		PeerCalls:      int(d.peerServer.tracker.inFlight.Load()),
		KeyedRequests:  d.Owner.RunningCount(),
		Waited:         time.Since(startedAt),
	}
	_ = d.callerServer.httpServer.Close()
	_ = d.peerServer.httpServer.Close()
	return abortedErr
}

// handOverKeysAndDrain hands over this daemon's idempotency keys to other daemons while
// the daemon still serves. At the same time it waits until callers and other daemons have
// closed their connections, for at most process.drain_time. It returns when both the
// handover and the wait for the connections have ended. A failed handover is only logged.
func (d *Daemon) handOverKeysAndDrain(ctx context.Context) {
	handoverEnded := make(chan struct{})
	go func() {
		defer close(handoverEnded)
		if err := d.Owner.Drain(ctx); err != nil {
			d.logger.Warn("keys not handed over", "error", err)
		}
	}()
	drainCtx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Process.DrainTime))
	defer cancel()
	d.peerServer.tracker.waitUntilClosed(drainCtx)
	d.callerServer.tracker.waitUntilClosed(drainCtx)
	<-handoverEnded
}

// rejectWhileDraining rejects calls from other daemons for this VM's upstreams, with
// the outcome "not run", once the daemon is draining. The entries that sent these calls
// then pick other upstreams. Calls in flight are not affected. A call that cannot be parsed
// gets the status 400.
func (d *Daemon) rejectWhileDraining(next http.Handler) http.Handler {
	rejectedCounter := d.scope("peers").Tagged(map[string]string{"reason": string(outcome.ReasonDraining)}).Counter("refused")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !d.peerServer.tracker.draining.Load() {
			next.ServeHTTP(w, r)
			return
		}
		c, err := wire.ReadCall(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		rejectedCounter.Inc(1)
		wire.WriteResult(w, wire.NoResponse(outcome.NotRunBecause(outcome.ReasonDraining)), c.ID)
	})
}
