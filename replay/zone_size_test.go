package replay_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLargerZonesServeNoLess checks that the share of requests served within their
// target does not fall when zones have more upstreams and proportionally more load. It
// could fall because an entry queries the load of only a few upstreams before it sends a
// request, whatever the size of the zone.
func TestLargerZonesServeNoLess(t *testing.T) {
	const few, many = upstreamsPerZone, 30
	for name, ratePerUpstream := range map[string]float64{"normal load": 7, "heavy load": 14} {
		t.Run(name, func(t *testing.T) {
			simulate := func(perZone int) float64 {
				w := workload{rate: ratePerUpstream * float64(meshZoneCount*perZone), slots: 6, noiseShare: 0.25, upstreamsInZone: perZone}
				return newMesh(w, usePlacement, 1).simulate()
			}
			smallZoneShare, largeZoneShare := simulate(few), simulate(many)
			t.Logf("share within target: %.3f with %d upstreams in a zone, %.3f with %d", smallZoneShare, few, largeZoneShare, many)
			require.GreaterOrEqual(t, largeZoneShare, smallZoneShare)
		})
	}
}
