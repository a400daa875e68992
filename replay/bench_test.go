package replay

import (
	"testing"
	"time"

	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/core/routing"
)

// benchmarkScenarios are the scenarios whose results docs/BENCHMARKS.md lists.
var benchmarkScenarios = []string{
	"steady-70", "steady-85", "steady-95", "straggle", "fail-fast", "booking-rush", "archive-surge",
	"drain", "crash", "partition-zone",
}

// delayedReportLag is the age of the load in load reports in the benchmarks named
// steady-85-late-reports.
const delayedReportLag = policy.Duration(500 * time.Millisecond)

// BenchmarkPolicies replays the same traces with every routing policy. It reports:
//   - the total p99 and p99.9 as ratios to the ideal bound,
//   - the worst group's p99.9 as a ratio to the ideal bound,
//   - the number of requests that were not answered,
//   - the share of capacity that measuring (requesting load reports) took, as in
//     Stats.MeasuringShare.
func BenchmarkPolicies(b *testing.B) {
	for _, name := range []string{"cooperative", "kalahari"} {
		topology := loadTopology(b, name)
		for _, scenario := range benchmarkScenarios {
			benchPolicies(b, name+"/"+scenario, topology, scenario)
		}
		delayedTopology := loadTopology(b, name)
		for i := range delayedTopology.Services {
			delayedTopology.Services[i].ReportLag = delayedReportLag
		}
		benchPolicies(b, name+"/steady-85-late-reports", delayedTopology, "steady-85")
	}
}

// benchPolicies runs one sub-benchmark for each routing policy.
func benchPolicies(b *testing.B, name string, topology *Topology, scenario string) {
	s, ok := FindScenario(scenario)
	if !ok {
		b.Fatal(scenario)
	}
	events := s.Generator(topology, 1).Events()
	for _, p := range routing.PolicyNames() {
		b.Run(name+"/"+p, func(b *testing.B) {
			var r *Result
			for b.Loop() {
				r = mustRun(b, topology, events, Options{Routing: p, Seed: 1})
			}
			b.ReportMetric(ratio(r.Total.P99, r.Total.Ideal.P99), "p99/ideal")
			b.ReportMetric(ratio(r.Total.P999, r.Total.Ideal.P999), "p99.9/ideal")
			b.ReportMetric(worstGroupRatio(r), "worst-group/ideal")
			b.ReportMetric(float64(r.Total.NotRun+r.Total.Unknown), "unanswered")
			b.ReportMetric(r.Total.MeasuringShare, "measuring")
		})
	}
}

// worstGroupRatio returns the largest ratio of a group's p99.9 to that group's ideal
// bound.
func worstGroupRatio(r *Result) float64 {
	worst := 0.0
	for _, g := range r.Groups {
		worst = max(worst, ratio(g.P999, g.Ideal.P999))
	}
	return worst
}

// BenchmarkMeasuringFrontier replays traces with several measuring budgets of the
// service sheds. It reports the p99.9 of the group farmers in this service as a ratio to
// the ideal bound. It also reports the share of the service's capacity that measuring
// took.
func BenchmarkMeasuringFrontier(b *testing.B) {
	for _, scenario := range []string{"steady-85", "misreport"} {
		for _, budget := range []struct {
			name  string
			share float64
		}{{"0", 0}, {"0.0005", 0.0005}, {"0.005", 0.005}, {"0.05", 0.05}} {
			b.Run(scenario+"/budget="+budget.name, func(b *testing.B) {
				topology := loadTopology(b, "kalahari")
				topology.Services[1].MeasuringBudget = budget.share
				s, _ := FindScenario(scenario)
				events := s.Generator(topology, 1).Events()
				var r *Result
				for b.Loop() {
					r = mustRun(b, topology, events, Options{Seed: 1})
				}
				for _, g := range r.Groups {
					if g.Service == "sheds" && g.Group == "farmers" {
						b.ReportMetric(ratio(g.P999, g.Ideal.P999), "p99.9/ideal")
						b.ReportMetric(g.MeasuringShare, "measuring")
					}
				}
			})
		}
	}
}
