package replay_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/placement"
)

// zoneDemand describes how the demand of zones differs, and what fails meanwhile. The zero value spreads
// the demand equally.
type zoneDemand struct {
	// swing is the amplitude of the wave of each zone's demand, as a share of its mean. The waves of
	// the zones are a third of a period apart.
	swing float64
	// period is the length of a wave.
	period time.Duration
	// moved is the share of the callers of other zones that use the first zone in the second half of
	// the simulation.
	moved float64
	// loadAge is how old the loads are that guards report.
	loadAge time.Duration
	// restarts has the daemons of the first zone forget all loads in the middle of the simulation.
	restarts bool
	// cut separates the last zone from the others in the second half of the simulation.
	cut bool
}

// weightOf returns the demand of a zone at a tick, where 1 is the mean.
func (d zoneDemand) weightOf(zone model.AvailabilityZone, tick, lengthTicks int) float64 {
	index := int(zone[0] - 'a')
	weight := 1.0
	if d.swing > 0 {
		phase := float64(index) / meshZoneCount
		weight += d.swing * math.Sin(2*math.Pi*(float64(tick)/float64(d.period/tickLength)+phase))
	}
	switch {
	case tick < lengthTicks/2:
		return weight
	case index == 0:
		return weight + d.moved*(meshZoneCount-1)
	default:
		return weight * (1 - d.moved)
	}
}

// drawEntry draws the entry at which a request arrives.
func (m *mesh) drawEntry() *meshNode {
	if m.zones == (zoneDemand{}) {
		return m.nodes[m.rng.IntN(len(m.nodes))]
	}
	total := 0.0
	for _, n := range m.nodes {
		total += m.zones.weightOf(n.zone, m.tick, m.lengthTicks)
	}
	left := m.rng.Float64() * total
	for _, n := range m.nodes {
		if left -= m.zones.weightOf(n.zone, m.tick, m.lengthTicks); left <= 0 {
			return n
		}
	}
	return m.nodes[len(m.nodes)-1]
}

// applyZoneFaults applies the faults of zoneDemand at the current tick, and records the loads that guards
// report later.
func (m *mesh) applyZoneFaults() {
	if m.zones.loadAge > 0 {
		for _, n := range m.nodes {
			n.pastLoads = append(n.pastLoads, m.load(n))
		}
	}
	if m.zones.restarts && m.tick == m.lengthTicks/2 {
		for _, n := range m.nodes {
			if n.zone == m.nodes[0].zone {
				n.placer = placement.New(placement.Options{Zone: n.zone, Rand: m.rng.Float64})
			}
		}
		m.updateUpstreams()
	}
	if !m.zones.cut || m.tick < m.lengthTicks/2 {
		return
	}
	cutZone := m.nodes[len(m.nodes)-1].zone
	for _, from := range m.nodes {
		for _, to := range m.nodes {
			if (from.zone == cutZone) != (to.zone == cutZone) {
				from.placer.MarkUnreachable(m.now, to.key)
			}
		}
	}
}

// reportedLoad returns the load that a guard reports in reply to a load query.
func (m *mesh) reportedLoad(n *meshNode) placement.Load {
	if m.zones.loadAge == 0 {
		return m.load(n)
	}
	return n.pastLoads[max(len(n.pastLoads)-1-int(m.zones.loadAge/tickLength), 0)]
}

// TestDemandMovesBetweenZones covers demand that is uneven between zones: waves that are in different
// phases, and callers who move to one zone. The zone that is ahead has more work than slots, the others
// have room. Nearly as many requests must be served within their target as with even demand, also with
// old loads, after daemons have forgotten all loads and while a zone is cut off.
func TestDemandMovesBetweenZones(t *testing.T) {
	const seeds, rate = 3, 160
	for name, c := range map[string]struct {
		zones zoneDemand
		// minShare is slightly below the share of requests served within their target.
		minShare float64
	}{
		"even":                           {zoneDemand{}, 0.967},
		"waves":                          {zoneDemand{swing: 0.55, period: 15 * time.Second}, 0.968},
		"callers move":                   {zoneDemand{moved: 0.5}, 0.972},
		"waves, loads 300 ms old":        {zoneDemand{swing: 0.55, period: 15 * time.Second, loadAge: 300 * time.Millisecond}, 0.936},
		"callers move, loads 300 ms old": {zoneDemand{moved: 0.5, loadAge: 300 * time.Millisecond}, 0.934},
		"callers move, daemons restart":  {zoneDemand{moved: 0.5, restarts: true}, 0.972},
		"waves, a zone is cut off":       {zoneDemand{swing: 0.55, period: 15 * time.Second, cut: true}, 0.961},
	} {
		t.Run(name, func(t *testing.T) {
			share, served, crossed, crossedBack := 0.0, 0, 0, 0
			for seed := range uint64(seeds) {
				m := newMesh(workload{rate: rate, slots: 6, noiseShare: 0.25, zones: c.zones}, usePlacement, seed)
				m.onFinish = func(r *meshRequest) {
					served++
					if r.guard.zone == r.entry.zone {
						return
					}
					crossed++
					if r.guard.zone == m.nodes[0].zone && m.tick >= m.lengthTicks/2 {
						crossedBack++
					}
				}
				share += m.simulate() / seeds
			}
			t.Logf("share within target: %.4f; of %d served, %d in another zone, %d into the first zone in the second half", share, served, crossed, crossedBack)
			require.GreaterOrEqual(t, share, c.minShare)
			if c.zones.moved > 0 {
				require.Less(t, crossedBack, crossed/10, "requests cross one way")
			}
		})
	}
}
