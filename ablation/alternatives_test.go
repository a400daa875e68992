package ablation

import "github.com/dottereltiller/dottereltiller/edits"

// alternative returns another way to take a decision, which the edits in list put in place of the
// current one.
func alternative(name string, list ...edits.Edit) mechanism {
	return mechanism{name: name, edits: list}
}

const (
	forward  = "sidecar/forward.go"
	coldness = "sidecar/coldness.go"
)

// alternatives lists other ways to take the decisions that matter most for recorded days.
var alternatives = []mechanism{
	alternative("plan cold upstreams at their peak rate", edits.New(coldness, "Rate: s.ColdRate, PeakRate", "Rate: s.ColdRate * b.Overage, PeakRate")),
	alternative("send cold upstreams no more than their rate", edits.New(coldness, "PeakRate: s.ColdRate * b.Overage", "PeakRate: s.ColdRate")),
	alternative("limit at 0.9 of the slots", edits.New(load, "maxUtilization = 0.8", "maxUtilization = 0.9")),
	alternative("limit at 0.7 of the slots", edits.New(load, "maxUtilization = 0.8", "maxUtilization = 0.7")),
	alternative("limit at 0.8 of the slots and no less", edits.New(load, "math.Ceil(float64(slots)*maxUtilization)) - 1", "math.Ceil(float64(slots) * maxUtilization))")),
	alternative("2 local load queries", edits.New(parameters, "MaxLocalQueries = 4", "MaxLocalQueries = 2")),
	alternative("6 local load queries", edits.New(parameters, "MaxLocalQueries = 4", "MaxLocalQueries = 6")),
	alternative("2 remote load queries", edits.New(parameters, "MaxRemoteQueries = 3", "MaxRemoteQueries = 2")),
	alternative("cross-zone penalty of 20 ms", edits.New(placer, "DefaultCrossZonePenalty = 40 * time.Millisecond", "DefaultCrossZonePenalty = 20 * time.Millisecond")),
	alternative("cross-zone penalty of 80 ms", edits.New(placer, "DefaultCrossZonePenalty = 40 * time.Millisecond", "DefaultCrossZonePenalty = 80 * time.Millisecond")),
	alternative("another zone from 0.7 of the target", edits.New(overflow, "targetShare = 0.85", "targetShare = 0.7")),
	alternative("hedge after twice the expected time", edits.New(choose, "hedgeFactor = 1.4", "hedgeFactor = 2.0")),
	alternative("the budget whole", edits.New(retries, "usableBudgetShare = 0.75", "usableBudgetShare = 0.9")),
	alternative("earliest deadline first", edits.New(queue, "case !aLate && a.Arrived != b.Arrived:", "case !aLate && a.Arrived < 0 && b.Arrived < 0:")),
	alternative("refused by upstreams: back after 200 ms", edits.New(forward, "upstreamRefusedRetryAfter = 50 * time.Millisecond", "upstreamRefusedRetryAfter = 200 * time.Millisecond")),
}
