package replay_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/placement"
)

// centralQueueShare returns the share within the target of one queue that knows how fast every
// upstream is now and will be, in which each request takes the place where it ends
// first, and is turned away where that would miss its target. It never fills an
// upstream past its knee.
func centralQueueShare(p workload, seed uint64) float64 {
	m := newMesh(p, usePlacement, seed)
	free := make([][]int, len(m.nodes))
	for i := range free {
		free[i] = make([]int, placement.DefaultLimit(p.slots))
	}
	inTime, sent := 0, 0
	for m.tick = 0; m.tick < m.lengthTicks; m.tick++ {
		for range m.arrivals() {
			sent++
			kind, work := m.drawRequest()
			node, slot, end := -1, -1, m.tick+int(kind.target/tickLength)+1
			for i := range m.nodes {
				for s := range free[i] {
					if e := m.nodes[i].finishTick(max(free[i][s], m.tick), end, work); e < end {
						node, slot, end = i, s, e
					}
				}
			}
			if node >= 0 {
				free[node][slot] = end
				inTime++
			}
		}
	}
	return float64(inTime) / float64(sent)
}

// finishTick returns the tick at which work ends that starts at one, or most.
func (n *meshNode) finishTick(start, most int, work float64) int {
	for t := start; t < most && t < len(n.speeds); t++ {
		if work -= n.speeds[t] * tickLength.Seconds(); work <= 0 {
			return t
		}
	}
	return most
}

// TestNoisyUpstreams holds the share of requests within their target to what has been
// reached, for loads that were hard.
func TestNoisyUpstreams(t *testing.T) {
	for name, c := range map[string]struct {
		workload
		// atLeast is a little below what the product reaches.
		atLeast float64
	}{
		"usual load":           {workload{rate: 80, slots: 6, noise: 0.25}, 0.97},
		"heavy load":           {workload{rate: 125, slots: 6, noise: 0.25}, 0.965},
		"overload":             {workload{rate: 250, slots: 6, noise: 0.25}, 0.79},
		"heavy noise":          {workload{rate: 80, slots: 6, noise: 0.5}, 0.91},
		"a third starts anew":  {workload{rate: 100, slots: 6, noise: 0.25, restartedUpstreams: 4}, 0.955},
		"two slots":            {workload{rate: 25, slots: 2, noise: 0.25}, 0.93},
		"slowness untold":      {workload{rate: 80, slots: 6, noise: 0.25, hideSlowdown: true}, 0.945},
		"many slots, no noise": {workload{rate: 400, slots: 20}, 0.999},
	} {
		t.Run(name, func(t *testing.T) {
			// noMore is what chance alone makes of two shares that are equal.
			const seeds, noMore = 3, 0.002
			var ours, chance, fewest, best float64
			for seed := range uint64(seeds) {
				ours += newMesh(c.workload, usePlacement, seed).play() / seeds
				chance += newMesh(c.workload, useRandom, seed).play() / seeds
				fewest += newMesh(c.workload, useLeastOutstanding, seed).play() / seeds
				best += centralQueueShare(c.workload, seed) / seeds
			}
			t.Logf("within target: %.3f; by chance %.3f, fewest outstanding %.3f, central queue %.3f", ours, chance, fewest, best)
			require.GreaterOrEqual(t, ours, c.atLeast)
			require.GreaterOrEqual(t, ours, chance-noMore)
			require.GreaterOrEqual(t, ours, fewest-noMore)
			require.LessOrEqual(t, ours, best+noMore)
		})
	}
}

// TestNoResetsWhenFull answers upstreams that reset connections once their slots and
// queue are full, which leaves unknown whether a request has run: guards keep their
// upstreams from it under any load, where choosing the fewest outstanding alone does
// not, and more is in time.
func TestNoResetsWhenFull(t *testing.T) {
	for name, c := range map[string]struct {
		workload
		// straightResets is the least share that is reset without guards.
		straightResets float64
	}{
		"all that there is room for": {workload{rate: 250, slots: 6, noise: 0.25, upstreamQueue: 12}, 0.15},
		"half as much again":         {workload{rate: 375, slots: 6, noise: 0.25, upstreamQueue: 12}, 0.4},
		"twice as much":              {workload{rate: 500, slots: 6, noise: 0.25, upstreamQueue: 12}, 0.55},
		"short queue":                {workload{rate: 375, slots: 6, noise: 0.25, upstreamQueue: 2}, 0.4},
	} {
		t.Run(name, func(t *testing.T) {
			product, straight := newMesh(c.workload, usePlacement, 1), newMesh(c.workload, useLeastOutstandingWithoutGuards, 1)
			ours, theirs := product.play(), straight.play()
			resets := float64(straight.resets) / float64(straight.sent)
			t.Logf("within target: %.3f, without guards %.3f and %.3f reset", ours, theirs, resets)
			require.Zero(t, product.resets)
			require.Greater(t, resets, c.straightResets)
			require.Greater(t, ours, theirs)
		})
	}
}
