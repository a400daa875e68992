package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFailureRateDecays(t *testing.T) {
	var f FailureRate
	require.Zero(t, f.At(at(0)))
	for range 40 {
		f.Record(at(0), true)
	}
	require.InDelta(t, 1, f.At(at(0)), 0.01)
	require.InDelta(t, 0.5, f.At(at(0).Add(failureHalfLife)), 0.01)
	require.Less(t, f.At(at(0).Add(4*failureHalfLife)), jitter, "low enough to be tried again")
	f.Record(at(0).Add(4*failureHalfLife), true)
	require.Greater(t, f.At(at(0).Add(4*failureHalfLife)), jitter, "one more failure makes it avoided again")
	for range 40 {
		f.Record(at(0).Add(5*failureHalfLife), false)
	}
	require.Less(t, f.At(at(0).Add(5*failureHalfLife)), 0.01)
}

// TestUpstreamIsChosenAgainAfterOneFailure guards against a failure rate that does not
// decay. With such a rate, an upstream that had failed one request was expected to take an
// eighth longer forever. It was never chosen again while others were idle.
func TestUpstreamIsChosenAgainAfterOneFailure(t *testing.T) {
	p := New(Options{Zone: "local", Rand: rand.New(rand.NewPCG(1, 1)).Float64})
	p.SetUpstreams([]Upstream{{Key: "a", Zone: "local", Slots: 6}, {Key: "b", Zone: "local", Slots: 6}})
	var f FailureRate
	f.Record(at(0), true)
	chosen := 0
	for i := range 400 {
		now := at(0).Add(time.Duration(i) * 50 * time.Millisecond)
		l := idle(1)
		l.FailureRate = f.At(now)
		p.UpdateLoad(now, "a", l)
		p.UpdateLoad(now, "b", idle(1))
		c := choose(t, p, now)
		if c.Upstream.Key == "a" {
			chosen++
		}
		p.Done(now, c.Upstream.Key, nil)
	}
	require.Greater(t, chosen, 100)
}
