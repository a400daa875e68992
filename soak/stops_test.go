package soak

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/platform/platformtest"
)

// TestStopsPlanHasPlannedFaultsOnly checks that a plan of stops has stops in series and only planned
// faults, in order and none at its end, and that a seed always draws the same plan.
func TestStopsPlanHasPlannedFaultsOnly(t *testing.T) {
	for seed := range uint64(50) {
		p := StopsPlan(seed, 5, 40*time.Second)
		require.Equal(t, p, StopsPlan(seed, 5, 40*time.Second))
		require.True(t, p.onlyPlanned())
		stops, last := 0, time.Duration(0)
		for _, f := range p.Faults {
			require.GreaterOrEqual(t, f.At, last)
			last = f.At
			require.Less(t, f.At, p.Length-faultFreeEnd)
			require.True(t, f.VM > 0 && f.VM <= p.VMs || vmOptionalKinds[f.Kind], f)
			if f.Kind == kindTerm {
				stops++
			}
		}
		require.Greater(t, stops, 5)
	}
}

// TestAbortsByAStopAreFoundAfterUnplannedFaults guards against a check that misses requests which a stop
// has aborted once a plan has had unplanned faults.
func TestAbortsByAStopAreFoundAfterUnplannedFaults(t *testing.T) {
	h := &harness{checker: newChecker()}
	h.checker.recordSent("x", "a", false)
	aborted := platformtest.Result{Status: 502, Body: "draining\n"}
	require.False(t, h.lostByDaemon("x", aborted, nil, time.Second, false), "never ran")
	h.checker.RequestStarted(&platformtest.Upstream{}, "x", "a")
	require.True(t, h.lostByDaemon("x", aborted, nil, time.Second, false))
	require.False(t, h.lostByDaemon("x", platformtest.Result{Status: 502, Body: "connection-lost\n"}, nil, time.Second, false))
}

// TestRequestsThatDaemonsLoseAreFound checks which ends of a request that ran count as lost: any that is
// not the response of an upstream while an upstream was executing the request, had answered it, or had
// it broken off by its daemon, unless the time of the request is up.
func TestRequestsThatDaemonsLoseAreFound(t *testing.T) {
	closed := errors.New("connection closed")
	own := platformtest.Result{Status: 502}
	sealed := platformtest.Result{Status: 500, Seal: "s"}
	const left = time.Second
	for name, c := range map[string]struct {
		ends     []platformtest.RunEnd // the ends of executions
		running  bool                  // whether another execution has not ended
		result   platformtest.Result
		err      error
		timeLeft time.Duration
		want     bool
	}{
		"own response while it runs":                    {nil, true, own, nil, left, true},
		"own response at the end of its time":           {nil, true, own, nil, deadlineTolerance, false},
		"own response after an answer":                  {[]platformtest.RunEnd{platformtest.RunAnswered}, false, own, nil, left, true},
		"own response after a daemon broke it off":      {[]platformtest.RunEnd{platformtest.RunBrokenOff}, false, own, nil, left, true},
		"own response after the upstream broke it off":  {[]platformtest.RunEnd{platformtest.RunLost}, false, own, nil, left, false},
		"own response while it runs at another":         {[]platformtest.RunEnd{platformtest.RunLost}, true, own, nil, left, true},
		"own response, never ran":                       {nil, false, own, nil, left, false},
		"response of an upstream":                       {[]platformtest.RunEnd{platformtest.RunAnswered}, true, sealed, nil, left, false},
		"connection closed while it runs":               {nil, true, platformtest.Result{}, closed, left, true},
		"connection closed, the upstream broke it off":  {[]platformtest.RunEnd{platformtest.RunLost}, false, platformtest.Result{}, closed, left, true},
		"connection closed, never ran":                  {nil, false, platformtest.Result{}, closed, left, false},
		"the caller has given up":                       {nil, true, platformtest.Result{}, context.DeadlineExceeded, left, false},
		"connection closed while it runs, time is over": {nil, true, platformtest.Result{}, closed, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := &harness{checker: newChecker()}
			up := &platformtest.Upstream{}
			h.checker.recordSent("x", "a", false)
			for _, end := range c.ends {
				h.checker.RequestStarted(up, "x", "a")
				h.checker.RequestEnded(up, "x", end)
			}
			if c.running {
				h.checker.RequestStarted(up, "x", "a")
			}
			require.Equal(t, c.want, h.lostByDaemon("x", c.result, c.err, c.timeLeft, true))
			if c.err != nil {
				require.Equal(t, c.want, h.lostByDaemon("x", c.result, c.err, c.timeLeft, false), "after an unplanned fault")
			}
		})
	}
}
