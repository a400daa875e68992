package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// longTimeout is a timeout so long that no simulated request reaches its deadline.
const longTimeout = time.Hour

// TestShareWithinFivePercent generates groups that are always backlogged and
// checks that each gets its weighted share of the slot time in every second after the
// first. It also checks that each group is charged exactly the slot time that it used.
func TestShareWithinFivePercent(t *testing.T) {
	largestDeviation := 0.0
	defer func() { t.Logf("largest deviation of a share in one second: %.2f%%", 100*largestDeviation) }()
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(6, 8).Draw(t, "slots")
		weights := rapid.SliceOfN(rapid.IntRange(1, 4), 2, 4).Draw(t, "weights")
		const seconds = 2
		var groups []Group
		var workloads []workload
		totalWeight := 0.0
		for _, w := range weights {
			totalWeight += float64(w)
		}
		for i, w := range weights {
			name := model.GroupName(fmt.Sprint("g", i))
			groups = append(groups, Group{Name: name, Weight: float64(w), QueueBound: 1 << 20})
			meanSlotTime := time.Duration(rapid.IntRange(500, 1500).Draw(t, "cost_us")) * time.Microsecond
			slotTime := constant(meanSlotTime)
			if rapid.Bool().Draw(t, "varied") {
				slotTime = exponential(meanSlotTime)
			}
			callerCount := rapid.IntRange(1, 3).Draw(t, "callers")
			// Each group offers 1.4 times its share.
			interval := float64(meanSlotTime) * float64(callerCount) * totalWeight / (1.4 * float64(slots*w))
			for c := range callerCount {
				workloads = append(workloads, workload{
					group: name, caller: model.CallerName(fmt.Sprint(name, c)), slotTime: slotTime,
					interval: time.Duration(interval), timeout: longTimeout, stopAt: seconds * time.Second,
				})
			}
		}
		sim := newSimulator(t, slots, Options{TotalBound: 1 << 20}, groups...)
		sim.run(workloads...)
		// The queues fill during the first second, which is window 0. From then on every group is
		// backlogged.
		for windowIndex := 1; windowIndex < seconds; windowIndex++ {
			for _, g := range groups {
				want := float64(slots) * windowLength.Seconds() * g.Weight / totalWeight
				got := sim.slotTimeByWindow[g.Name][windowIndex].Seconds()
				largestDeviation = max(largestDeviation, math.Abs(got/want-1))
				require.InEpsilon(t, want, got, 0.05, "group %s in second %d", g.Name, windowIndex)
			}
		}
		for _, g := range groups {
			require.Equal(t, sim.slotTimeByGroup[g.Name], sim.controller.Charged(g.Name), "charges of %s", g.Name)
		}
	})
}

// TestNoGroupStarves overloads an upstream with two groups. Both weights are above
// 0, but very different, and no request reaches its deadline. In every second the
// lighter group must still get about 1% of the slot time. This is the minimum that
// fairqueue.MinWeightRatio guarantees.
func TestNoGroupStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heavyWeight := rapid.Float64Range(1, 1e9).Draw(t, "weight")
		groups := []Group{{Name: "heavy", Weight: heavyWeight}, {Name: "light", Weight: 1e-9}}
		sim := newSimulator(t, 4, Options{}, groups...)
		baseWorkload := workload{slotTime: constant(2 * time.Millisecond), interval: 400 * time.Microsecond, timeout: longTimeout, stopAt: 2 * time.Second}
		heavy, light := baseWorkload, baseWorkload
		heavy.group, light.group = "heavy", "light"
		sim.run(heavy, light)
		for second := range 2 {
			share := sim.slotTimeByWindow["light"][second].Seconds() / (4 * windowLength.Seconds())
			require.GreaterOrEqual(t, share, 0.009, "second %d", second)
			require.LessOrEqual(t, share, 0.012, "second %d", second)
		}
	})
}

// TestWeightZeroRunsOnlyWhenNothingElseWaits runs a group of weight zero beside a group
// that is backlogged for one second. In this second the group of weight zero must get
// almost no slot time, and some of its requests must be refused at their deadlines. In
// the third second, when it is alone, it must get slot time.
func TestWeightZeroRunsOnlyWhenNothingElseWaits(t *testing.T) {
	sim := newSimulator(t, 2, Options{}, Group{Name: "paid", Weight: 1}, Group{Name: "free", Weight: 0})
	paid := workload{group: "paid", slotTime: constant(time.Millisecond), interval: 400 * time.Microsecond, timeout: time.Second, stopAt: time.Second}
	free := workload{group: "free", slotTime: constant(time.Millisecond), interval: 3 * time.Millisecond, timeout: 300 * time.Millisecond, stopAt: 3 * time.Second}
	sim.run(paid, free)
	require.Less(t, sim.slotTimeByWindow["free"][0], 20*time.Millisecond, "while the other group is backlogged")
	require.Greater(t, sim.slotTimeByWindow["free"][2], 300*time.Millisecond, "alone")
	require.Positive(t, sim.refusalCounts["free"][outcome.ReasonDeadline])
}

// TestCallersOfOneGroupShareEqually runs two callers of one group. The heavy caller
// sends ten times as many requests as the light one, and longer ones. Both callers
// must get the same slot time.
func TestCallersOfOneGroupShareEqually(t *testing.T) {
	sim := newSimulator(t, 4, Options{}, Group{Name: "g", Weight: 1, QueueBound: 200})
	baseWorkload := workload{group: "g", slotTime: constant(2 * time.Millisecond), interval: 800 * time.Microsecond, timeout: longTimeout, stopAt: 4 * time.Second}
	light, heavy := baseWorkload, baseWorkload
	light.caller, heavy.caller = "light", "heavy"
	heavy.interval, heavy.slotTime = 80*time.Microsecond, constant(5*time.Millisecond)
	sim.run(light, heavy)
	require.InEpsilon(t, sim.slotTimeByCaller["light"].Seconds(), sim.slotTimeByCaller["heavy"].Seconds(), 0.05)
}

// TestManyCallersGetNoLargerShare runs a group of 200 callers together with a group of
// one caller. Both groups have the same weight and must get the same slot time.
func TestManyCallersGetNoLargerShare(t *testing.T) {
	sim := newSimulator(t, 6, Options{TotalBound: 4096}, Group{Name: "many", Weight: 1}, Group{Name: "one", Weight: 1})
	var workloads []workload
	many := workload{group: "many", slotTime: constant(2 * time.Millisecond), interval: 20 * time.Millisecond, timeout: longTimeout, stopAt: 3 * time.Second}
	for i := range 200 {
		many.caller = model.CallerName(fmt.Sprint("c", i))
		workloads = append(workloads, many)
	}
	one := many
	one.group, one.caller, one.interval = "one", "single", 250*time.Microsecond
	sim.run(append(workloads, one)...)
	require.InEpsilon(t, sim.slotTimeByWindow["one"][1].Seconds(), sim.slotTimeByWindow["many"][1].Seconds(), 0.05)
}

// TestLongRequestsAreChargedTheirSlotTime runs a group of short requests together with a
// group that also sends a few long ones. The controller cannot distinguish long
// from short requests in advance, but both groups must get the same slot time.
func TestLongRequestsAreChargedTheirSlotTime(t *testing.T) {
	sim := newSimulator(t, 6, Options{}, Group{Name: "short", Weight: 1}, Group{Name: "mixed", Weight: 1})
	short := workload{group: "short", slotTime: constant(time.Millisecond), interval: 200 * time.Microsecond, timeout: longTimeout, stopAt: 6 * time.Second}
	mixedShort := short
	mixedShort.group, mixedShort.caller = "mixed", "a"
	mixedLong := mixedShort
	mixedLong.slotTime, mixedLong.interval = constant(40*time.Millisecond), 20*time.Millisecond
	sim.run(short, mixedShort, mixedLong)
	for second := 1; second < 5; second++ {
		require.InEpsilon(t, sim.slotTimeByWindow["short"][second].Seconds(), sim.slotTimeByWindow["mixed"][second].Seconds(), 0.05, "second %d", second)
	}
}
