package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	overloadSlots    = 6
	overloadSlotTime = 5 * time.Millisecond
	overloadTimeout  = 200 * time.Millisecond
	overloadSeconds  = 10
)

// goodput simulates a load of the given multiple of the upstream's capacity. It
// returns the number of requests that ended by their deadline.
func goodput(t *testing.T, multiple float64) int {
	sim := newSimulator(t, overloadSlots, Options{}, Group{Name: "g", Weight: 1})
	interval := time.Duration(float64(overloadSlotTime) / overloadSlots / multiple)
	sim.run(workload{
		group: "g", caller: "c", slotTime: exponential(overloadSlotTime), interval: interval,
		timeout: overloadTimeout, stopAt: overloadSeconds * time.Second,
	})
	t.Logf("%vx: %d in time, refused %v", multiple, sum(sim.inTimeByWindow["g"]), sim.refusalCounts["g"])
	return sum(sim.inTimeByWindow["g"])
}

// TestGoodputUnderOverload offers several multiples of the upstream's capacity. The
// goodput must stay at 95% or more of the goodput at exactly the capacity.
func TestGoodputUnderOverload(t *testing.T) {
	goodputAtCapacity := goodput(t, 1)
	for _, multiple := range []float64{2, 5, 20} {
		require.GreaterOrEqual(t, float64(goodput(t, multiple)), 0.95*float64(goodputAtCapacity), "at %vx", multiple)
	}
}

// TestRecoveryAfterBurst offers five times the capacity for three seconds. One
// second after this burst it starts to offer 60% of the capacity. In this second
// phase no request may be refused, and the p99 latency must be close to that of a
// run without the burst.
func TestRecoveryAfterBurst(t *testing.T) {
	groups := []Group{{Name: "burst", Weight: 1}, {Name: "after", Weight: 1}}
	afterBurst := workload{
		group: "after", slotTime: exponential(overloadSlotTime), interval: overloadSlotTime / overloadSlots * 10 / 6,
		timeout: overloadTimeout, startAt: 4 * time.Second, stopAt: 8 * time.Second,
	}
	burst := afterBurst
	burst.group, burst.interval, burst.startAt, burst.stopAt = "burst", overloadSlotTime/overloadSlots/5, 0, 3*time.Second
	baselineSim := newSimulator(t, overloadSlots, Options{}, groups...)
	baselineSim.run(afterBurst)
	sim := newSimulator(t, overloadSlots, Options{}, groups...)
	sim.run(burst, afterBurst)
	require.Empty(t, sim.refusalCounts["after"])
	baselineP99, afterBurstP99 := quantile(baselineSim.latenciesByGroup["after"], 0.99), quantile(sim.latenciesByGroup["after"], 0.99)
	t.Logf("p99 %v without a burst, %v after one", baselineP99, afterBurstP99)
	require.Less(t, float64(afterBurstP99), 1.25*float64(baselineP99))
}

// TestGroupIsIsolatedFromOverloadOfAnother measures the latency of a group that
// stays within its share of the slot time. It compares a run of this group alone with a
// run in which a second group offers ten times the capacity of the upstream. The second
// group may raise the p99 latency of the first group by at most 10%.
func TestGroupIsIsolatedFromOverloadOfAnother(t *testing.T) {
	groups := []Group{{Name: "victim", Weight: 8}, {Name: "overloading", Weight: 1}}
	victim := workload{
		group: "victim", caller: "v", slotTime: exponential(overloadSlotTime), interval: overloadSlotTime / overloadSlots * 10 / 5,
		timeout: time.Second, stopAt: overloadSeconds * time.Second,
	}
	overloading := victim
	overloading.group, overloading.caller, overloading.interval = "overloading", "n", overloadSlotTime/overloadSlots/10
	aloneSim := newSimulator(t, overloadSlots, Options{}, groups...)
	aloneSim.run(victim)
	withOverloadSim := newSimulator(t, overloadSlots, Options{}, groups...)
	withOverloadSim.run(victim, overloading)
	aloneP99, withOverloadP99 := quantile(aloneSim.latenciesByGroup["victim"], 0.99), quantile(withOverloadSim.latenciesByGroup["victim"], 0.99)
	t.Logf("victim's p99 %v alone, %v beside the overloading group, ratio %.3f", aloneP99, withOverloadP99, float64(withOverloadP99)/float64(aloneP99))
	require.Empty(t, withOverloadSim.refusalCounts["victim"])
	require.LessOrEqual(t, float64(withOverloadP99), 1.1*float64(aloneP99))
}
