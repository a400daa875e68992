package guard

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// crashCheckTimeout bounds the connection attempt that checks whether an upstream
// is still listening.
const crashCheckTimeout = 250 * time.Millisecond

// detectCrash checks, when the connection of a call was lost, whether the upstream
// has crashed: then nothing listens at its address any more. It returns the outcome
// with the reason changed accordingly. The outcome stays unknown in either case.
func (u *upstreamProxy) detectCrash(o outcome.Outcome) outcome.Outcome {
	if o.Kind != outcome.Unknown || o.Reason != outcome.ReasonConnectionLost {
		return o
	}
	conn, err := net.DialTimeout("tcp", u.upstream.Address, crashCheckTimeout)
	if err == nil {
		_ = conn.Close()
		return o
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		o.Reason = outcome.ReasonUpstreamCrashed
	}
	return o
}
