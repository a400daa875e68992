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

// TestSendingFromOneZoneGainsNoSlotTime lets a light group flood from one zone, or from
// all, while a heavy one asks for more than there is from everywhere. Where a
// group sends from must not earn it more slot time than its share.
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
	const length, costUs = 4 * time.Second, 3000
	flood := func(group model.GroupName, from []model.AvailabilityZone, load float64) []Event {
		var events []Event
		gap := int64(costUs / (36 * load))
		for i := int64(0); i*gap < length.Microseconds(); i++ {
			events = append(events, Event{
				AtUs: i * gap, Service: "s", Group: group, CostUs: costUs, Idempotent: true,
				DeadlineMs: 300, Zone: from[i%int64(len(from))],
			})
		}
		return events
	}
	// play returns the figures of the heavy and the light group.
	play := func(load float64, from []model.AvailabilityZone) (heavy, light Stats) {
		events := flood("heavy", zones, load)
		if len(from) > 0 {
			events = append(events, flood("light", from, 1.5)...)
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
	_, spread := play(1.5, zones)
	_, narrow := play(1.5, zones[:1])
	t.Logf("light group's share of slot time, entitled to 10%%: %.2f%% from all zones, %.2f%% from one", 100*spread.SlotTimeShare, 100*narrow.SlotTimeShare)
	require.LessOrEqual(t, narrow.SlotTimeShare, 1.01*spread.SlotTimeShare)
	// Half a percentage point comes from the end of the trace, when the queues
	// run empty and nobody is at its share any more.
	require.LessOrEqual(t, narrow.SlotTimeShare, 0.11)

	alone, _ := play(0.7, nil)
	beside, _ := play(0.7, zones)
	besideOne, _ := play(0.7, zones[:1])
	t.Logf("heavy group's p99 within its share: %d us alone, %d us beside the flood from all zones, %d us from one", alone.P99, beside.P99, besideOne.P99)
	require.Equal(t, alone.Answered, besideOne.Answered, "it loses nothing")
	// A slot that the flood holds is not taken back, so some wait shows: the
	// mean cost once or less, not the flood's queue.
	require.LessOrEqual(t, beside.P99, alone.P99+costUs)
	require.LessOrEqual(t, besideOne.P99, alone.P99+costUs)
}
