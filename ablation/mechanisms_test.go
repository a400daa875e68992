package ablation

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/edits"
)

// mechanism is a part of the daemon's decisions that can be disabled.
type mechanism struct {
	name  string
	edits []edits.Edit
	// coveringTest names the package and the test that fails without the mechanism. It is
	// empty if no guarantee depends on the mechanism.
	coveringTest string
}

// disabledBy returns a mechanism with the given name, which the edits in list disable.
func disabledBy(name string, list ...edits.Edit) mechanism { return mechanism{name: name, edits: list} }

// coveredBy returns a mechanism with its covering test set.
func coveredBy(test string, m mechanism) mechanism {
	m.coveringTest = test
	return m
}

// The paths of the source files that contain the mechanisms.
const (
	placer     = "core/placement/placer.go"
	eligible   = "core/placement/eligibility.go"
	overflow   = "core/overflow/overflow.go"
	load       = "core/placement/load.go"
	parameters = "core/placement/parameters.go"
	queue      = "core/slots/order.go"
	admit      = "core/slots/admit.go"
	choose     = "sidecar/choose.go"
	retries    = "sidecar/retries.go"
)

var (
	// noLocalQueries removes the load queries to the local zone (the zone of the daemon that sends
	// the request). A load query asks a daemon for the load of its upstream before a request is
	// sent.
	noLocalQueries = edits.New(choose, "f.queryLoads(req, true, placement.MaxLocalQueries, localZoneTimeout)", "_ = localZoneTimeout")
	// noRemoteQueries removes the load queries to all zones but the local zone.
	noRemoteQueries = edits.New(choose, "		f.queryLoads(req, false, placement.MaxRemoteQueries, remoteZoneTimeout)\n", "		_ = remoteZoneTimeout\n")
)

// mechanisms lists the mechanisms that choose an upstream for a request, queue it or refuse it.
var mechanisms = []mechanism{
	disabledBy("questions before sending", noLocalQueries, noRemoteQueries),
	disabledBy("questions to other zones", noRemoteQueries),
	disabledBy("giving back", edits.New(parameters, "MaxRejections = 2", "MaxRejections = 0")),
	disabledBy("hedges", edits.New(choose, "if !f.request.route.Idempotent || len(f.inFlight) != 1 ||", "if !f.request.route.Idempotent || len(f.inFlight) < 9 ||")),
	disabledBy("newest first", edits.New(queue, "return a.Arrived > b.Arrived", "return a.Arrived < b.Arrived")),
	coveredBy("core/slots TestKindsShareWorkEqually", disabledBy("turns between kinds", edits.New(queue, "case aTag != bTag:", "case aTag < 0 && bTag < 0:"))),
	coveredBy("core/slots TestNoRankStarves", disabledBy("the last rank's turn", edits.New(queue, "lastRankFirst := q.starts%lastRankInterval == lastRankInterval-1", "lastRankFirst := q.starts < 0"))),
	coveredBy("core/slots TestAccountAboveItsShareTakesFromNobody", disabledBy("shares of accounts", edits.New(queue, "return shares.accounts.startTag(a.Account), shares.accounts.startTag(b.Account)", "return 0, 0"))),
	coveredBy("core/slots TestEveryAccountIsServed", disabledBy("guarantees of accounts", edits.New("core/slots/guarantee.go", "guaranteedShare = 0.3", "guaranteedShare = 0.0"))),
	disabledBy("the limit below saturation", edits.New(load, "	return reduced\n}", "	return max(slots, 1)\n}")),
	disabledBy("cold starts", edits.New(load, "slowdown = max(slowdown, coldSlowdown)", "slowdown = max(slowdown, 1)")),
	disabledBy("learned work", edits.New("core/servicetime/estimates.go", "	e.byRoute[route] = known\n", "	_ = known\n")),
	disabledBy("the price of a crossing", edits.New(placer, "DefaultCrossZonePenalty = 40 * time.Millisecond", "DefaultCrossZonePenalty = time.Nanosecond")),
	coveredBy("replay TestDemandMovesBetweenZones", disabledBy("overflow of queues", edits.New(overflow, " && l.Wait <= crossing", " && l.Wait <= l.Wait+crossing"))),
	disabledBy("avoidance", edits.New(placer, "c.unreachableUntil = now.Add(unreachablePause)", "c.unreachableUntil = now.Add(0 * unreachablePause)")),
	coveredBy("sidecar TestHealthResponsesDoNotDecideRouting", disabledBy("the failing share", edits.New(load, "maxFailureRate = 0.95", "maxFailureRate = 0.0"))),
	coveredBy("sidecar TestRetryBudgetAfterDaemonRestarts", disabledBy("the budget's part after starts", edits.New(retries, "return min(1, (1/usableBudgetShare-1)/startedFraction)", "return min(1, 1+startedFraction)"))),
	coveredBy("sidecar TestRetriesAreChargedForNestedCalls", disabledBy("calls in the budget", edits.New(retries, "for _, o := range e.serviceStatesExcept(s) {", "for _, o := range e.serviceStatesExcept(s)[:0] {"))),
	coveredBy("sidecar TestScarceRetriesGoToRunsThatTheyComplete", disabledBy("retries by what they achieve", edits.New(retries, "r.window.Remaining(now)-r.reserve.Kept(now, class) >= n && r", "r"))),
	coveredBy("core/callgroup TestCalledServiceRejectsHalfWhileRunsNeedTwoCalls", disabledBy("groups of calls", edits.New("core/callgroup/callgroup.go", "now.Sub(a.newest.firstAt) > maxArrivalGap ||", "now.Sub(a.newest.firstAt) >= 0 ||"))),
	disabledBy("the budget's margin", edits.New(retries, "usableBudgetShare = 0.75", "usableBudgetShare = 0.999")),
	coveredBy("core/placement TestMissesDeadline", disabledBy("early refusal", edits.New(parameters, "maxRefusalAge = 30 * time.Millisecond", "maxRefusalAge = 0 * time.Millisecond"))),
	disabledBy("refusal after a full guard", edits.New(placer, "return capacityRejections > 0 && left != 0 && c.Expected > left", "return capacityRejections > 99 && left != 0 && c.Expected > left")),
	disabledBy("the urgent's longer wait", edits.New(admit, "share = urgentDeadlineShare", "share = deadlineShare + 0*urgentDeadlineShare")),
	coveredBy("replay TestRetryAfterJitterSpreadsBursts", disabledBy("the spread of advice", edits.New("core/retry/retry_after.go", "retryAfterJitter = 0.5", "retryAfterJitter = 0.0"))),
	coveredBy("sidecar TestCrashingRequestIsQuarantined", disabledBy("quarantine", edits.New("sidecar/quarantine.go", "	if !q.store.HasRecords() {\n		return nil\n	}\n	remaining", "	if q.store != nil {\n		return nil\n	}\n	remaining"))),
	coveredBy("sidecar TestLastUpstreamServesWhileItsDaemonStops", disabledBy("serving through a stopping daemon",
		edits.New(eligible, "	case includeStopping:\n		return c.unreachableUntil <= now\n", "	case includeStopping:\n		return c.unreachableUntil <= now && !c.upstream.Stopping\n"),
		edits.New(eligible, "return c.unreachableUntil <= now || !c.upstream.Stopping", "return !c.upstream.Stopping"))),
	disabledBy("relays", edits.New("sidecar/peers.go", "relaysPerZone = 2", "relaysPerZone = 1 << 20")),
}

// root is the root directory of the repository.
const root = ".."

// TestEditsApply guards against edits that no longer apply to the source, and against two
// mechanisms with the same name.
func TestEditsApply(t *testing.T) {
	seenNames := make(map[string]bool)
	for _, m := range slices.Concat(mechanisms, alternatives) {
		t.Run(m.name, func(t *testing.T) {
			require.False(t, seenNames[m.name])
			seenNames[m.name] = true
			_, err := edits.Apply(root, m.edits)
			require.NoError(t, err)
		})
	}
}
