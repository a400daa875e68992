package standin

import (
	"context"
	"errors"
	"time"
)

const (
	announceInterval = time.Second
	// drainTimeout bounds the wait for requests that run when the stand-in
	// leaves.
	drainTimeout      = 30 * time.Second
	drainPollInterval = 20 * time.Millisecond
)

// errRequestsRunning tells that requests still ran when the stand-in was closed.
var errRequestsRunning = errors.New("requests still ran when the upstream left")

// Run announces the stand-in to the daemon at an admin address and renews the
// announcement until the context ends. Then it announces that it leaves, waits
// for what runs, and closes. A daemon that does not answer is asked again;
// failed is told of it.
func (u *Upstream) Run(ctx context.Context, admin string, incarnation uint64, failed func(error)) error {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		if err := u.Announce(ctx, admin, incarnation, false); err != nil && ctx.Err() == nil {
			failed(err)
		}
		select {
		case <-ctx.Done():
			return errors.Join(u.drain(admin, incarnation), u.Close())
		case <-tick.C:
		}
	}
}

// drain announces the end and waits until nothing runs.
func (u *Upstream) drain(admin string, incarnation uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := u.Announce(ctx, admin, incarnation, true); err != nil {
		return err
	}
	for len(u.slots) > 0 {
		select {
		case <-ctx.Done():
			return errRequestsRunning
		case <-time.After(drainPollInterval):
		}
	}
	return nil
}
