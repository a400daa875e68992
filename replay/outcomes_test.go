package replay

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/routing"
)

// expectedOutcome is an element of testdata/replay/outcomes.json. It holds upper
// bounds on the results of the default routing policy for a generated trace.
// Latencies are given as ratios to the ideal bound.
type expectedOutcome struct {
	Topology string `json:"topology"`
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	// P99 is the upper bound on the p99 of all requests together.
	P99 float64 `json:"p99"`
	// P999 is the upper bound on the p99.9 of all requests together.
	P999 float64 `json:"p999"`
	// GroupP999 is the upper bound on the p99.9 of each group.
	GroupP999 float64 `json:"group_p999"`
	// NotRun is the upper bound on the number of requests with outcome NotRun.
	NotRun int64 `json:"not_run"`
	// Unknown is the upper bound on the number of requests with outcome Unknown.
	Unknown int64 `json:"unknown"`
}

func readExpectedOutcomes(t *testing.T) []expectedOutcome {
	t.Helper()
	data, err := os.ReadFile("../testdata/replay/outcomes.json")
	require.NoError(t, err)
	var rows []expectedOutcome
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	require.NoError(t, dec.Decode(&rows))
	require.NotEmpty(t, rows)
	return rows
}

// generateEvents returns the trace of the named scenario.
func generateEvents(t *testing.T, topology *Topology, name string, seed uint64) []Event {
	t.Helper()
	scenario, ok := FindScenario(name)
	require.True(t, ok, name)
	return scenario.Generator(topology, seed).Events()
}

func ratio(a, b int64) float64 { return float64(a) / float64(b) }

// TestExpectedOutcomes checks the results of the default routing policy against the
// bounds in testdata/replay/outcomes.json. It also checks that every request has an
// outcome and that no non-idempotent request ran twice. The cost of load reports must
// stay within each service's MeasuringBudget. A replay is deterministic, so the test does
// not pass or fail by chance.
func TestExpectedOutcomes(t *testing.T) {
	for _, want := range readExpectedOutcomes(t) {
		t.Run(want.Topology+"/"+want.Scenario, func(t *testing.T) {
			t.Parallel()
			topology := loadTopology(t, want.Topology)
			events := generateEvents(t, topology, want.Scenario, want.Seed)
			r := mustRun(t, topology, events, Options{Seed: want.Seed})
			total := r.Total
			assert.EqualValues(t, total.Requests, total.Answered+total.NotRun+total.Unknown)
			assert.LessOrEqual(t, total.NotRun, want.NotRun, "not run")
			assert.LessOrEqual(t, total.Unknown, want.Unknown, "unknown")
			assert.Zero(t, total.RunsTwice, "runs twice")
			assert.LessOrEqual(t, ratio(total.P99, total.Ideal.P99), want.P99, "p99")
			assert.LessOrEqual(t, ratio(total.P999, total.Ideal.P999), want.P999, "p99.9")
			for _, g := range r.Groups {
				assert.LessOrEqual(t, ratio(g.P999, g.Ideal.P999), want.GroupP999, "p99.9 of %s %s", g.Service, g.Group)
			}
			for _, s := range topology.Services {
				for _, g := range r.Groups {
					if g.Service == s.Name {
						assert.LessOrEqual(t, g.MeasuringShare, s.MeasuringBudget, "measuring %s", s.Name)
					}
				}
			}
		})
	}
}

// comparedScenarios are the scenarios in which the default policy is compared
// with the other policies. None of them overloads a service, because under overload
// the wait in the queues dominates the latency of every policy.
var comparedScenarios = []string{"steady-85", "steady-95", "straggle", "fail-fast"}

// tieTolerance is the ratio up to which two latencies are considered equal. A different
// seed changes a latency by as much.
const tieTolerance = 1.02

// TestDefaultPolicyAtLeastAsGoodAsBaselines checks that the total p99 and p99.9 of
// the default policy are at most tieTolerance times those of any other policy on the
// same trace.
func TestDefaultPolicyAtLeastAsGoodAsBaselines(t *testing.T) {
	for _, name := range comparedScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			topology := loadTopology(t, "kalahari")
			events := generateEvents(t, topology, name, 1)
			defaultTotal := mustRun(t, topology, events, Options{Seed: 1}).Total
			for _, baseline := range routing.PolicyNames()[1:] {
				baselineTotal := mustRun(t, topology, events, Options{Routing: baseline, Seed: 1}).Total
				assert.LessOrEqual(t, ratio(defaultTotal.P99, baselineTotal.P99), tieTolerance, "p99 against %s", baseline)
				assert.LessOrEqual(t, ratio(defaultTotal.P999, baselineTotal.P999), tieTolerance, "p99.9 against %s", baseline)
			}
		})
	}
}

// TestMixedCostsKeepAllUpstreamsInUse replays 20 s of cheap lookups mixed with
// expensive searches. It guards against a past fault: an upstream that executed
// several searches at once was mistaken for a straggler, that is, a slow upstream. No
// entry ever sent this upstream a request again.
func TestMixedCostsKeepAllUpstreamsInUse(t *testing.T) {
	t.Parallel()
	topology := loadTopology(t, "cooperative")
	topology.Services = topology.Services[1:]
	scenario, _ := FindScenario("steady-85")
	g := scenario.Generator(topology, 1)
	g.Duration = 20 * time.Second
	r := mustRun(t, topology, g.Events(), Options{Seed: 1})
	assert.Zero(t, r.Total.NotRun)
	assert.Less(t, ratio(r.Total.P999, r.Total.Ideal.P999), 1.25)
}
