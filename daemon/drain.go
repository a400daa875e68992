package daemon

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/wire"
)

// CutError tells what a stop abandoned: requests in flight that were cut, since
// the time for them was over or a second signal came.
type CutError struct {
	// Callers and Calls count the requests of callers and the calls of other
	// daemons that were in flight.
	Callers int
	Calls   int
	// Keyed counts the keyed requests that this daemon was running as the owner
	// of their keys; their outcome is unknown from now on.
	Keyed int
	// After is how long the stop had waited.
	After time.Duration
}

// Error names what was abandoned.
func (e *CutError) Error() string {
	return fmt.Sprintf("stopped with requests in flight after %s: abandoned %d of callers, %d calls of other daemons, %d keyed runs",
		e.After.Round(time.Millisecond), e.Callers, e.Calls, e.Keyed)
}

// AbortDrain ends a stop that waits for requests in flight. Serve then returns a
// *CutError if there were any. Before a stop it makes the stop end at once.
func (d *Daemon) AbortDrain() { d.abandonOnce.Do(func() { close(d.abandoned) }) }

// shutdown takes the daemon out of use: it asks callers and other daemons to go
// elsewhere while it still serves them, does what is registered in beforeStop,
// and lets the requests in flight finish. All of it takes at most
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

// goAway hands over the keys while the daemon still serves. It returns when that
// is done and the connections have ended, or at the end of the time for that.
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

// refuseWhenLeaving answers calls for this VM's upstreams "not run" once the
// daemon is leaving, so that their entries send them elsewhere. Calls that are
// in flight go on.
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
