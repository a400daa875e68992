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

// detectCrash takes the outcome of a failed call. If the connection was lost, it checks
// whether the upstream has crashed. After a crash, nothing listens at the upstream's
// address any more, so a new connection is refused. If it is refused, detectCrash
// changes the reason of the outcome to ReasonUpstreamCrashed. The kind of the outcome
// stays unknown. In all other cases detectCrash returns the outcome unchanged.
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
