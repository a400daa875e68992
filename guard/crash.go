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

// detectCrash checks whether the upstream has crashed when the connection of a call
// was lost. After a crash, nothing listens at the upstream's address any more. If so,
// detectCrash returns the outcome with the reason ReasonUpstreamCrashed. Otherwise it
// returns the outcome unchanged. The kind of the outcome stays unknown in both cases.
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
