package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// TestSurgeOfOneGroupDoesNotSlowOthers simulates surges of one group at an
// upstream with six slots. It compares the p99 latency of another group, the
// victim, with and without the surge. The names of the groups come from two example
// deployments.
func TestSurgeOfOneGroupDoesNotSlowOthers(t *testing.T) {
	const duration = 8 * time.Second
	ms := time.Millisecond
	tests := []struct {
		name   string
		groups []Group
		victim workload
		surge  []workload
		// maxRatio is the largest allowed ratio of the victim's p99 latency with the
		// surge to its p99 latency without the surge. It is near 1 where the
		// requests of the surge are not longer than those of the victim.
		maxRatio float64
	}{
		{
			"archive searches against sorters",
			[]Group{{Name: "sorters", Weight: 8}, {Name: "searches", Weight: 1, QueueBound: 64}},
			workload{group: "sorters", caller: "bench", slotTime: exponential(3 * ms), interval: ms, timeout: 2 * time.Second, stopAt: duration},
			[]workload{{group: "searches", caller: "portal", slotTime: exponential(3 * ms), interval: 50 * time.Microsecond, timeout: 2 * time.Second, stopAt: duration}},
			1.1,
		},
		{
			"archive searches ten times as long as lookups",
			[]Group{{Name: "sorters", Weight: 8}, {Name: "searches", Weight: 1, QueueBound: 64}},
			workload{group: "sorters", caller: "bench", slotTime: exponential(2 * ms), interval: ms, timeout: 2 * time.Second, stopAt: duration},
			[]workload{{group: "searches", caller: "portal", slotTime: exponential(20 * ms), interval: ms, timeout: 2 * time.Second, stopAt: duration}},
			// A running search cannot be preempted, so the victim's latency
			// includes the wait for a slot to become free.
			2.6,
		},
		{
			"long archive searches held to half of the slots",
			[]Group{{Name: "sorters", Weight: 8}, {Name: "searches", Weight: 1, QueueBound: 64, MaxRunning: 3}},
			workload{group: "sorters", caller: "bench", slotTime: exponential(2 * ms), interval: ms, timeout: 2 * time.Second, stopAt: duration},
			[]workload{{group: "searches", caller: "portal", slotTime: exponential(20 * ms), interval: ms, timeout: 2 * time.Second, stopAt: duration}},
			1.3,
		},
		{
			"morning rush of bookings against shed checks",
			[]Group{{Name: "sheds", Weight: 2}, {Name: "bookings", Weight: 3}},
			workload{group: "sheds", caller: "gang", slotTime: exponential(4 * ms), interval: 2 * ms, timeout: time.Second, stopAt: duration},
			[]workload{{group: "bookings", caller: "farm", slotTime: exponential(4 * ms), interval: 70 * time.Microsecond, timeout: time.Second, startAt: time.Second, stopAt: 3 * time.Second}},
			1.1,
		},
		{
			"ten thousand connections of one group",
			[]Group{{Name: "sorters", Weight: 1}, {Name: "crowd", Weight: 1}},
			workload{group: "sorters", caller: "bench", slotTime: exponential(3 * ms), interval: 2 * ms, timeout: time.Second, stopAt: duration},
			manyCallers(10_000, duration),
			1.1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			baselineSim := newSimulator(t, 6, Options{}, tt.groups...)
			baselineSim.run(tt.victim)
			withSurgeSim := newSimulator(t, 6, Options{}, tt.groups...)
			withSurgeSim.run(append([]workload{tt.victim}, tt.surge...)...)
			group := tt.victim.group
			baselineP99, surgeP99 := quantile(baselineSim.latenciesByGroup[group], 0.99), quantile(withSurgeSim.latenciesByGroup[group], 0.99)
			t.Logf("p99 %v alone, %v with the surge: %.3f", baselineP99, surgeP99, float64(surgeP99)/float64(baselineP99))
			require.Empty(t, withSurgeSim.refusalCounts[group], "no request of the victim is refused")
			require.LessOrEqual(t, float64(surgeP99), tt.maxRatio*float64(baselineP99))
			require.Positive(t, withSurgeSim.slotTimeByGroup[tt.surge[0].group], "some requests of the surge run too")
		})
	}
}

// manyCallers returns the workloads of n callers of one group. Each caller sends a
// request every two seconds.
func manyCallers(n int, duration time.Duration) []workload {
	workloads := make([]workload, 0, n)
	for i := range n {
		workloads = append(workloads, workload{
			group: "crowd", caller: model.CallerName(fmt.Sprint("c", i)), slotTime: exponential(3 * time.Millisecond),
			interval: 2 * time.Second, timeout: time.Second, startAt: time.Duration(i) * 10 * time.Microsecond, stopAt: duration,
		})
	}
	return workloads
}

// TestGoodputWithShortDeadlines overloads the upstream with requests whose
// deadline is only a few mean slot times away. Requests that would end too late
// must not take slots from requests that would end in time.
func TestGoodputWithShortDeadlines(t *testing.T) {
	goodputAt := func(multiple float64) int {
		sim := newSimulator(t, overloadSlots, Options{}, Group{Name: "g", Weight: 1})
		interval := time.Duration(float64(overloadSlotTime) / overloadSlots / multiple)
		sim.run(workload{group: "g", caller: "c", slotTime: exponential(overloadSlotTime), interval: interval, timeout: 6 * overloadSlotTime, stopAt: overloadSeconds * time.Second})
		return sum(sim.inTimeByWindow["g"])
	}
	goodputAtCapacity := goodputAt(1)
	for _, multiple := range []float64{2, 5} {
		got := goodputAt(multiple)
		t.Logf("%vx: %d in time, %d at 1x", multiple, got, goodputAtCapacity)
		require.GreaterOrEqual(t, float64(got), 0.95*float64(goodputAtCapacity), "at %vx", multiple)
	}
}
