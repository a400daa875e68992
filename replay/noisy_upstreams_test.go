package replay_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/placement"
)

// centralQueueShare returns the share of requests within their target that one central
// queue reaches. The queue knows the present and future speed of every upstream. It
// assigns each request to the slot where it ends first, and refuses the request if it
// would miss its target there. It uses only placement.DefaultLimit slots of each
// upstream. With so few busy slots, only upstreams with one or two slots would slow down.
// The queue does not simulate this slowdown.
func centralQueueShare(w workload, seed uint64) float64 {
	m := newMesh(w, usePlacement, seed)
	// freeAt holds the tick at which each slot of each upstream becomes free.
	freeAt := make([][]int, len(m.nodes))
	for i := range freeAt {
		freeAt[i] = make([]int, placement.DefaultLimit(w.slots))
	}
	inTimeCount, sentCount := 0, 0
	for m.tick = 0; m.tick < m.lengthTicks; m.tick++ {
		for range m.drawArrivalCount() {
			sentCount++
			kind, serviceSeconds := m.drawRequest()
			// The initial bestEnd is the first tick after the target of the request.
			bestNode, bestSlot, bestEnd := -1, -1, m.tick+int(kind.target/tickLength)+1
			for i := range m.nodes {
				for s := range freeAt[i] {
					if end := m.nodes[i].finishTick(max(freeAt[i][s], m.tick), bestEnd, serviceSeconds); end < bestEnd {
						bestNode, bestSlot, bestEnd = i, s, end
					}
				}
			}
			if bestNode >= 0 {
				freeAt[bestNode][bestSlot] = bestEnd
				inTimeCount++
			}
		}
	}
	return float64(inTimeCount) / float64(sentCount)
}

// finishTick returns the tick at which a request with the given service time ends if it
// starts at startTick. It returns limitTick if the request does not end before limitTick.
func (n *meshNode) finishTick(startTick, limitTick int, serviceSeconds float64) int {
	for t := startTick; t < limitTick && t < len(n.speeds); t++ {
		if serviceSeconds -= n.speeds[t] * tickLength.Seconds(); serviceSeconds <= 0 {
			return t
		}
	}
	return limitTick
}

// TestNoisyUpstreams checks the share of requests within their target for several
// workloads. The share of the production policy must reach a fixed value and the share of
// two simpler routing policies. It must not exceed the share of the central queue. The
// comparisons allow a small tolerance.
func TestNoisyUpstreams(t *testing.T) {
	for name, c := range map[string]struct {
		workload
		// minShare is slightly below the share that the production policy reaches.
		minShare float64
	}{
		"normal load":                       {workload{rate: 80, slots: 6, noiseShare: 0.25}, 0.97},
		"heavy load":                        {workload{rate: 125, slots: 6, noiseShare: 0.25}, 0.965},
		"overload":                          {workload{rate: 250, slots: 6, noiseShare: 0.25}, 0.79},
		"heavy noise":                       {workload{rate: 80, slots: 6, noiseShare: 0.5}, 0.91},
		"a third of the upstreams restarts": {workload{rate: 100, slots: 6, noiseShare: 0.25, restartedUpstreams: 4}, 0.955},
		"two slots":                         {workload{rate: 25, slots: 2, noiseShare: 0.25}, 0.93},
		"slowdown not reported":             {workload{rate: 80, slots: 6, noiseShare: 0.25, hideSlowdown: true}, 0.945},
		"many slots, no noise":              {workload{rate: 400, slots: 20}, 0.999},
	} {
		t.Run(name, func(t *testing.T) {
			// Random variation makes the shares of two equally good policies differ by
			// up to tolerance.
			const seeds, tolerance = 3, 0.002
			var production, random, leastOutstanding, central float64
			for seed := range uint64(seeds) {
				production += newMesh(c.workload, usePlacement, seed).simulate() / seeds
				random += newMesh(c.workload, useRandom, seed).simulate() / seeds
				leastOutstanding += newMesh(c.workload, useLeastOutstanding, seed).simulate() / seeds
				central += centralQueueShare(c.workload, seed) / seeds
			}
			t.Logf("share within target: %.3f; random %.3f, least outstanding %.3f, central queue %.3f", production, random, leastOutstanding, central)
			require.GreaterOrEqual(t, production, c.minShare)
			require.GreaterOrEqual(t, production, random-tolerance)
			require.GreaterOrEqual(t, production, leastOutstanding-tolerance)
			require.LessOrEqual(t, production, central+tolerance)
		})
	}
}

// TestNoResetsWhenFull checks that guards keep upstreams from resetting connections. An
// upstream resets the connection of a new request when its slots and its own queue are
// full. The caller then cannot know whether the request was executed. Without guards,
// routing to the fewest outstanding requests causes many resets, and fewer requests are
// served within their target.
func TestNoResetsWhenFull(t *testing.T) {
	for name, c := range map[string]struct {
		workload
		// minResetShare is the minimum share of requests whose connections the
		// upstreams reset in the mesh without guards.
		minResetShare float64
	}{
		"load equal to capacity":      {workload{rate: 250, slots: 6, noiseShare: 0.25, upstreamQueue: 12}, 0.15},
		"load 1.5 times the capacity": {workload{rate: 375, slots: 6, noiseShare: 0.25, upstreamQueue: 12}, 0.4},
		"load twice the capacity":     {workload{rate: 500, slots: 6, noiseShare: 0.25, upstreamQueue: 12}, 0.55},
		"short upstream queue":        {workload{rate: 375, slots: 6, noiseShare: 0.25, upstreamQueue: 2}, 0.4},
	} {
		t.Run(name, func(t *testing.T) {
			withGuards, withoutGuards := newMesh(c.workload, usePlacement, 1), newMesh(c.workload, useLeastOutstandingWithoutGuards, 1)
			shareWithGuards, shareWithoutGuards := withGuards.simulate(), withoutGuards.simulate()
			resetShare := float64(withoutGuards.resetCount) / float64(withoutGuards.sentCount)
			t.Logf("share within target: %.3f; without guards %.3f, and %.3f reset", shareWithGuards, shareWithoutGuards, resetShare)
			require.Zero(t, withGuards.resetCount)
			require.Greater(t, resetShare, c.minResetShare)
			require.Greater(t, shareWithGuards, shareWithoutGuards)
		})
	}
}
