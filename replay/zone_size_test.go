package replay_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLargerZonesServeNoLess has zones grow from a few upstreams to many under the same load
// for each: asking a few guards before sending serves no less.
func TestLargerZonesServeNoLess(t *testing.T) {
	const few, many = upstreamsPerZone, 30
	for name, rate := range map[string]float64{"usual load": 7, "heavy load": 14} {
		t.Run(name, func(t *testing.T) {
			play := func(perZone int) float64 {
				p := workload{rate: rate * float64(meshZones*perZone), slots: 6, noise: 0.25, zoneSize: perZone}
				return newMesh(p, usePlacement, 1).play()
			}
			small, large := play(few), play(many)
			t.Logf("within target: %.3f with %d upstreams in a zone, %.3f with %d", small, few, large, many)
			require.GreaterOrEqual(t, large, small)
		})
	}
}
