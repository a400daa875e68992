package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/quarantine"
	"github.com/dottereltiller/dottereltiller/wire"
)

// quarantineStub is a Quarantine that refuses a request after two crashes.
type quarantineStub struct {
	crashesByFingerprint map[quarantine.Fingerprint][]quarantine.Crash
	// answered holds the fingerprints that were passed to RecordResponse.
	answered []quarantine.Fingerprint
}

func (q *quarantineStub) HasRecords() bool { return len(q.crashesByFingerprint) > 0 }

func (q *quarantineStub) RefusedFor(f quarantine.Fingerprint) (time.Duration, bool) {
	return 90 * time.Second, len(q.crashesByFingerprint[f]) >= 2
}

func (q *quarantineStub) RecordCrash(f quarantine.Fingerprint, _ quarantine.Request, crash quarantine.Crash) {
	q.crashesByFingerprint[f] = append(q.crashesByFingerprint[f], crash)
}

func (q *quarantineStub) RecordResponse(f quarantine.Fingerprint) { q.answered = append(q.answered, f) }

// TestRequestCrashesAtMostTwoUpstreams sends a request that crashes its upstream. It must
// be retried once. From then on it must be refused, also with other headers, while a
// request with another path must be answered.
func TestRequestCrashesAtMostTwoUpstreams(t *testing.T) {
	crashing := true
	c := newServiceChain(t, 1, func(call *wire.Call) *wire.Result {
		if crashing {
			return wire.NoResponse(outcome.UnknownBecause(outcome.ReasonUpstreamCrashed))
		}
		return respondOK(call)
	})
	stub := &quarantineStub{crashesByFingerprint: make(map[quarantine.Fingerprint][]quarantine.Crash)}
	c.entry.opts.Quarantine = stub
	w := c.send(0, nil)
	require.Equal(t, "unknown", w.Header().Get(wire.HeaderOutcome))
	require.EqualValues(t, outcome.ReasonUpstreamCrashed, w.Header().Get(wire.HeaderReason))
	require.EqualValues(t, 2, c.attemptCount.Load())

	w = c.send(0, nil)
	require.EqualValues(t, 2, c.attemptCount.Load(), "a retry by the caller is refused without an attempt")
	require.Equal(t, "not-run", w.Header().Get(wire.HeaderOutcome))
	require.EqualValues(t, outcome.ReasonQuarantined, w.Header().Get(wire.HeaderReason))
	require.Equal(t, "90", w.Header().Get("Retry-After"))

	crashing = false
	require.Equal(t, http.StatusServiceUnavailable, c.send(0, map[string]string{wire.HeaderTimeout: "1s"}).Code,
		"the fingerprint does not cover the headers")
	c.path = "/other"
	require.Equal(t, http.StatusOK, c.send(0, nil).Code)
	require.Len(t, stub.answered, 1, "a complete response is reported to the quarantine")
}
