package entry

import (
	"context"
	"errors"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/hop"
	"github.com/dottereltiller/dottereltiller/wire"
)

// Remote forwards calls to the guards of other daemons.
type Remote struct {
	Client *hop.Client
	// Secret authenticates this daemon to the other daemons.
	Secret string
	// OnUnreachable is called with the ID of another daemon when a call to that
	// daemon failed. It is not called if the context of the call had ended.
	// OnUnreachable may be nil.
	OnUnreachable func(model.DaemonID)
}

// To returns the Forwarder for the guard of a daemon.
func (r *Remote) To(d model.DaemonID) Forwarder { return remoteGuard{remote: r, daemon: d} }

// remoteGuard is the Forwarder for the guard of one other daemon.
type remoteGuard struct {
	remote *Remote
	daemon model.DaemonID
}

// Do implements Forwarder.
func (g remoteGuard) Do(ctx context.Context, c *wire.Call) *wire.Result {
	h := c.Header
	c.SetInternalHeaders(h)
	h.Set(wire.HeaderDestination, wire.DestinationGuard)
	h.Set(wire.HeaderAuth, g.remote.Secret)
	resp, o, err := g.remote.Client.Do(ctx, hop.Request{
		Address:       string(g.daemon),
		Method:        c.Method,
		Target:        c.Target,
		Host:          string(g.daemon),
		Header:        h,
		Body:          c.Body,
		ContentLength: c.ContentLength,
	})
	if err != nil {
		if g.remote.OnUnreachable != nil && ctx.Err() == nil {
			g.remote.OnUnreachable(g.daemon)
		}
		return wire.NoResponse(o)
	}
	response, err := wire.ReadResult(resp, c.ID)
	if err != nil {
		_ = resp.Body.Close()
		return wire.NoResponse(readErrorOutcome(err))
	}
	return response
}

// readErrorOutcome returns the outcome of a call whose response could not be read. A
// response to another call counts as a lost connection.
func readErrorOutcome(err error) outcome.Outcome {
	if errors.Is(err, wire.ErrIDMismatch) {
		return outcome.UnknownBecause(outcome.ReasonConnectionLost)
	}
	return outcome.UnknownBecause(outcome.ReasonInternal)
}
