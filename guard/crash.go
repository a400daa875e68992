package guard

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// crashTimeout bounds the look at an upstream that lost a connection.
const crashCheckTimeout = 250 * time.Millisecond

// settleLoss says of a call whose connection was lost whether the upstream
// died: then nothing listens at its address any more. What did or did not run
// stays unknown.
func (u *upstreamProxy) detectCrash(result outcome.Outcome) outcome.Outcome {
	if result.Kind != outcome.Unknown || result.Reason != outcome.ReasonConnectionLost {
		return result
	}
	conn, err := net.DialTimeout("tcp", u.upstream.Address, crashCheckTimeout)
	if err == nil {
		_ = conn.Close()
		return result
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		result.Reason = outcome.ReasonUpstreamCrashed
	}
	return result
}
