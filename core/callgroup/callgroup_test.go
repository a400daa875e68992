package callgroup

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
)

func at(d time.Duration) model.Instant { return model.Instant(0).Add(time.Minute + d) }

// TestParallelCallsFormAGroup checks which requests are taken for calls of one run.
func TestParallelCallsFormAGroup(t *testing.T) {
	tests := []struct {
		name  string
		gap   time.Duration
		route string
		size  int
	}{
		{"at the same moment", 0, "lookup", 2},
		{"almost at the same moment", maxArrivalGap, "lookup", 2},
		{"another route", 0, "search", 1},
		{"later", maxArrivalGap + 1, "lookup", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var tracker Tracker
			tracker.Join(at(0), "lookup")
			require.Equal(t, tt.size, tracker.Join(at(tt.gap), tt.route).Size())
		})
	}
}

// TestBusyRouteFormsNoGroups sends pairs of requests at a rate at which unrelated requests often arrive
// together. Once the rate falls, pairs form groups again.
func TestBusyRouteFormsNoGroups(t *testing.T) {
	var tracker Tracker
	sizeAt := func(when time.Duration) int {
		tracker.Join(at(when), "lookup")
		return tracker.Join(at(when), "lookup").Size()
	}
	when := time.Duration(0)
	for range maxRouteRate {
		when += ratePeriod / maxRouteRate
		sizeAt(when)
	}
	require.Equal(t, 1, sizeAt(when+ratePeriod/maxRouteRate))
	require.Equal(t, 2, sizeAt(when+3*ratePeriod))
}

// TestRoutesAreBounded sends requests of more routes than the tracker keeps.
func TestRoutesAreBounded(t *testing.T) {
	var tracker Tracker
	for i := range maxRoutes + 1 {
		tracker.Join(at(0), strconv.Itoa(i))
	}
	require.Len(t, tracker.byRoute, 1)
}

// TestProspect follows a group of two calls of which both are rejected. The first is retried, then
// the second. At last the first fails.
func TestProspect(t *testing.T) {
	var tracker Tracker
	g := tracker.Join(at(0), "lookup")
	require.Same(t, g, tracker.Join(at(0), "lookup"))
	g.Reject()
	require.Equal(t, Complete, g.Prospect())
	g.Reject()
	require.Equal(t, Partial, g.Prospect())
	g.Resume()
	require.Equal(t, Complete, g.Prospect())
	g.Fail()
	require.Equal(t, Hopeless, g.Prospect())
}
