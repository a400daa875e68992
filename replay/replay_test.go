package replay

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/routing"
)

// singleZoneTopology returns a topology of one zone and one service with the
// given upstreams.
func singleZoneTopology(upstreams ...Upstream) *Topology {
	for i := range upstreams {
		upstreams[i].Zone = "a"
	}
	return &Topology{
		Zones:    []model.AvailabilityZone{"a"},
		Services: []Service{{Name: "s", Upstreams: upstreams, Connections: 10}},
	}
}

// newRequestEvent returns the event of a request for the service of singleZoneTopology.
// Its deadline is one second after its arrival.
func newRequestEvent(atUs, costUs int64) Event {
	return Event{AtUs: atUs, Service: "s", Group: "g", CostUs: costUs, Idempotent: true, DeadlineMs: 1000, Zone: "a"}
}

// mustRun replays the events and fails the test on an error.
func mustRun(t testing.TB, topology *Topology, events []Event, opts Options) *Result {
	t.Helper()
	r, err := Run(topology, events, opts)
	require.NoError(t, err)
	return r
}

// TestRunSmallTraces checks the outcomes, the latencies and the ideal bound for traces of one
// or two requests, for which the exact values are known.
func TestRunSmallTraces(t *testing.T) {
	cases := map[string]struct {
		topology *Topology
		events   []Event
		want     Stats
	}{
		"second waits for the slot": {
			singleZoneTopology(Upstream{Slots: 1}), []Event{newRequestEvent(0, 1000), newRequestEvent(0, 1000)},
			Stats{Answered: 2, Latency: Latency{P50: 1000, Max: 2000}, Ideal: Latency{P50: 1000, Max: 2000}},
		},
		"waiting past the deadline is not run": {
			singleZoneTopology(Upstream{Slots: 1}), []Event{newRequestEvent(0, 2_000_000), newRequestEvent(0, 1000)},
			Stats{NotRun: 1, Unknown: 1, Ideal: Latency{P50: 2_000_000, Max: 2_001_000}},
		},
		"crash ends running requests": {
			singleZoneTopology(Upstream{Slots: 1}),
			[]Event{newRequestEvent(0, 5000), {AtUs: 1000, Fault: Crash, Target: "s-1"}},
			Stats{Unknown: 1, Ideal: Latency{P50: 5000, Max: 5000}},
		},
		"upstream fails fast": {
			singleZoneTopology(Upstream{Slots: 1}),
			[]Event{{Fault: FailFast, Target: "s-1", ForMs: 1}, newRequestEvent(0, 1000)},
			Stats{NotRun: 1, Ideal: Latency{P50: 2000, Max: 2000}},
		},
		"upstream is draining": {
			singleZoneTopology(Upstream{Slots: 1}),
			[]Event{{Fault: Drain, Target: "s-1", ForMs: 1}, newRequestEvent(0, 1000)},
			Stats{NotRun: 1, Ideal: Latency{P50: 2000, Max: 2000}},
		},
		"straggler": {
			singleZoneTopology(Upstream{Slots: 1}),
			[]Event{{Fault: Straggle, Target: "s-1", Factor: 8}, newRequestEvent(0, 1000)},
			Stats{Answered: 1, Latency: Latency{P50: 8000, Max: 8000}, Ideal: Latency{P50: 8000, Max: 8000}},
		},
		"paused daemon": {
			singleZoneTopology(Upstream{Slots: 1}),
			[]Event{newRequestEvent(0, 1000), {AtUs: 500, Fault: PauseDaemon, Target: "s-1", ForMs: 10}},
			Stats{Answered: 1, Latency: Latency{P50: 10_500, Max: 10_500}, Ideal: Latency{P50: 1000, Max: 1000}},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := mustRun(t, tc.topology, tc.events, Options{}).Total
			assert.Equal(t, tc.want.Answered, got.Answered, "answered")
			assert.Equal(t, tc.want.NotRun, got.NotRun, "not run")
			assert.Equal(t, tc.want.Unknown, got.Unknown, "unknown")
			assertNear(t, tc.want.P50, got.P50)
			assertNear(t, tc.want.Max, got.Max)
			assertNear(t, tc.want.Ideal.P50, got.Ideal.P50)
			assertNear(t, tc.want.Ideal.Max, got.Ideal.Max)
		})
	}
}

// assertNear checks that got equals want, except for the rounding of the latency
// histogram to three significant digits.
func assertNear(t *testing.T, want, got int64) {
	t.Helper()
	if want == 0 {
		assert.Zero(t, got)
		return
	}
	assert.InEpsilon(t, want, got, 0.001)
}

// TestCrashedUpstreamRestartsAsNewIncarnation checks that a crash ends the running request
// with an unknown outcome, and that the restarted upstream answers a later request.
func TestCrashedUpstreamRestartsAsNewIncarnation(t *testing.T) {
	events := []Event{
		newRequestEvent(0, 5000),
		{AtUs: 1000, Fault: Crash, Target: "s-1", ForMs: 10},
		newRequestEvent(600_000, 1000),
	}
	r := mustRun(t, singleZoneTopology(Upstream{Slots: 1}), events, Options{})
	assert.EqualValues(t, 1, r.Total.Answered)
	assert.EqualValues(t, 1, r.Total.Unknown)
}

func TestNonIdempotentNeverRunsTwiceDespiteCrashes(t *testing.T) {
	t.Parallel()
	topology := loadTopology(t, "kalahari")
	scenario, _ := FindScenario("crash+log-down")
	events := scenario.Generator(topology, 3).Events()
	for i := range events {
		events[i].Idempotent = false
	}
	r := mustRun(t, topology, events, Options{Seed: 3})
	assert.Zero(t, r.Total.RunsTwice)
	assert.Positive(t, r.Total.Unknown, "the outcome of requests running at the crash is unknown")
	assert.Equal(t, r.Total.Requests, r.Total.Answered+r.Total.NotRun+r.Total.Unknown)
}

func TestEqualSeedsGiveEqualResults(t *testing.T) {
	t.Parallel()
	topology := loadTopology(t, "kalahari")
	scenario, _ := FindScenario("fail-fast+crash")
	g := scenario.Generator(topology, 1)
	g.Duration = 1200 * time.Millisecond
	events := g.Events()
	for _, name := range routing.PolicyNames() {
		firstResult, err := json.Marshal(mustRun(t, topology, events, Options{Routing: name, Seed: 9}))
		require.NoError(t, err)
		secondResult, err := json.Marshal(mustRun(t, topology, events, Options{Routing: name, Seed: 9}))
		require.NoError(t, err)
		assert.Equal(t, string(firstResult), string(secondResult), name)
	}
}

func TestRunReturnsErrorForUnknownPolicy(t *testing.T) {
	_, err := Run(singleZoneTopology(Upstream{Slots: 1}), []Event{newRequestEvent(0, 1)}, Options{Routing: "best"})
	var unknown *routing.UnknownPolicyError
	require.ErrorAs(t, err, &unknown)
	assert.Equal(t, "best", unknown.Name)
}

func BenchmarkReplayMillionRequests(b *testing.B) {
	topology := loadTopology(b, "cooperative")
	scenario, _ := FindScenario("steady-85")
	g := scenario.Generator(topology, 1)
	g.Duration *= 16
	events := g.Events()
	b.ReportMetric(float64(len(events)), "requests")
	b.ResetTimer()
	for b.Loop() {
		mustRun(b, topology, events, Options{Seed: 1})
	}
}
