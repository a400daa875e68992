package bench

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFitSlopeFindsLineAndFitError checks that the fit of points on a line is exact, and that
// FitError is more than 5% for points on a parabola.
func TestFitSlopeFindsLineAndFitError(t *testing.T) {
	cases := map[string]struct {
		value            func(n int) float64
		slope, intercept float64
		exact            bool
	}{
		"line":     {func(n int) float64 { return 7 + 3*float64(n) }, 3, 7, true},
		"constant": {func(int) float64 { return 5 }, 0, 5, true},
		"square":   {func(n int) float64 { return float64(n * n) }, 7, -10, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := measurement{sizes: []int{1, 2, 4, 6}, run: func(_ context.Context, n int) (float64, error) { return c.value(n), nil }}
			s, err := m.fitSlope(t.Context())
			require.NoError(t, err)
			if c.exact {
				require.InDelta(t, c.slope, s.Slope, 1e-9)
				require.InDelta(t, c.intercept, s.Intercept, 1e-9)
				require.InDelta(t, 0, s.FitError, 1e-9)
				return
			}
			require.Greater(t, s.FitError, 0.05)
		})
	}
}

func TestCapacityMeasuresGrowingState(t *testing.T) {
	slopes, err := Capacity(t.Context(), CapacityOptions{StateOnly: true})
	require.NoError(t, err)
	require.Len(t, slopes, len(stateMeasurements()))
	for _, s := range slopes {
		if s.Unit == "bytes" {
			require.Positive(t, s.Slope, s.Name)
		}
	}
}
