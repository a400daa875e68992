package ablation

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/edits"
)

// mechanism is a part of the daemon's decisions that can be disabled.
type mechanism struct {
	name  string
	edits []edits.Edit
	// coveringTest names the test that fails without the mechanism. It is empty for a
	// mechanism that no guarantee depends on.
	coveringTest string
}

// disabledBy returns a mechanism and the edits that disable it.
func disabledBy(name string, list ...edits.Edit) mechanism { return mechanism{name: name, edits: list} }

// coveredBy sets the covering test of a mechanism.
func coveredBy(test string, m mechanism) mechanism {
	m.coveringTest = test
	return m
}

// The source files that contain the mechanisms.
const (
	placer  = "core/placement/placer.go"
	load    = "core/placement/load.go"
	figures = "core/placement/parameters.go"
	queue   = "core/slots/slots.go"
	admit   = "core/slots/admit.go"
	choose  = "sidecar/choose.go"
	entry   = "sidecar/entry.go"
	retries = "sidecar/retries.go"
)

// Edits that remove the load queries to one kind of zone.
var (
	noLocalQueries  = edits.New(choose, "r.queryLoads(ask, true, placement.MaxLocalQueries, localZoneTimeout)", "_ = localZoneTimeout")
	noRemoteQueries = edits.New(choose, "		r.queryLoads(ask, false, placement.MaxRemoteQueries, remoteZoneTimeout)\n", "		_ = remoteZoneTimeout\n")
)

// mechanisms lists the mechanisms that choose an upstream for a request, queue it or refuse it.
var mechanisms = []mechanism{
	disabledBy("load queries before an attempt", noLocalQueries, noRemoteQueries),
	disabledBy("load queries to remote zones", noRemoteQueries),
	disabledBy("rejections by the guard", edits.New(figures, "MaxRejections = 2", "MaxRejections = 0")),
	disabledBy("hedges", edits.New(choose, "if !r.request.route.Idempotent || len(r.inFlight) != 1 ||", "if !r.request.route.Idempotent || len(r.inFlight) < 9 ||")),
	disabledBy("newest request first", edits.New(queue, "return a.Arrived > b.Arrived", "return a.Arrived < b.Arrived")),
	coveredBy("core/slots TestKindsShareWorkEqually", disabledBy("fair sharing between kinds", edits.New(queue, "case aTag != bTag:", "case aTag < 0 && bTag < 0:"))),
	coveredBy("core/slots TestNoRankStarves", disabledBy("reserved starts for the last rank", edits.New(queue, "lastRankFirst := q.starts%lastRankInterval == lastRankInterval-1", "lastRankFirst := q.starts < 0"))),
	disabledBy("concurrency limit below saturation", edits.New(load, "	return reduced\n}", "	return max(slots, 1)\n}")),
	disabledBy("cold-start slowdown", edits.New(load, "slowdown = max(slowdown, coldSlowdown)", "slowdown = max(slowdown, 1)")),
	disabledBy("learned service times", edits.New(entry, "	e.serviceTimes[route] = known\n", "	_ = known\n")),
	disabledBy("cross-zone penalty", edits.New(placer, "DefaultCrossZonePenalty = 40 * time.Millisecond", "DefaultCrossZonePenalty = time.Nanosecond")),
	disabledBy("avoidance of unreachable upstreams", edits.New(placer, "v.unreachableUntil = now.Add(unreachablePause)", "v.unreachableUntil = now.Add(0 * unreachablePause)")),
	coveredBy("sidecar TestHealthResponsesDoNotDecideRouting", disabledBy("failure rate", edits.New(load, "maxFailureRate = 0.95", "maxFailureRate = 0.0"))),
	coveredBy("sidecar TestRetryBudgetAfterDaemonRestarts", disabledBy("reduced retry budget after starts", edits.New(retries, "return min(1, (1/retryBudgetMargin-1)/started)", "return min(1, 1+started)"))),
	coveredBy("sidecar TestRetriesAreChargedForNestedCalls", disabledBy("retry charges for nested calls", edits.New(retries, "for _, o := range e.otherServices(s) {", "for _, o := range e.otherServices(s)[:0] {"))),
	disabledBy("retry budget margin", edits.New(retries, "retryBudgetMargin = 0.75", "retryBudgetMargin = 0.999")),
	coveredBy("core/placement TestMissesDeadline", disabledBy("early refusal", edits.New(figures, "maxRefusalAge = 30 * time.Millisecond", "maxRefusalAge = 0 * time.Millisecond"))),
	disabledBy("refusal after full guards", edits.New(placer, "return fullGuards > 0 && left != 0 && c.Expected > left", "return fullGuards > 99 && left != 0 && c.Expected > left")),
	disabledBy("longer wait of urgent requests", edits.New(admit, "share = urgentUsefulShare", "share = usefulShare + 0*urgentUsefulShare")),
	coveredBy("replay TestCallersRefusedTogether", disabledBy("Retry-After jitter", edits.New("core/retry/retry_after.go", "retryAfterSpread = 0.5", "retryAfterSpread = 0.0"))),
	coveredBy("sidecar TestCrashingRequestIsQuarantined", disabledBy("quarantine", edits.New("sidecar/quarantine.go", "	if !s.store.HasRecords() {\n		return nil\n	}\n	remaining", "	if s.store != nil {\n		return nil\n	}\n	remaining"))),
	coveredBy("sidecar TestLastUpstreamServesWhileItsDaemonStops", disabledBy("forwarding to a stopping daemon", edits.New(placer, "	case includeStopping:\n		return v.unreachableUntil <= now\n", "	case includeStopping:\n		return v.unreachableUntil <= now && !v.upstream.Stopping\n"))),
	disabledBy("record relays", edits.New("sidecar/peers.go", "relaysPerZone = 2", "relaysPerZone = 1 << 20")),
}

const root = ".."

// TestEditsApply guards against edits that no longer apply to the source.
func TestEditsApply(t *testing.T) {
	seen := make(map[string]bool)
	for _, m := range mechanisms {
		t.Run(m.name, func(t *testing.T) {
			require.False(t, seen[m.name])
			seen[m.name] = true
			_, err := edits.Apply(root, m.edits)
			require.NoError(t, err)
		})
	}
}
