package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	work   = 100 * time.Millisecond
	target = 400 * time.Millisecond
)

func at(ms int) model.Instant { return model.Instant(0).Add(time.Duration(ms) * time.Millisecond) }

// fixed draws the middle, so that choices are the same every time.
func midpoint() float64 { return 0.5 }

func newPlacer(zones ...model.AvailabilityZone) *Placer {
	p := New(Options{Zone: "own", Rand: midpoint})
	var ups []Upstream
	for i, z := range zones {
		ups = append(ups, Upstream{Key: string(rune('a' + i)), Zone: z, Slots: 6})
	}
	p.Set(ups)
	return p
}

func idle(slow float64) Load { return Load{Limit: 4, Slow: slow} }

func choose(t *testing.T, p *Placer, now model.Instant) Choice {
	t.Helper()
	c, ok := p.Choose(now, Ask{Work: work, Target: target})
	require.True(t, ok)
	return c
}

// TestLimitStaysBelowSaturation also answers upstreams with two slots, which get more
// done on both of them, slowed down, than on one.
func TestLimitStaysBelowSaturation(t *testing.T) {
	for slots, want := range map[int]int{0: 1, 1: 1, 2: 2, 3: 2, 4: 3, 5: 3, 6: 4, 10: 7, 100: 79} {
		require.Equal(t, want, LimitOf(slots), "%d slots", slots)
	}
}

// TestSlowNowIsLeft answers upstreams that share their VM: four times slower for
// some hundred milliseconds, a quarter of them at any moment.
func TestSlowUpstreamIsAvoided(t *testing.T) {
	p := newPlacer("own", "own")
	p.Learn(at(0), "a", idle(4))
	p.Learn(at(0), "b", idle(1))
	require.Equal(t, "b", choose(t, p, at(1)).Upstream.Key)
}

// TestSlownessFades answers the same load a second later: what was known then is
// worth nothing, so the one with fewer requests wins.
func TestOldSlowdownIsForgotten(t *testing.T) {
	p := newPlacer("own", "own")
	p.Learn(at(0), "a", idle(4))
	p.Learn(at(0), "b", idle(1))
	for range 4 {
		p.Done(at(0), "none", nil)
	}
	first := choose(t, p, at(3000))
	second := choose(t, p, at(3000))
	require.Less(t, max(first.Expected, second.Expected), 2*min(first.Expected, second.Expected))
}

// TestFullIsLeft counts what this entry has sent since it last heard.
func TestFullUpstreamIsAvoided(t *testing.T) {
	p := newPlacer("own", "own")
	p.Learn(at(0), "a", idle(1))
	p.Learn(at(0), "b", idle(1.2))
	got := map[string]int{}
	for range 8 {
		got[choose(t, p, at(1)).Upstream.Key]++
	}
	require.Equal(t, map[string]int{"a": 4, "b": 4}, got)
}

func TestLocalZoneIsPreferred(t *testing.T) {
	for name, c := range map[string]struct {
		own, other Load
		want       string
	}{
		"own is good enough":           {idle(2), idle(1), "a"},
		"own would miss the target":    {idle(4), idle(1), "b"},
		"both would miss, other worse": {idle(4), idle(5), "a"},
		"own is full":                  {Load{Running: 4, Waiting: 12, Limit: 4, Slow: 1}, idle(1), "b"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlacer("own", "other")
			p.Learn(at(0), "a", c.own)
			p.Learn(at(0), "b", c.other)
			require.Equal(t, c.want, choose(t, p, at(1)).Upstream.Key)
		})
	}
}

func TestSmallGainDoesNotCrossZones(t *testing.T) {
	p := newPlacer("own", "other")
	p.Learn(at(0), "a", idle(1.2))
	p.Learn(at(0), "b", idle(1))
	c, ok := p.Choose(at(1), Ask{Work: work})
	require.True(t, ok)
	require.Equal(t, "a", c.Upstream.Key, "20 ms do not pay for a crossing")
}

// TestWayThereCounts answers deployments over regions: of two zones that would do, the
// one in the own region gets the request, though its upstream is a little slower, and a
// guard hears how long going elsewhere takes with the way there.
func TestRoundTripTimeCounts(t *testing.T) {
	const near, far = 3 * time.Millisecond, 45 * time.Millisecond
	p := newPlacer("own", "region", "abroad")
	p.Learn(at(0), "a", Load{Running: 4, Waiting: 30, Limit: 4, Slow: 1})
	p.Learn(at(0), "b", idle(1.25))
	p.Learn(at(0), "c", idle(1))
	require.Equal(t, "c", choose(t, p, at(0)).Upstream.Key, "before the ways are known")
	p.Done(at(0), "c", nil)
	p.Trip("b", near)
	p.Trip("c", far)
	beyond := p.Beyond(10 * time.Millisecond)
	require.False(t, beyond["own"])
	require.False(t, beyond["region"])
	require.True(t, beyond["abroad"])
	c := choose(t, p, at(0))
	require.Equal(t, "b", c.Upstream.Key)
	require.Equal(t, time.Duration(1.25*float64(work))+near, c.Expected)
	require.Equal(t, work+far, c.Alternative)
}

// TestShortestTripCounts keeps out the answers that waited for a processor, and still
// learns of a way that has become longer.
func TestShortestRoundTripCounts(t *testing.T) {
	p := newPlacer("own")
	p.Learn(at(0), "a", idle(1))
	for _, took := range []time.Duration{40, 20, 30} {
		p.Trip("a", took*time.Millisecond)
	}
	require.InDelta(t, 20, roundTripMS(t, p), 0.5)
	for range 500 {
		p.Trip("a", 40*time.Millisecond)
	}
	require.InDelta(t, 40, roundTripMS(t, p), 0.5)
	p.Trip("gone", time.Second)
	require.InDelta(t, 40, roundTripMS(t, p), 0.5)
}

// trip returns the milliseconds of the way to the only upstream, which is idle.
func roundTripMS(t *testing.T, p *Placer) float64 {
	c := choose(t, p, at(0))
	p.Done(at(0), "a", nil)
	return float64(c.Expected-work) / float64(time.Millisecond)
}

// TestFailingFastDoesNotLookIdle answers an upstream that fails every request at
// once and so never has any.
func TestFastFailingUpstreamIsAvoided(t *testing.T) {
	p := newPlacer("own", "own")
	p.Learn(at(0), "a", Load{Limit: 4, Slow: 1, Failing: 0.9})
	p.Learn(at(0), "b", Load{Running: 4, Waiting: 2, Limit: 4, Slow: 1})
	require.Equal(t, "b", choose(t, p, at(1)).Upstream.Key)
}

func TestFailingUpstreamIsTriedAgain(t *testing.T) {
	p := newPlacer("own", "own")
	p.Learn(at(0), "a", Load{Limit: 4, Slow: 1, Failing: 1})
	p.Learn(at(0), "b", Load{Running: 4, Waiting: 4, Limit: 4, Slow: 1})
	p.Learn(at(20_000), "b", Load{Running: 4, Waiting: 4, Limit: 4, Slow: 1})
	require.Equal(t, "a", choose(t, p, at(20_001)).Upstream.Key)
}

func TestColdUpstreamIsAvoided(t *testing.T) {
	p := newPlacer("own", "own")
	p.Set([]Upstream{{Key: "a", Zone: "own", Slots: 6, ColdUntil: at(3000)}, {Key: "b", Zone: "own", Slots: 6}})
	require.Equal(t, "b", choose(t, p, at(1)).Upstream.Key)
}

func TestUnreachableUpstreamIsLastResort(t *testing.T) {
	p := newPlacer("own", "own")
	p.Unreachable(at(0), "a")
	for range 5 {
		require.Equal(t, "b", choose(t, p, at(1)).Upstream.Key)
	}
	p.Unreachable(at(2), "b")
	_, ok := p.Choose(at(3), Ask{Work: work})
	require.True(t, ok, "all are out of reach, one is tried")
	p.Learn(at(4), "a", idle(1))
	require.Equal(t, "a", choose(t, p, at(5)).Upstream.Key)
}

func TestChooseWithAllExcluded(t *testing.T) {
	p := newPlacer("own")
	_, ok := p.Choose(at(0), Ask{Work: work, Exclude: func(Upstream) bool { return true }})
	require.False(t, ok)
}

func TestProbeTargets(t *testing.T) {
	p := newPlacer("own", "own", "own", "other", "other")
	p.Learn(at(0), "a", idle(1))
	near := p.ToAsk(at(1), Ask{Work: work}, true, 15*time.Millisecond, 4)
	require.Len(t, near, 2, "a is known")
	far := p.ToAsk(at(1), Ask{Work: work}, false, 15*time.Millisecond, 1)
	require.Len(t, far, 1)
	require.Equal(t, model.AvailabilityZone("other"), far[0].Zone)
	require.Len(t, p.ToAsk(at(100), Ask{Work: work}, true, 15*time.Millisecond, 4), 3, "what was known is old")
	p.Unreachable(at(100), "b")
	require.Len(t, p.ToAsk(at(101), Ask{Work: work}, true, 15*time.Millisecond, 4), 2)
}

func TestLoadsSurviveMembershipChange(t *testing.T) {
	p := newPlacer("own", "own")
	p.Learn(at(0), "a", idle(4))
	p.Set([]Upstream{{Key: "a", Zone: "own", Slots: 6}, {Key: "c", Zone: "own", Slots: 6}})
	p.Learn(at(0), "c", idle(1))
	require.Equal(t, "c", choose(t, p, at(1)).Upstream.Key)
	require.Equal(t, 2, p.Len())
}

func TestLocalMeetsTarget(t *testing.T) {
	p := newPlacer("own", "other")
	p.Learn(at(0), "a", idle(1))
	require.True(t, p.Comfortable(at(1), Ask{Work: work, Target: target}))
	p.Learn(at(1), "a", idle(4))
	require.False(t, p.Comfortable(at(2), Ask{Work: work, Target: target}))
}

// TestStoppingServeWhereNoOtherCan answers a service whose last upstream has a daemon that
// is about to stop: refusing its requests meanwhile would help nobody.
func TestStoppingUpstreamIsLastResort(t *testing.T) {
	p := New(Options{Zone: "own", Rand: midpoint})
	stopping := Upstream{Key: "a", Zone: "own", Slots: 6, Stopping: true}
	busy := Upstream{Key: "b", Zone: "far", Slots: 6}
	p.Set([]Upstream{stopping, busy})
	p.Learn(at(0), "b", Load{Running: 4, Waiting: 20, Limit: 4, Slow: 5})
	require.Equal(t, "b", choose(t, p, at(1)).Upstream.Key, "however busy")
	for _, near := range []bool{true, false} {
		for _, up := range p.ToAsk(at(100), Ask{Work: work}, near, 0, 4) {
			require.NotEqual(t, "a", up.Key, "nobody is asked in vain")
		}
	}
	p.Unreachable(at(2), "b")
	require.Equal(t, "a", choose(t, p, at(3)).Upstream.Key, "the other cannot be reached")
	p.Set([]Upstream{stopping})
	require.Equal(t, "a", choose(t, p, at(4)).Upstream.Key, "there is no other")
}

// TestFullServiceIsNotAskedOnAndOn answers a burst that fills a service: a guard had no
// room, and the next choice would be late too.
func TestMissesTarget(t *testing.T) {
	for name, c := range map[string]struct {
		full             int
		expected, target time.Duration
		want             bool
	}{
		"nobody was full":            {0, time.Second, 100 * time.Millisecond, false},
		"another has room":           {1, 50 * time.Millisecond, 100 * time.Millisecond, false},
		"none has room":              {1, time.Second, 100 * time.Millisecond, true},
		"the target is over already": {1, time.Millisecond, -time.Millisecond, true},
		"there is no target":         {1, time.Second, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			choice := Choice{Expected: c.expected}
			require.Equal(t, c.want, choice.OutOfReach(c.full, c.target))
		})
	}
}

// TestUnservable has a request known to end past its deadline wherever it goes, although
// slots are free, refused by the entry: no guard would.
func TestMissesDeadline(t *testing.T) {
	const slow, left = 20, time.Second
	p := newPlacer("own", "own")
	p.Learn(at(0), "a", idle(slow))
	p.Learn(at(0), "b", idle(slow))
	c := choose(t, p, at(1))
	require.True(t, c.Unservable(left))
	require.False(t, c.Unservable(slow*2*work))

	c = choose(t, p, at(100))
	require.False(t, c.Unservable(left), "old knowledge")

	p.Learn(at(200), "a", idle(slow))
	p.Learn(at(200), "b", idle(1))
	c = choose(t, p, at(201))
	require.False(t, c.Unservable(left), "one is fast")
}
