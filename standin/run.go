package standin

import (
	"context"
	"errors"
	"time"
)

const (
	// announceInterval is the time between two announcements of an upstream.
	announceInterval = time.Second
	// drainTimeout bounds the wait for executing requests at the end of Run.
	drainTimeout = 30 * time.Second
	// drainPollInterval is the time between two checks for executing requests.
	drainPollInterval = 20 * time.Millisecond
)

// errRequestsRunning reports that requests were still executing after drainTimeout.
var errRequestsRunning = errors.New("requests still running at the end of the drain timeout")

// Run announces the upstream to the daemon at an admin address and repeats the announcement every
// second until the context ends. incarnation is the number of this run of the upstream, which rises
// with every restart. After a failed announcement Run calls onAnnounceError with the error and
// continues. When the context has ended, Run announces that the upstream drains, waits for
// executing requests, and closes the upstream. It returns the errors of these steps after the end
// of the context.
func (u *Upstream) Run(ctx context.Context, adminAddress string, incarnation uint64, onAnnounceError func(error)) error {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		if err := u.Announce(ctx, adminAddress, incarnation, false); err != nil && ctx.Err() == nil {
			onAnnounceError(err)
		}
		select {
		case <-ctx.Done():
			return errors.Join(u.drain(adminAddress, incarnation), u.Close())
		case <-tick.C:
		}
	}
}

// drain announces that the upstream drains and waits for the executing requests. It returns
// errRequestsRunning if requests still execute drainTimeout after the call, and the error of the
// announcement if the announcement fails.
func (u *Upstream) drain(adminAddress string, incarnation uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := u.Announce(ctx, adminAddress, incarnation, true); err != nil {
		return err
	}
	for len(u.executing) > 0 {
		select {
		case <-ctx.Done():
			return errRequestsRunning
		case <-time.After(drainPollInterval):
		}
	}
	return nil
}
