package lifecycle

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// trackerOf returns a Tracker that has observed reports.
func trackerOf(reports ...Report) *Tracker {
	t := &Tracker{}
	for _, r := range reports {
		t.Observe(r)
	}
	return t
}

// TestReportsThatNeedIdentity lists the reports that must not be believed as they are: they could take the place of an
// upstream that lives, or revive one that has left.
func TestReportsThatNeedIdentity(t *testing.T) {
	left := trackerOf(report("a", 1, 1, Draining))
	leftUnknownStart := &Tracker{}
	leftUnknownStart.Restore([]Incarnation{{ID: "a"}})
	for name, c := range map[string]struct {
		tracker *Tracker
		r       Report
		want    bool
	}{
		"first report":                                {trackerOf(), report("a", 1, 1, Ready), true},
		"first report, draining":                      {trackerOf(), report("a", 1, 1, Draining), false},
		"renewal":                                     {trackerOf(report("a", 1, 1, Ready)), report("a", 1, 2, Ready), false},
		"start time after a health check":             {trackerOf(report("a", 0, 0, Ready)), report("a", 1, 2, Ready), false},
		"restart under the same id":                   {trackerOf(report("a", 1, 1, Ready)), report("a", 2, 1, Ready), false},
		"another id":                                  {trackerOf(report("a", 0, 1, Ready)), report("b", 0, 1, Ready), true},
		"another id, started later":                   {trackerOf(report("a", 1, 1, Ready)), report("b", 2, 1, Ready), true},
		"another id, started earlier":                 {trackerOf(report("a", 2, 1, Ready)), report("b", 1, 1, Ready), true},
		"another id, draining":                        {trackerOf(report("a", 0, 1, Ready)), report("b", 0, 1, Draining), false},
		"another id after the current one has left":   {left, report("b", 2, 1, Ready), false},
		"another id, earlier, after the current left": {left, report("b", 0, 1, Ready), false},
		"departed incarnation":                        {left, report("a", 1, 2, Ready), false},
		"departed incarnation of unknown start":       {leftUnknownStart, report("a", 1, 2, Ready), true},
		"departed incarnation, both starts unknown":   {leftUnknownStart, report("a", 0, 2, Ready), false},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, c.tracker.NeedsIdentity(c.r)) })
	}
}

// TestSettledReports applies reports by the word of the process at the address, and without one.
func TestSettledReports(t *testing.T) {
	for name, c := range map[string]struct {
		current    Report
		r          Report
		responding Identity
		silent     bool
		want       Effect
		// previousDeparted says whether the incarnation of current counts as departed then.
		previousDeparted bool
	}{
		"current one responds":                        {report("a", 0, 1, Ready), report("b", 0, 1, Ready), Identity{ID: "a"}, true, Stale, false},
		"reported one responds":                       {report("a", 0, 1, Ready), report("b", 0, 1, Ready), Identity{ID: "b"}, false, Started, true},
		"reported one responds, earlier start":        {report("a", 9, 1, Ready), report("b", 2, 1, Ready), Identity{ID: "b"}, false, Started, true},
		"reported one responds that it is leaving":    {report("a", 0, 1, Ready), report("b", 0, 1, Ready), Identity{ID: "b", Leaving: true}, true, Stale, false},
		"a third one responds":                        {report("a", 0, 1, Ready), report("b", 0, 1, Ready), Identity{ID: "c"}, true, Stale, false},
		"nobody responds, no start times":             {report("a", 0, 1, Ready), report("b", 0, 1, Ready), Identity{}, false, Stale, false},
		"nobody responds, the current one is silent":  {report("a", 0, 1, Ready), report("b", 0, 1, Ready), Identity{}, true, Started, false},
		"nobody responds, later start":                {report("a", 1, 1, Ready), report("b", 2, 1, Ready), Identity{}, false, Started, false},
		"nobody responds, earlier start, also silent": {report("a", 2, 1, Ready), report("b", 1, 1, Ready), Identity{}, true, Stale, false},
	} {
		t.Run(name, func(t *testing.T) {
			tr := trackerOf(c.current)
			require.True(t, tr.NeedsIdentity(c.r))
			require.Equal(t, c.want, tr.Settle(c.r, c.responding, c.silent))
			wantCurrent := c.current
			if c.want == Started {
				wantCurrent = c.r
			}
			require.Equal(t, wantCurrent, tr.Current())
			require.Equal(t, c.previousDeparted, tr.hasDeparted(c.current.Incarnation))
		})
	}
}

// TestDepartureBeforeTheFirstReportBinds guards against a late report that makes an upstream ready which has said that
// it is leaving, to a daemon that had no report yet. Another incarnation under its id must be accepted.
func TestDepartureBeforeTheFirstReportBinds(t *testing.T) {
	tr := trackerOf(report("a", 0, 0, Draining))
	late := report("a", 5, 9, Ready)
	require.True(t, tr.NeedsIdentity(late))
	require.Equal(t, Stale, tr.Settle(late, Identity{}, true), "nobody responds")
	require.Equal(t, Stale, tr.Settle(late, Identity{ID: "a", Leaving: true}, false))
	require.Equal(t, Stale, tr.Observe(report("a", 5, 10, Ready)), "it is known now which one has left")
	restarted := report("a", 8, 1, Ready)
	require.False(t, tr.NeedsIdentity(restarted))
	require.Equal(t, Started, tr.Observe(restarted))

	tr = trackerOf(report("a", 0, 0, Draining))
	require.Equal(t, Started, tr.Settle(restarted, Identity{ID: "a"}, false), "it responds, and isn't leaving")
	require.Equal(t, Ready, tr.Current().State)
}

// TestLiveUpstreamGetsBack plays reports of the upstream at the address, of other writers and of incarnations that have
// ended, in random order, with and without start times, and health checks that fail now and then. An upstream that lives
// and goes on reporting must be the current one after its next report to which its health check responds. Another
// writer must never be it then.
func TestLiveUpstreamGetsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		withStart := rapid.Bool().Draw(t, "start times")
		bornOf := func(b int64) int64 {
			if withStart {
				return b
			}
			return 0
		}
		tr := &Tracker{}
		live, seq := 0, uint64(0)
		id := func(n int) string { return string(rune('a' + n)) }
		observe := func(r Report) {
			if !tr.NeedsIdentity(r) {
				tr.Observe(r)
				return
			}
			responding := Identity{ID: model.UpstreamID(id(live))}
			if rapid.IntRange(0, 3).Draw(t, "health check fails") == 0 {
				responding = Identity{}
			}
			tr.Settle(r, responding, rapid.Bool().Draw(t, "silent"))
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			seq++
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				observe(report("stray", bornOf(rapid.Int64Range(1, 99).Draw(t, "stray born")), seq, Ready))
			case 1:
				if live > 0 {
					ended := rapid.IntRange(0, live-1).Draw(t, "ended")
					observe(report(id(ended), bornOf(int64(10+ended)), seq, Ready))
				}
			case 2:
				if live < 20 {
					live++
				}
			default:
				observe(report(id(live), bornOf(int64(10+live)), seq, Ready))
			}
		}
		final := report(id(live), bornOf(int64(10+live)), seq+1, Ready)
		if tr.NeedsIdentity(final) {
			tr.Settle(final, Identity{ID: final.ID}, false)
		} else {
			tr.Observe(final)
		}
		require.Equal(t, final.Incarnation, tr.Current().Incarnation)
		require.Equal(t, Ready, tr.Current().State)
	})
}
