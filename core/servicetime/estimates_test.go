package servicetime

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
)

func TestEstimateFollowsRequests(t *testing.T) {
	var e Estimates
	require.Equal(t, Default, e.Expected(0, "r", time.Second))
	e.Record(0, "r", 100*time.Millisecond)
	require.Equal(t, 100*time.Millisecond, e.Expected(0, "r", time.Second))
	for range 100 {
		e.Record(0, "r", 200*time.Millisecond)
	}
	require.InDelta(t, 200, e.Expected(0, "r", time.Second).Milliseconds(), 1)
	require.Equal(t, Default, e.Expected(0, "other", time.Second))
}

// TestWrongEstimateIsCorrected guards against an estimate so high that all requests are refused, which
// no response would ever correct.
func TestWrongEstimateIsCorrected(t *testing.T) {
	var e Estimates
	e.Record(0, "r", time.Hour)
	later := model.Instant(2 * time.Second)
	require.Equal(t, time.Second, e.Expected(later, "r", 3*time.Second), "requests are sent again")
	e.Record(later, "r", 10*time.Millisecond)
	require.Less(t, e.Expected(later, "r", 3*time.Second), 20*time.Millisecond)
}

func TestNumberOfRoutesIsBounded(t *testing.T) {
	var e Estimates
	for i := range 3 * maxRoutes {
		e.Record(0, fmt.Sprint(i), time.Second)
		require.LessOrEqual(t, len(e.byRoute), maxRoutes)
	}
}
