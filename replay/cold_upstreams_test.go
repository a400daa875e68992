package replay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/startrate"
)

// Bounds on cold upstreams besides workload.coldRate.
const (
	coldOverage = 1.5  // factor on the rate while requests wait
	coldSlack   = 8    // requests a second on top of that in any second
	asBefore    = 0.98 // of the share in time before the upstreams became cold
)

// becomeCold tells the guard of an upstream that the upstream has just become cold. A rate of zero
// limits nothing.
func (n *meshNode) becomeCold(now model.Instant, rate float64) {
	n.limiter.Cold.SetLimits(startrate.ColdLimits{
		Rate: rate, PeakRate: coldOverage * rate, Max: int(coldOverage*rate) + coldSlack, Duration: coldTicks * tickLength,
	})
	n.limiter.Cold.Observe(now, now, coldTicks*tickLength)
}

// spanCount counts the requests that arrive in a span of time, and those of them that are in time.
type spanCount struct{ arrived, inTime float64 }

func (c spanCount) share() float64 { return c.inTime / c.arrived }

// meanPerSecond returns the mean count per second from one second to another one.
func meanPerSecond(countByTick map[int]int, fromSecond, toSecond int) float64 {
	const ticksPerSecond = int(time.Second / tickLength)
	n := 0
	for tick := fromSecond * ticksPerSecond; tick < toSecond*ticksPerSecond; tick++ {
		n += countByTick[tick]
	}
	return float64(n) / float64(toSecond-fromSecond)
}

// TestAllUpstreamsColdAtOnce has all upstreams of a service come back cold at the same moment, as after
// a loss of power, under 1.5 times the load that they bear then (cold cache herd). No upstream may get
// more than it tolerates, none may be left idle while others are overloaded, and service must be as
// before a second after they are warm.
func TestAllUpstreamsColdAtOnce(t *testing.T) {
	const coldRate, upstreams = 10.0, meshZoneCount * upstreamsPerZone
	load := workload{rate: 1.5 * coldRate * coldOverage * upstreams, slots: 9, noiseShare: 0.25, restartedUpstreams: upstreams, coldRate: coldRate}
	for seed := range uint64(12) {
		m := newMesh(load, usePlacement, seed)
		finishedByTick := map[int]int{}
		var before, after, neither spanCount
		spanOf := func(r *meshRequest) *spanCount {
			switch second := int(time.Duration(r.arrivedAt) / time.Second); {
			case second >= 2 && second < 5:
				return &before
			case second >= 9 && second < 15:
				return &after
			default:
				return &neither
			}
		}
		m.onArrival = func(r *meshRequest) { spanOf(r).arrived++ }
		m.onFinish = func(r *meshRequest) {
			finishedByTick[m.tick]++
			if m.now.Sub(r.arrivedAt) <= r.target {
				spanOf(r).inTime++
			}
		}
		m.simulate()
		fewest, most := 1<<30, 0
		for _, n := range m.nodes {
			require.LessOrEqual(t, mostInWindow(n.coldStarts, time.Second), int(coldOverage*coldRate)+coldSlack, n.key)
			fewest, most = min(fewest, len(n.coldStarts)), max(most, len(n.coldStarts))
		}
		require.Greater(t, fewest, most/2, "cold upstreams share the load")
		require.Greater(t, meanPerSecond(finishedByTick, 6, 8), coldRate*upstreams, "cold upstreams serve their rate")
		require.Greater(t, after.share(), asBefore*before.share(), "a second after all are warm")
	}
}

// TestUrgentRequestsFirstWhileCold has all upstreams of a service cold under too much load. Requests of
// rank 0, which other services wait for, must be served before those of rank 1.
func TestUrgentRequestsFirstWhileCold(t *testing.T) {
	const coldRate, upstreams = 10.0, meshZoneCount * upstreamsPerZone
	load := workload{rate: 1.5 * coldRate * coldOverage * upstreams, slots: 9, restartedUpstreams: upstreams, coldRate: coldRate}
	m := newMesh(load, usePlacement, 1)
	servedByRank, sentByRank := map[int]float64{}, map[int]float64{}
	whileCold := func(arrivedAt model.Instant) bool {
		return arrivedAt > model.Instant(6*time.Second) && arrivedAt < model.Instant(7500*time.Millisecond)
	}
	m.onArrival = func(r *meshRequest) {
		if whileCold(r.arrivedAt) {
			sentByRank[r.rank]++
		}
	}
	m.onFinish = func(r *meshRequest) {
		if whileCold(r.arrivedAt) && m.now.Sub(r.arrivedAt) <= r.target {
			servedByRank[r.rank]++
		}
	}
	m.simulate()
	require.Greater(t, servedByRank[0]/sentByRank[0], 1.2*servedByRank[1]/sentByRank[1])
	require.Less(t, servedByRank[1]/sentByRank[1], 0.75, "there is too much load")
	require.Greater(t, servedByRank[1], 0.0)
}
