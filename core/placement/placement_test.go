package placement

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// serviceTime is the usual service time of the test requests.
	serviceTime = 100 * time.Millisecond
	// target is the target latency of the test requests.
	target = 400 * time.Millisecond
)

// at returns the instant ms milliseconds after the origin.
func at(ms int) model.Instant { return model.Instant(0).Add(time.Duration(ms) * time.Millisecond) }

// midpoint replaces the random number generator in Options.Rand, so that choices are
// reproducible.
func midpoint() float64 { return 0.5 }

// newPlacer returns a Placer in zone "local" with one upstream for each given zone, named
// "a", "b" and so on.
func newPlacer(zones ...model.AvailabilityZone) *Placer {
	p := New(Options{Zone: "local", Rand: midpoint})
	var ups []Upstream
	for i, z := range zones {
		ups = append(ups, Upstream{Key: string(rune('a' + i)), Zone: z, Slots: 6})
	}
	p.SetUpstreams(ups)
	return p
}

// idle returns the load of an idle upstream with the given slowdown.
func idle(slowdown float64) Load { return Load{Limit: 4, Slowdown: slowdown} }

// choose places a request with the constants serviceTime and target. It fails the test if
// no upstream is usable.
func choose(t *testing.T, p *Placer, now model.Instant) Choice {
	t.Helper()
	c, ok := p.Choose(now, Request{ServiceTime: serviceTime, Target: target})
	require.True(t, ok)
	return c
}

// TestLimitStaysBelowSaturation checks that the limit is below the number of slots, except
// for 1 or 2 slots. An upstream with 2 slots has more throughput with both slots busy, in
// spite of the slowdown, than with one.
func TestLimitStaysBelowSaturation(t *testing.T) {
	for slots, want := range map[int]int{0: 1, 1: 1, 2: 2, 3: 2, 4: 3, 5: 3, 6: 4, 10: 7, 100: 79} {
		require.Equal(t, want, DefaultLimit(slots), "%d slots", slots)
	}
}

// TestSlowUpstreamIsAvoided covers upstreams that share a VM: at any moment a quarter of them
// are four times slower than usual, each for some hundred milliseconds. Of two idle upstreams,
// the one that is not slow must be chosen.
func TestSlowUpstreamIsAvoided(t *testing.T) {
	p := newPlacer("local", "local")
	p.UpdateLoad(at(0), "a", idle(4))
	p.UpdateLoad(at(0), "b", idle(1))
	require.Equal(t, "b", choose(t, p, at(1)).Upstream.Key)
}

// TestOldSlowdownIsForgotten has loads that are 3 seconds old. According to them, one
// upstream was four times as slow as the other. Such old loads must hardly matter: the
// expected times of the two upstreams must differ by less than a factor of two.
func TestOldSlowdownIsForgotten(t *testing.T) {
	p := newPlacer("local", "local")
	p.UpdateLoad(at(0), "a", idle(4))
	p.UpdateLoad(at(0), "b", idle(1))
	for range 4 {
		p.Done(at(0), "none", nil)
	}
	first := choose(t, p, at(3000))
	second := choose(t, p, at(3000))
	require.Less(t, max(first.Expected, second.Expected), 2*min(first.Expected, second.Expected))
}

// TestFullUpstreamIsAvoided has the entry send more requests than the limit of one upstream
// allows, without a new load report in between. The entry must count the requests that it
// has sent itself.
func TestFullUpstreamIsAvoided(t *testing.T) {
	p := newPlacer("local", "local")
	p.UpdateLoad(at(0), "a", idle(1))
	p.UpdateLoad(at(0), "b", idle(1.2))
	got := map[string]int{}
	for range 8 {
		got[choose(t, p, at(1)).Upstream.Key]++
	}
	require.Equal(t, map[string]int{"a": 4, "b": 4}, got)
}

func TestLocalZoneIsPreferred(t *testing.T) {
	for name, c := range map[string]struct {
		local, remote Load
		want          string
	}{
		"local upstream is fast enough":                      {idle(2), idle(1), "a"},
		"local upstream would miss the target":               {idle(4), idle(1), "b"},
		"both would miss the target, the remote one by more": {idle(4), idle(5), "a"},
		"local upstream is full":                             {Load{Running: 4, Waiting: 12, Limit: 4, Slowdown: 1}, idle(1), "b"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlacer("local", "other")
			p.UpdateLoad(at(0), "a", c.local)
			p.UpdateLoad(at(0), "b", c.remote)
			require.Equal(t, c.want, choose(t, p, at(1)).Upstream.Key)
		})
	}
}

func TestSmallGainDoesNotCrossZones(t *testing.T) {
	p := newPlacer("local", "other")
	p.UpdateLoad(at(0), "a", idle(1.2))
	p.UpdateLoad(at(0), "b", idle(1))
	c, ok := p.Choose(at(1), Request{ServiceTime: serviceTime})
	require.True(t, ok)
	require.Equal(t, "a", c.Upstream.Key, "a gain of 20 ms is less than the cross-zone penalty")
}

// TestRoundTripTimeCounts covers deployments over several regions. Two remote zones would meet
// the target. Once the round-trip times are known, the zone in the local region must be chosen,
// although its upstream is a little slower. Choice.Alternative, which the guard is sent, must
// include the round trip.
func TestRoundTripTimeCounts(t *testing.T) {
	const nearRTT, farRTT = 3 * time.Millisecond, 45 * time.Millisecond
	p := newPlacer("local", "region", "abroad")
	p.UpdateLoad(at(0), "a", Load{Running: 4, Waiting: 30, Limit: 4, Slowdown: 1})
	p.UpdateLoad(at(0), "b", idle(1.25))
	p.UpdateLoad(at(0), "c", idle(1))
	require.Equal(t, "c", choose(t, p, at(0)).Upstream.Key, "before the round-trip times are known")
	p.Done(at(0), "c", nil)
	p.ObserveRTT("b", nearRTT)
	p.ObserveRTT("c", farRTT)
	beyondZones := p.ZonesBeyondRTT(10 * time.Millisecond)
	require.False(t, beyondZones["local"])
	require.False(t, beyondZones["region"])
	require.True(t, beyondZones["abroad"])
	c := choose(t, p, at(0))
	require.Equal(t, "b", c.Upstream.Key)
	require.Equal(t, time.Duration(1.25*float64(serviceTime))+nearRTT, c.Expected)
	require.Equal(t, serviceTime+farRTT, c.Alternative)
}

// TestShortestRoundTripCounts checks that load replies delayed by a busy processor do
// not raise the stored round-trip time. A lasting increase must raise it.
func TestShortestRoundTripCounts(t *testing.T) {
	p := newPlacer("local")
	p.UpdateLoad(at(0), "a", idle(1))
	for _, rtt := range []time.Duration{40, 20, 30} {
		p.ObserveRTT("a", rtt*time.Millisecond)
	}
	require.InDelta(t, 20, roundTripMS(t, p), 0.5)
	for range 500 {
		p.ObserveRTT("a", 40*time.Millisecond)
	}
	require.InDelta(t, 40, roundTripMS(t, p), 0.5)
	p.ObserveRTT("gone", time.Second)
	require.InDelta(t, 40, roundTripMS(t, p), 0.5)
}

// roundTripMS returns the round-trip time, in milliseconds, to the only upstream, which
// is idle.
func roundTripMS(t *testing.T, p *Placer) float64 {
	c := choose(t, p, at(0))
	p.Done(at(0), "a", nil)
	return float64(c.Expected-serviceTime) / float64(time.Millisecond)
}

// TestFastFailingUpstreamIsAvoided has an upstream that fails most requests immediately.
// Such an upstream has no requests running, and must not be preferred because it looks
// idle.
func TestFastFailingUpstreamIsAvoided(t *testing.T) {
	p := newPlacer("local", "local")
	p.UpdateLoad(at(0), "a", Load{Limit: 4, Slowdown: 1, FailureRate: 0.9})
	p.UpdateLoad(at(0), "b", Load{Running: 4, Waiting: 2, Limit: 4, Slowdown: 1})
	require.Equal(t, "b", choose(t, p, at(1)).Upstream.Key)
}

func TestFailingUpstreamIsTriedAgain(t *testing.T) {
	p := newPlacer("local", "local")
	p.UpdateLoad(at(0), "a", Load{Limit: 4, Slowdown: 1, FailureRate: 1})
	p.UpdateLoad(at(0), "b", Load{Running: 4, Waiting: 4, Limit: 4, Slowdown: 1})
	p.UpdateLoad(at(20_000), "b", Load{Running: 4, Waiting: 4, Limit: 4, Slowdown: 1})
	require.Equal(t, "a", choose(t, p, at(20_001)).Upstream.Key)
}

func TestColdUpstreamIsAvoided(t *testing.T) {
	p := newPlacer("local", "local")
	p.SetUpstreams([]Upstream{{Key: "a", Zone: "local", Slots: 6, ColdUntil: at(3000)}, {Key: "b", Zone: "local", Slots: 6}})
	require.Equal(t, "b", choose(t, p, at(1)).Upstream.Key)
}

func TestUnreachableUpstreamIsLastResort(t *testing.T) {
	p := newPlacer("local", "local")
	p.MarkUnreachable(at(0), "a")
	for range 5 {
		require.Equal(t, "b", choose(t, p, at(1)).Upstream.Key)
	}
	p.MarkUnreachable(at(2), "b")
	_, ok := p.Choose(at(3), Request{ServiceTime: serviceTime})
	require.True(t, ok, "an upstream is tried although none is reachable")
	p.UpdateLoad(at(4), "a", idle(1))
	require.Equal(t, "a", choose(t, p, at(5)).Upstream.Key)
}

func TestChooseWithAllExcluded(t *testing.T) {
	p := newPlacer("local")
	_, ok := p.Choose(at(0), Request{ServiceTime: serviceTime, Exclude: func(Upstream) bool { return true }})
	require.False(t, ok)
}

// TestQueryTargets checks the number and the zones of the upstreams that are queried. Upstreams
// whose last load report is recent must be left out, and so must unreachable upstreams.
func TestQueryTargets(t *testing.T) {
	p := newPlacer("local", "local", "local", "other", "other")
	p.UpdateLoad(at(0), "a", idle(1))
	local := p.QueryTargets(at(1), Request{ServiceTime: serviceTime}, true, 15*time.Millisecond, 4)
	require.Len(t, local, 2, "the load of a is known")
	remote := p.QueryTargets(at(1), Request{ServiceTime: serviceTime}, false, 15*time.Millisecond, 1)
	require.Len(t, remote, 1)
	require.Equal(t, model.AvailabilityZone("other"), remote[0].Zone)
	require.Len(t, p.QueryTargets(at(100), Request{ServiceTime: serviceTime}, true, 15*time.Millisecond, 4), 3, "the load of a is too old")
	p.MarkUnreachable(at(100), "b")
	require.Len(t, p.QueryTargets(at(101), Request{ServiceTime: serviceTime}, true, 15*time.Millisecond, 4), 2)
}

func TestLoadsSurviveMembershipChange(t *testing.T) {
	p := newPlacer("local", "local")
	p.UpdateLoad(at(0), "a", idle(4))
	p.SetUpstreams([]Upstream{{Key: "a", Zone: "local", Slots: 6}, {Key: "c", Zone: "local", Slots: 6}})
	p.UpdateLoad(at(0), "c", idle(1))
	require.Equal(t, "c", choose(t, p, at(1)).Upstream.Key)
	require.Equal(t, 2, p.Len())
}

func TestLocalMeetsTarget(t *testing.T) {
	p := newPlacer("local", "other")
	p.UpdateLoad(at(0), "a", idle(1))
	require.True(t, p.LocalMeetsTarget(at(1), Request{ServiceTime: serviceTime, Target: target}))
	p.UpdateLoad(at(1), "a", idle(4))
	require.False(t, p.LocalMeetsTarget(at(2), Request{ServiceTime: serviceTime, Target: target}))
}

// TestStoppingUpstreamIsLastResort covers a service whose last upstream belongs to a
// daemon that is about to stop. Until the daemon stops, its upstream can still serve
// requests, so requests must not be refused.
func TestStoppingUpstreamIsLastResort(t *testing.T) {
	p := New(Options{Zone: "local", Rand: midpoint})
	stopping := Upstream{Key: "a", Zone: "local", Slots: 6, Stopping: true}
	busy := Upstream{Key: "b", Zone: "far", Slots: 6}
	p.SetUpstreams([]Upstream{stopping, busy})
	p.UpdateLoad(at(0), "b", Load{Running: 4, Waiting: 20, Limit: 4, Slowdown: 5})
	require.Equal(t, "b", choose(t, p, at(1)).Upstream.Key, "however busy b is")
	for _, local := range []bool{true, false} {
		for _, up := range p.QueryTargets(at(100), Request{ServiceTime: serviceTime}, local, 0, 4) {
			require.NotEqual(t, "a", up.Key, "an upstream of a stopping daemon is not queried")
		}
	}
	p.MarkUnreachable(at(2), "b")
	require.Equal(t, "a", choose(t, p, at(3)).Upstream.Key, "b cannot be reached")
	p.SetUpstreams([]Upstream{stopping})
	require.Equal(t, "a", choose(t, p, at(4)).Upstream.Key, "there is no other upstream")
}

// TestSilentStoppingDaemonIsNotChosen guards against requests that are sent to a daemon that has ended.
// Where only daemons that are about to stop are left, they are queried, and those that do not reply are
// not chosen, although unreachable upstreams are otherwise tried.
func TestSilentStoppingDaemonIsNotChosen(t *testing.T) {
	p := New(Options{Zone: "local", Rand: midpoint})
	p.SetUpstreams([]Upstream{{Key: "a", Zone: "local", Slots: 6, Stopping: true}, {Key: "b", Zone: "far", Slots: 6, Stopping: true}})
	request := Request{ServiceTime: serviceTime}
	require.Len(t, p.QueryTargets(at(0), request, true, 0, 4), 1)
	require.Len(t, p.QueryTargets(at(0), request, false, 0, 4), 1)
	p.MarkUnreachable(at(0), "a")
	require.Equal(t, "b", choose(t, p, at(1)).Upstream.Key)
	p.MarkUnreachable(at(1), "b")
	_, ok := p.Choose(at(2), request)
	require.False(t, ok)
	p.SetUpstreams([]Upstream{{Key: "a", Zone: "local", Slots: 6}, {Key: "b", Zone: "far", Slots: 6, Stopping: true}})
	require.Equal(t, "a", choose(t, p, at(3)).Upstream.Key, "a daemon that has started again is tried")
}

// TestMissesTarget covers a burst that fills a service. Guards have rejected the request for
// lack of capacity. The request must then be refused if it is expected to miss its target at
// the next guard as well.
func TestMissesTarget(t *testing.T) {
	for name, c := range map[string]struct {
		capacityRejections int
		expected, target   time.Duration
		want               bool
	}{
		"no guard was full":                  {0, time.Second, 100 * time.Millisecond, false},
		"another upstream is fast enough":    {1, 50 * time.Millisecond, 100 * time.Millisecond, false},
		"no upstream is fast enough":         {1, time.Second, 100 * time.Millisecond, true},
		"the target has already been missed": {1, time.Millisecond, -time.Millisecond, true},
		"no target":                          {1, time.Second, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			choice := Choice{Expected: c.expected}
			require.Equal(t, c.want, choice.MissesTarget(c.capacityRejections, c.target))
		})
	}
}

// TestMissesDeadline checks that a request is refused that would miss its deadline on every
// upstream, provided that the loads are recent. Slots are free, so a guard would accept the
// request.
func TestMissesDeadline(t *testing.T) {
	const slowdown, untilDeadline = 20, time.Second
	p := newPlacer("local", "local")
	p.UpdateLoad(at(0), "a", idle(slowdown))
	p.UpdateLoad(at(0), "b", idle(slowdown))
	c := choose(t, p, at(1))
	require.True(t, c.MissesDeadline(untilDeadline))
	require.False(t, c.MissesDeadline(slowdown*2*serviceTime))

	c = choose(t, p, at(100))
	require.False(t, c.MissesDeadline(untilDeadline), "the loads are too old")

	p.UpdateLoad(at(200), "a", idle(slowdown))
	p.UpdateLoad(at(200), "b", idle(1))
	c = choose(t, p, at(201))
	require.False(t, c.MissesDeadline(untilDeadline), "one upstream is fast")
}

// TestColdUpstreamsFillAtTheirRate sends requests to two idle upstreams, one of which is cold and
// lets a new request wait. The warm one must be chosen until it is the busier one.
func TestColdUpstreamsFillAtTheirRate(t *testing.T) {
	p := New(Options{Zone: "z", Rand: func() float64 { return 0 }})
	p.SetUpstreams([]Upstream{{Key: "cold", Zone: "z", Slots: 9, StartRate: 10}, {Key: "warm", Zone: "z", Slots: 9}})
	p.UpdateLoad(0, "cold", Load{Limit: 7, Slowdown: 1, StartDelay: 150 * time.Millisecond})
	p.UpdateLoad(0, "warm", Load{Limit: 7, Slowdown: 1})
	chosen := map[string]int{}
	for range 12 {
		choice, ok := p.Choose(0, Request{ServiceTime: 100 * time.Millisecond})
		require.True(t, ok)
		chosen[choice.Upstream.Key]++
	}
	require.Equal(t, 12, chosen["warm"])
	first, _ := p.Choose(model.Instant(160*time.Millisecond), Request{ServiceTime: 100 * time.Millisecond})
	require.Equal(t, "cold", first.Upstream.Key, "the wait there is over")
	second, _ := p.Choose(model.Instant(160*time.Millisecond), Request{ServiceTime: 100 * time.Millisecond})
	require.Equal(t, 90*time.Millisecond, second.Expected-first.Expected, "the second one has to wait")
}

// TestSmallestStartRateDelaysRequests guards against an upstream that looks idle because its rate is so small that the
// delay cannot be represented.
func TestSmallestStartRateDelaysRequests(t *testing.T) {
	p := New(Options{Zone: "z", Rand: func() float64 { return 0 }})
	p.SetUpstreams([]Upstream{{Key: "limited", Zone: "z", Slots: 9, StartRate: math.SmallestNonzeroFloat64}})
	p.UpdateLoad(0, "limited", Load{Limit: 7, Slowdown: 1, StartDelay: time.Second})
	for range 3 {
		choice, ok := p.Choose(0, Request{ServiceTime: 100 * time.Millisecond})
		require.True(t, ok)
		require.GreaterOrEqual(t, choice.Expected, time.Second)
	}
}
