package claims

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

var self = Owner{Daemon: "127.0.0.1:7001", Incarnation: 11}

// ledgerOwnedBy returns a Ledger with one range, in which an owner holds all
// timestamps below until.
func ledgerOwnedBy(o Owner, until Stamp) *Ledger {
	l := NewLedger(1, 0)
	l.Apply(0, Record{Grant: &Grant{Owner: o, Until: until, Extensions: []Extension{{}}}})
	return l
}

// newRequest returns a request whose key has the given timestamp. For the same
// timestamp, different values of n give different keys.
func newRequest(stamp Stamp, n int, caller model.CallerName) Request {
	return Request{ID: ID{Caller: caller, Key: NewKey(stamp, [10]byte{9: byte(n), 8: byte(n >> 8)})}, Group: "sorters"}
}

func TestTableReplaysOnlyTheSameRequest(t *testing.T) {
	l, table := ledgerOwnedBy(self, 100), NewTable(self, Limits{})
	r := newRequest(50, 1, "sorter-1")
	begin := func(r Request) Decision { decision, _ := table.Begin(l, r); return decision }

	require.Equal(t, Run, begin(r))
	require.Equal(t, InProgress, begin(r))
	table.Finish(r.ID, outcome.Answered, &Answer{Status: 201, Body: []byte("released")})
	decision, a := table.Begin(l, r)
	require.Equal(t, Replay, decision)
	require.Equal(t, "released", string(a.Body))

	differentRequest := r
	differentRequest.Digest[0]++
	require.Equal(t, Mismatch, begin(differentRequest))
	require.Equal(t, Run, begin(newRequest(50, 1, "sorter-2")), "the same key of another caller is independent")
	require.Equal(t, NotOwner, begin(newRequest(100, 1, "sorter-1")), "timestamp beyond the grant")
	table.Expire(51)
	require.Equal(t, Expired, begin(r))
	require.Zero(t, table.Len())
	require.Zero(t, table.AnswerBytes())
}

func TestTableReleasesClaimOfRequestThatDidNotRun(t *testing.T) {
	l, table := ledgerOwnedBy(self, 100), NewTable(self, Limits{})
	r := newRequest(50, 1, "")
	for range 2 {
		decision, _ := table.Begin(l, r)
		require.Equal(t, Run, decision)
		table.Finish(r.ID, outcome.NotRun, nil)
	}
	decision, _ := table.Begin(l, r)
	require.Equal(t, Run, decision)
	table.Finish(r.ID, outcome.Unknown, nil)
	decision, _ = table.Begin(l, r)
	require.Equal(t, OutcomeUnknown, decision)
}

func TestTableLimitsClaimsPerGroup(t *testing.T) {
	l, table := ledgerOwnedBy(self, 100), NewTable(self, Limits{Claims: 4, GroupClaims: 2})
	decisions := map[Decision]int{}
	for i := range 5 {
		decision, _ := table.Begin(l, newRequest(50, i, ""))
		decisions[decision]++
	}
	require.Equal(t, map[Decision]int{Run: 2, Full: 3}, decisions)
	otherGroupRequest := newRequest(50, 9, "")
	otherGroupRequest.Group = "members"
	decision, _ := table.Begin(l, otherGroupRequest)
	require.Equal(t, Run, decision, "a full group leaves capacity for other groups")
}

func TestTableEvictsAnswersOfLargestGroup(t *testing.T) {
	l, table := ledgerOwnedBy(self, 100), NewTable(self, Limits{AnswerBytes: 1000, GroupAnswerBytes: 800})
	runRequest := func(n, size int, g model.GroupName) Request {
		r := newRequest(50, n, "")
		r.Group = g
		decision, _ := table.Begin(l, r)
		require.Equal(t, Run, decision)
		table.Finish(r.ID, outcome.Answered, &Answer{Body: make([]byte, size)})
		require.LessOrEqual(t, table.AnswerBytes(), 1000)
		return r
	}
	oldestRequest, newerRequest := runRequest(1, 350, "searches"), runRequest(2, 350, "searches")
	sorterRequest := runRequest(3, 350, "sorters")
	for r, want := range map[*Request]Decision{&oldestRequest: AnswerGone, &newerRequest: Replay, &sorterRequest: Replay} {
		decision, _ := table.Begin(l, *r)
		require.Equal(t, want, decision)
	}
	largeRequest := runRequest(4, 801, "sorters")
	decision, _ := table.Begin(l, largeRequest)
	require.Equal(t, AnswerGone, decision)
}

func TestHandoverTransfersClaimsAndAnswers(t *testing.T) {
	successor := Owner{Daemon: "127.0.0.1:7002", Incarnation: 12}
	l, from, to := ledgerOwnedBy(self, 100), NewTable(self, Limits{}), NewTable(successor, Limits{})
	answeredRequest, inFlightRequest, unsubmittedRequest := newRequest(50, 1, "a"), newRequest(51, 2, "a"), newRequest(52, 3, "a")
	from.Begin(l, answeredRequest)
	from.Finish(answeredRequest.ID, outcome.Answered, &Answer{Status: 200, Body: []byte("paid")})
	from.Begin(l, inFlightRequest)
	from.Expire(40)
	from.Seal()
	parts, err := from.Export(l)
	require.NoError(t, err)
	require.Len(t, parts, 1)
	require.NoError(t, to.Import(parts[0]))
	require.NoError(t, to.Import(parts[0]), "a second delivery changes nothing")
	require.Equal(t, 2, to.Len())

	decision, _ := to.Begin(l, answeredRequest)
	require.Equal(t, NotOwner, decision, "before the transfer is on the log")
	l.Apply(1, Record{Transfer: &Transfer{From: self.Incarnation, To: successor}})
	decision, a := to.Begin(l, answeredRequest)
	require.Equal(t, Replay, decision)
	require.Equal(t, "paid", string(a.Body))
	decision, _ = to.Begin(l, inFlightRequest)
	require.Equal(t, OutcomeUnknown, decision)
	decision, _ = to.Begin(l, newRequest(39, 4, "a"))
	require.Equal(t, Expired, decision, "the earlier owner may have deleted the claim")
	decision, _ = to.Begin(l, unsubmittedRequest)
	require.Equal(t, Run, decision)
}

func TestHandoverTakesEffectAfterLastPart(t *testing.T) {
	successor := Owner{Daemon: "127.0.0.1:7002", Incarnation: 12}
	l, from, to := ledgerOwnedBy(self, 100), NewTable(self, Limits{}), NewTable(successor, Limits{})
	for i := range 5 {
		r := newRequest(50, i, "")
		from.Begin(l, r)
		from.Finish(r.ID, outcome.Answered, &Answer{Body: make([]byte, 300<<10)})
	}
	from.Seal()
	parts, err := from.Export(l)
	require.NoError(t, err)
	require.Greater(t, len(parts), 1)
	l.Apply(1, Record{Transfer: &Transfer{From: self.Incarnation, To: successor}})
	for _, part := range parts {
		decision, _ := to.Begin(l, newRequest(50, 9, ""))
		require.Equal(t, OwnerLost, decision)
		require.NoError(t, to.Import(part))
	}
	require.Equal(t, 5, to.Len())
	decision, _ := to.Begin(l, newRequest(50, 9, ""))
	require.Equal(t, Run, decision)
}

func TestHandoverIsRejectedAsAWhole(t *testing.T) {
	l, from := ledgerOwnedBy(self, 100), NewTable(self, Limits{})
	for i := range 3 {
		from.Begin(l, newRequest(50, i, ""))
	}
	from.Seal()
	parts, err := from.Export(l)
	require.NoError(t, err)
	part := parts[0]
	smallTable := NewTable(Owner{Incarnation: 12}, Limits{Claims: 2})
	sealedTable := NewTable(Owner{Incarnation: 13}, Limits{})
	sealedTable.Seal()
	for name, table := range map[string]*Table{"no capacity": smallTable, "sealed": sealedTable} {
		t.Run(name, func(t *testing.T) {
			require.ErrorIs(t, table.Import(part), ErrHandover)
			require.Zero(t, table.Len())
		})
	}
	usableTable := NewTable(Owner{Incarnation: 14}, Limits{})
	for cut := range len(part) - 1 {
		require.ErrorIs(t, usableTable.Import(part[:cut]), ErrHandover, "cut at %d", cut)
	}
	require.Zero(t, usableTable.Len())
}

func TestPlannerCoversRangesOfSilentOwner(t *testing.T) {
	const grantLength = 60 * time.Second
	daemons := []model.DaemonID{"a:1", "b:1", "c:1"}
	l := NewLedger(64, 0)
	var now Stamp = 1_000_000
	offset := uint64(0)
	planners := map[model.DaemonID]*Planner{}
	for i, d := range daemons {
		planners[d] = NewPlanner(Owner{Daemon: d, Incarnation: uint64(i + 1)}, 64, grantLength)
		planners[d].SetCandidates(daemons)
	}
	appends := 0
	runPlanners := func(alive []model.DaemonID, d time.Duration) {
		for until := now + Stamp(d.Milliseconds()); now < until; now += 200 {
			for _, id := range alive {
				if g := planners[id].Plan(l, now); g != nil {
					l.Apply(offset, Record{Grant: g})
					offset++
					appends++
				}
			}
		}
	}
	rangesPerOwner := func() map[model.DaemonID]int {
		counts := map[model.DaemonID]int{}
		for r := range Range(64) {
			interval, ownership := l.Lookup(r, now)
			require.Equal(t, Owned, ownership, "range %d has no owner", r)
			counts[interval.Owner.Daemon]++
		}
		return counts
	}
	runPlanners(daemons, time.Second)
	require.Len(t, rangesPerOwner(), 3)
	appends = 0
	runPlanners(daemons, 10*time.Minute)
	require.LessOrEqual(t, appends, 3*21, "each owner renews all its ranges with one record per half of the grant length")
	runPlanners(daemons[:2], 2*time.Minute)
	require.Len(t, rangesPerOwner(), 2, "other daemons take over the ranges of a silent owner without a gap")
}

// TestPlannerStartedFirstLeavesRangesToOthers guards against a daemon that owns
// every range for a full grant length. The daemon that starts first does not know
// the other candidates yet, so it requests all ranges. Its grants during startup are
// short to prevent this.
func TestPlannerStartedFirstLeavesRangesToOthers(t *testing.T) {
	const grantLength = 60 * time.Second
	l := NewLedger(64, 0)
	first := NewPlanner(Owner{Daemon: "a:1", Incarnation: 1}, 64, grantLength)
	first.SetCandidates([]model.DaemonID{"a:1"})
	second := NewPlanner(Owner{Daemon: "b:1", Incarnation: 2}, 64, grantLength)
	second.SetCandidates([]model.DaemonID{"a:1", "b:1"})
	offset := uint64(0)
	plan := func(p *Planner, now Stamp) {
		if g := p.Plan(l, now); g != nil {
			l.Apply(offset, Record{Grant: g})
			offset++
		}
	}
	plan(first, 1_000_000)
	first.SetCandidates([]model.DaemonID{"a:1", "b:1"})
	for now := Stamp(1_001_000); now < 1_010_000; now += 500 {
		plan(first, now)
		plan(second, now)
	}
	rangesPerOwner := map[model.DaemonID]int{}
	for r := range Range(64) {
		interval, ownership := l.Lookup(r, 1_010_000)
		require.Equal(t, Owned, ownership, "range %d", r)
		rangesPerOwner[interval.Owner.Daemon]++
	}
	require.Greater(t, rangesPerOwner["b:1"], 16, "%v", rangesPerOwner)
}

func TestPlannerRequestsNothingWhenNotCandidate(t *testing.T) {
	p := NewPlanner(self, 4, time.Minute)
	l := NewLedger(4, 0)
	require.Nil(t, p.Plan(l, 1000))
	p.SetCandidates([]model.DaemonID{"other:1"})
	require.Nil(t, p.Plan(l, 1000))
	p.SetCandidates([]model.DaemonID{self.Daemon})
	require.Len(t, p.Plan(l, 1000).Extensions, 4)
	l.Reset(7)
	require.Nil(t, p.Plan(l, 1000), "the frontier is unknown before a checkpoint is restored")
}

func BenchmarkBegin(b *testing.B) {
	for _, claimCount := range []int{1_000, 60_000} {
		b.Run(fmt.Sprintf("claims=%d", claimCount), func(b *testing.B) {
			l, table := ledgerOwnedBy(self, 1<<40), NewTable(self, Limits{GroupClaims: claimCount + 1, Claims: claimCount + 1})
			for i := range claimCount {
				r := newRequest(Stamp(i), i, "sorter-1")
				table.Begin(l, r)
				table.Finish(r.ID, outcome.Answered, nil)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				r := newRequest(Stamp(claimCount+i), i, "sorter-1")
				table.Begin(l, r)
				table.Finish(r.ID, outcome.NotRun, nil)
			}
		})
	}
}
