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

// expectedOutcome is a row of testdata/replay/outcomes.json: the outcome stated for the
// default policy on a generated trace. Latencies are ratios to the ideal.
type expectedOutcome struct {
	Topology string `json:"topology"`
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	// P99 and P999 bound the total, GroupP999 every group with a rank to speak
	// of.
	P99       float64 `json:"p99"`
	P999      float64 `json:"p999"`
	GroupP999 float64 `json:"group_p999"`
	// NotRun and Unknown bound the requests that were not answered.
	NotRun  int64 `json:"not_run"`
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

func generateEvents(t *testing.T, topology *Topology, name string, seed uint64) []Event {
	t.Helper()
	scenario, ok := FindScenario(name)
	require.True(t, ok, name)
	return scenario.Generator(topology, seed).Events()
}

func ratio(got, ideal int64) float64 { return float64(got) / float64(ideal) }

// TestExpectedOutcomes holds the default policy to its stated outcomes. Replay is
// deterministic, so a worse policy fails here on every run.
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

// comparedScenarios lists the traces on which the default policy is held against every
// baseline. Overloads are left out: there all policies wait for the same queue.
var comparedScenarios = []string{"steady-85", "steady-95", "straggle", "fail-fast"}

// tieTolerance is the ratio up to which two figures count as equal: another seed moves
// them by as much.
const tieTolerance = 1.02

// TestDefaultPolicyAtLeastAsGoodAsBaselines holds the default policy's total p99 and p99.9 against
// those of the other policies in the same run.
func TestDefaultPolicyAtLeastAsGoodAsBaselines(t *testing.T) {
	for _, name := range comparedScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			topology := loadTopology(t, "kalahari")
			events := generateEvents(t, topology, name, 1)
			own := mustRun(t, topology, events, Options{Seed: 1}).Total
			for _, baseline := range routing.Names()[1:] {
				other := mustRun(t, topology, events, Options{Routing: baseline, Seed: 1}).Total
				assert.LessOrEqual(t, ratio(own.P99, other.P99), tieTolerance, "p99 against %s", baseline)
				assert.LessOrEqual(t, ratio(own.P999, other.P999), tieTolerance, "p99.9 against %s", baseline)
			}
		})
	}
}

// TestMixedCostsKeepAllUpstreamsInUse replays 20 s of cheap lookups beside
// costly searches. An upstream that ran several searches at once once looked
// like a straggler, was left by every entry and never tried again.
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
