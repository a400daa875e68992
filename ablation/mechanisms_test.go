package ablation

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/edits"
)

// mechanism is one that can be switched off.
type mechanism struct {
	name string
	off  []edits.Edit
	// keeps names the test that fails without it, where it is there for a promise.
	keeps string
}

func off(name string, list ...edits.Edit) mechanism { return mechanism{name: name, off: list} }

func kept(by string, m mechanism) mechanism {
	m.keeps = by
	return m
}

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

var (
	noNear = edits.New(choose, "f.queryLoads(req, true, placement.MaxLocalQueries, localZoneTimeout)", "_ = localZoneTimeout")
	noFar  = edits.New(choose, "		f.queryLoads(req, false, placement.MaxRemoteQueries, remoteZoneTimeout)\n", "		_ = remoteZoneTimeout\n")
)

// mechanisms are those that decide where a request goes, whether it waits, and what is
// refused.
var mechanisms = []mechanism{
	off("questions before sending", noNear, noFar),
	off("questions to other zones", noFar),
	off("giving back", edits.New(figures, "MaxRejections = 2", "MaxRejections = 0")),
	off("hedges", edits.New(choose, "if !f.request.route.Idempotent || len(f.inFlight) != 1 ||", "if !f.request.route.Idempotent || len(f.inFlight) < 9 ||")),
	off("newest first", edits.New(queue, "return a.Arrived > b.Arrived", "return a.Arrived < b.Arrived")),
	kept("core/slots TestKindsShareWorkEqually", off("turns between kinds", edits.New(queue, "case aTag != bTag:", "case aTag < 0 && bTag < 0:"))),
	kept("core/slots TestNoRankStarves", off("the last rank's turn", edits.New(queue, "lastRankFirst := q.starts%lastRankInterval == lastRankInterval-1", "lastRankFirst := q.starts < 0"))),
	off("the limit below saturation", edits.New(load, "	return reduced\n}", "	return max(slots, 1)\n}")),
	off("cold starts", edits.New(load, "slowdown = max(slowdown, coldSlowdown)", "slowdown = max(slowdown, 1)")),
	off("learned work", edits.New(entry, "	e.serviceTimes[route] = known\n", "	_ = known\n")),
	off("the price of a crossing", edits.New(placer, "DefaultCrossZonePenalty = 40 * time.Millisecond", "DefaultCrossZonePenalty = time.Nanosecond")),
	off("avoidance", edits.New(placer, "v.unreachableUntil = now.Add(unreachablePause)", "v.unreachableUntil = now.Add(0 * unreachablePause)")),
	kept("sidecar TestHealthResponsesDoNotDecideRouting", off("the failing share", edits.New(load, "maxFailureRate = 0.95", "maxFailureRate = 0.0"))),
	kept("sidecar TestRetryBudgetAfterDaemonRestarts", off("the budget's part after starts", edits.New(retries, "return min(1, (1/retryBudgetMargin-1)/started)", "return min(1, 1+started)"))),
	kept("sidecar TestRetriesAreChargedForNestedCalls", off("calls in the budget", edits.New(retries, "for _, o := range e.otherServices(s) {", "for _, o := range e.otherServices(s)[:0] {"))),
	off("the budget's margin", edits.New(retries, "retryBudgetMargin = 0.75", "retryBudgetMargin = 0.999")),
	kept("core/placement TestMissesDeadline", off("early refusal", edits.New(figures, "maxRefusalAge = 30 * time.Millisecond", "maxRefusalAge = 0 * time.Millisecond"))),
	off("refusal after a full guard", edits.New(placer, "return fullGuards > 0 && left != 0 && c.Expected > left", "return fullGuards > 99 && left != 0 && c.Expected > left")),
	off("the urgent's longer wait", edits.New(admit, "share = urgentUsefulShare", "share = usefulShare + 0*urgentUsefulShare")),
	kept("replay TestRetryAfterJitterSpreadsBursts", off("the spread of advice", edits.New("core/retry/retry_after.go", "retryAfterSpread = 0.5", "retryAfterSpread = 0.0"))),
	kept("sidecar TestCrashingRequestIsQuarantined", off("quarantine", edits.New("sidecar/quarantine.go", "	if !q.store.HasRecords() {\n		return nil\n	}\n	remaining", "	if q.store != nil {\n		return nil\n	}\n	remaining"))),
	kept("sidecar TestLastUpstreamServesWhileItsDaemonStops", off("serving through a stopping daemon", edits.New(placer, "	case includeStopping:\n		return v.unreachableUntil <= now\n", "	case includeStopping:\n		return v.unreachableUntil <= now && !v.upstream.Stopping\n"))),
	off("relays", edits.New("sidecar/peers.go", "relaysPerZone = 2", "relaysPerZone = 1 << 20")),
}

const root = ".."

// TestEditsApply holds the edits to the source as it is.
func TestEditsApply(t *testing.T) {
	seen := make(map[string]bool)
	for _, m := range mechanisms {
		t.Run(m.name, func(t *testing.T) {
			require.False(t, seen[m.name])
			seen[m.name] = true
			_, err := edits.Changed(root, m.off)
			require.NoError(t, err)
		})
	}
}
