package replay

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
)

// TestSendingFromOneZoneGainsNoSlotTime checks that a group cannot get more than
// its share of slot time by sending all its requests from one zone. Two groups overload
// the service at the same time. The heavy group (weight 9) sends from all zones. The
// light group (weight 1) sends from all zones in one run and from one zone in another.
//
// The test also checks that the light group's overload hardly delays the heavy group
// while the heavy group's load is within its share.
func TestSendingFromOneZoneGainsNoSlotTime(t *testing.T) {
	zones := []model.AvailabilityZone{"a", "b", "c"}
	topology := &Topology{Zones: zones, Delay: Delay{BetweenZones: policy.Duration(time.Millisecond)}, Services: []Service{{
		Name: "s", Connections: 50,
		Groups: []Group{{Name: "heavy", Weight: 9, QueueBound: 128}, {Name: "light", Weight: 1, QueueBound: 128}},
	}}}
	for _, z := range zones {
		for range 2 {
			topology.Services[0].Upstreams = append(topology.Services[0].Upstreams, Upstream{Zone: z, Slots: 6})
		}
	}
	const duration, costUs = 4 * time.Second, 3000
	// generate returns evenly spaced requests of a group, sent from the zones in
	// turn. Their offered load is the given share of the service's 36 slots.
	generate := func(group model.GroupName, fromZones []model.AvailabilityZone, load float64) []Event {
		var events []Event
		intervalUs := int64(costUs / (36 * load))
		for i := int64(0); i*intervalUs < duration.Microseconds(); i++ {
			events = append(events, Event{
				AtUs: i * intervalUs, Service: "s", Group: group, CostUs: costUs, Idempotent: true,
				DeadlineMs: 300, Zone: fromZones[i%int64(len(fromZones))],
			})
		}
		return events
	}
	// run replays the heavy group at the given load and the light group at a load of
	// 1.5. The light group sends from lightZones, or not at all if lightZones is empty.
	run := func(heavyLoad float64, lightZones []model.AvailabilityZone) (heavy, light Stats) {
		events := generate("heavy", zones, heavyLoad)
		if len(lightZones) > 0 {
			events = append(events, generate("light", lightZones, 1.5)...)
		}
		slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.AtUs, b.AtUs) })
		for _, g := range mustRun(t, topology, events, Options{}).Groups {
			if g.Group == "heavy" {
				heavy = g
			} else {
				light = g
			}
		}
		return heavy, light
	}
	_, lightFromAll := run(1.5, zones)
	_, lightFromOne := run(1.5, zones[:1])
	t.Logf("light group's share of slot time (entitled to 10%%): %.2f%% from all zones, %.2f%% from one zone", 100*lightFromAll.SlotTimeShare, 100*lightFromOne.SlotTimeShare)
	require.LessOrEqual(t, lightFromOne.SlotTimeShare, 1.01*lightFromAll.SlotTimeShare)
	// The light group is entitled to 10%. Half a percentage point more comes from the
	// end of the trace: while the queues drain, the groups no longer compete and
	// shares are not enforced.
	require.LessOrEqual(t, lightFromOne.SlotTimeShare, 0.11)

	heavyAlone, _ := run(0.7, nil)
	heavyWithAll, _ := run(0.7, zones)
	heavyWithOne, _ := run(0.7, zones[:1])
	t.Logf("p99 of the heavy group within its share: %d us alone, %d us with the light group's overload from all zones, %d us from one zone", heavyAlone.P99, heavyWithAll.P99, heavyWithOne.P99)
	require.Equal(t, heavyAlone.Answered, heavyWithOne.Answered, "requests of the heavy group lost")
	// The heavy group waits for slots that the light group occupies, because running
	// requests are not preempted. This wait is at most the cost of one request. The
	// heavy group does not wait for the light group's queue.
	require.LessOrEqual(t, heavyWithAll.P99, heavyAlone.P99+costUs)
	require.LessOrEqual(t, heavyWithOne.P99, heavyAlone.P99+costUs)
}
