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
	figures = "core/placement/figures.go"
	queue   = "core/slots/slots.go"
	admit   = "core/slots/admit.go"
	choose  = "sidecar/choose.go"
	entry   = "sidecar/entry.go"
	resends = "sidecar/resends.go"
)

var (
	noNear = edits.New(choose, "r.inquire(ask, true, placement.AskNear, nearWait)", "_ = nearWait")
	noFar  = edits.New(choose, "		r.inquire(ask, false, placement.AskFar, farWait)\n", "		_ = farWait\n")
)

// mechanisms are those that decide where a request goes, whether it waits, and what is
// refused.
var mechanisms = []mechanism{
	off("questions before sending", noNear, noFar),
	off("questions to other zones", noFar),
	off("giving back", edits.New(figures, "MaxGivenBack = 2", "MaxGivenBack = 0")),
	off("hedges", edits.New(choose, "if !r.req.route.Idempotent || len(r.live) != 1 ||", "if !r.req.route.Idempotent || len(r.live) < 9 ||")),
	off("newest first", edits.New(queue, "return a.Arrived > b.Arrived", "return a.Arrived < b.Arrived")),
	kept("core/slots TestKindsTakeTurns", off("turns between kinds", edits.New(queue, "case aTurn != bTurn:", "case aTurn < 0 && bTurn < 0:"))),
	kept("core/slots TestNoRankStarves", off("the last rank's turn", edits.New(queue, "lastRank := q.starts%lastRankEvery == lastRankEvery-1", "lastRank := q.starts < 0"))),
	off("the limit below saturation", edits.New(load, "	return spare\n}", "	return max(slots, 1)\n}")),
	off("cold starts", edits.New(load, "slow = max(slow, coldSlow)", "slow = max(slow, 1)")),
	off("learned work", edits.New(entry, "	e.works[name] = w\n", "	_ = w\n")),
	off("the price of a crossing", edits.New(placer, "DefaultCrossing = 40 * time.Millisecond", "DefaultCrossing = time.Nanosecond")),
	off("avoidance", edits.New(placer, "v.avoidUntil = now.Add(avoidance)", "v.avoidUntil = now.Add(0 * avoidance)")),
	kept("sidecar TestHealthAnswersAreNotBelieved", off("the failing share", edits.New(load, "maxFailing = 0.95", "maxFailing = 0.0"))),
	kept("sidecar TestBudgetWhenDaemonsForget", off("the budget's part after starts", edits.New(resends, "return min(1, (1/resendMargin-1)/started)", "return min(1, 1+started)"))),
	kept("sidecar TestResendsCountTheCallsTheyCause", off("calls in the budget", edits.New(resends, "for _, o := range e.others(s) {", "for _, o := range e.others(s)[:0] {"))),
	off("the budget's margin", edits.New(resends, "resendMargin = 0.75", "resendMargin = 0.999")),
	kept("core/placement TestUnservable", off("early refusal", edits.New(figures, "surelyFull = 30 * time.Millisecond", "surelyFull = 0 * time.Millisecond"))),
	off("refusal after a full guard", edits.New(placer, "return full > 0 && target != 0 && c.Expected > target", "return full > 99 && target != 0 && c.Expected > target")),
	off("the urgent's longer wait", edits.New(admit, "share = urgentShare", "share = usefulShare + 0*urgentShare")),
	kept("replay TestCallersRefusedTogether", off("the spread of advice", edits.New("core/retry/advice.go", "adviceSpread = 0.5", "adviceSpread = 0.0"))),
	kept("sidecar TestRequestThatCrashesUpstreamsIsRefused", off("quarantine", edits.New("sidecar/quarantine.go", "	if !s.store.Watching() {\n		return nil\n	}\n	remaining", "	if s.store != nil {\n		return nil\n	}\n	remaining"))),
	kept("sidecar TestLastUpstreamServesWhileItsDaemonStops", off("serving through a stopping daemon", edits.New(placer, "	case evenStopping:\n		return v.avoidUntil <= now\n", "	case evenStopping:\n		return v.avoidUntil <= now && !v.up.Stopping\n"))),
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
