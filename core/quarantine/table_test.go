package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// newTable returns a table that quarantines requests for a minute after two
// crashes.
func newTable() *Table {
	return NewTable(Options{Rule: func(model.ServiceName) Rule { return Rule{Crashes: 2, Duration: time.Minute} }})
}

func request(target string) Request {
	return Request{Service: "s", Caller: "c", Method: "GET", Target: target}
}

func crash(n int) Crash {
	return Crash{Upstream: model.UpstreamID(fmt.Sprint("s-", n)), Incarnation: 1}
}

// crashDuring records that upstream n crashed while running the targets, and
// evaluates the table just before and at the end of reportDelay. It panics if a request
// is quarantined before the end.
func crashDuring(t *Table, now int64, n int, targets ...string) {
	for _, target := range targets {
		t.RecordCrash(now, FingerprintOf(request(target)), request(target), crash(n))
	}
	t.Evaluate(now + reportDelay.Milliseconds() - 1)
	for _, r := range t.List() {
		if r.QuarantinedAt == now {
			panic("quarantined before reportDelay has passed")
		}
	}
	t.Evaluate(now + reportDelay.Milliseconds())
}

func refused(t *Table, now int64, target string) bool {
	_, ok := t.Refused(now, FingerprintOf(request(target)))
	return ok
}

func TestRequestIsRefusedAfterSecondCrash(t *testing.T) {
	table := newTable()
	crashDuring(table, 1000, 1, "/crash", "/a")
	require.False(t, refused(table, 1000, "/crash"))
	crashDuring(table, 1001, 1, "/crash")
	require.False(t, refused(table, 1001, "/crash"), "the same crash recorded twice")
	crashDuring(table, 2000, 2, "/crash", "/b")
	require.True(t, refused(table, 2000, "/crash"))
	require.False(t, refused(table, 2000, "/a"))
	require.False(t, refused(table, 2000, "/b"))
	for _, r := range table.List() {
		require.Equal(t, r.Request == "GET /crash", len(r.Crashes) > 0, "crashes of %s are removed", r.Request)
	}
	require.True(t, refused(table, 61_999, "/crash"))
	require.False(t, refused(table, 62_000, "/crash"), "after the quarantine has ended")
}

// TestRapidCrashesDoNotDelayQuarantine guards against a request that is never
// quarantined because it crashes upstreams at intervals shorter than reportDelay.
func TestRapidCrashesDoNotDelayQuarantine(t *testing.T) {
	table := newTable()
	const interval, crashCount = 100, 30
	for i := range crashCount {
		now := int64(1000 + i*interval)
		table.RecordCrash(now, FingerprintOf(request("/crash")), request("/crash"), crash(i))
		table.Evaluate(now)
	}
	require.True(t, refused(table, 1000+(maxCrashes-1)*interval+reportDelay.Milliseconds()+interval, "/crash"))
	require.EqualValues(t, 1000+(maxCrashes-1)*interval, table.List()[0].QuarantinedAt, "quarantined for its oldest crashes")
}

func TestAnsweredRequestIsCleared(t *testing.T) {
	table := newTable()
	crashDuring(table, 1000, 1, "/crash", "/popular")
	table.RecordResponse(1500, FingerprintOf(request("/popular")))
	crashDuring(table, 2000, 2, "/crash", "/popular")
	require.True(t, refused(table, 2000, "/crash"))
	require.False(t, refused(table, 2000, "/popular"))
	table.RecordResponse(2500, FingerprintOf(request("/crash")))
	require.True(t, refused(table, 2500, "/crash"), "a late response does not lift the quarantine")
}

// TestInnocentRequestIsNotQuarantined guards against the quarantine of a request that completes
// while upstreams crash under it. Its last response comes shortly before the crashes, as none of
// the upstreams is left to run it after them, or comes before the first report of the crashes.
// Responses that are older than survivalPeriod must not count.
func TestInnocentRequestIsNotQuarantined(t *testing.T) {
	popular := FingerprintOf(request("/popular"))
	for _, c := range []struct {
		name       string
		answeredAt int64
		refused    bool
	}{
		{"long before the crashes", 1000 - survivalPeriod.Milliseconds() - 1, true},
		{"shortly before the crashes", 900, false},
		{"after the crashes, before their reports", 1030, false},
	} {
		table, peer := newTable(), newTable()
		table.RecordResponse(c.answeredAt, popular)
		for i := range 3 {
			peer.RecordCrash(1000, popular, request("/popular"), crash(i))
			peer.RecordCrash(1000, FingerprintOf(request("/crash")), request("/crash"), crash(i))
		}
		for _, r := range peer.Unsent() {
			table.Merge(1050, r)
		}
		for _, r := range table.Unsent() {
			peer.Merge(1100, r)
		}
		for _, checked := range []*Table{table, peer} {
			checked.Evaluate(3000)
			require.Equal(t, c.refused, refused(checked, 3000, "/popular"), c.name)
			require.True(t, refused(checked, 3000, "/crash"), c.name)
		}
	}
}

// TestAnsweredRequestIsNotQuarantinedWithTheCause guards against the quarantine of a request that was answered some
// time before it ran together with the cause in all of its crashes. The one that was never answered must be
// quarantined alone, at daemons that saw the answer and at others. If it was not the cause, the other must
// be quarantined after further crashes.
func TestAnsweredRequestIsNotQuarantinedWithTheCause(t *testing.T) {
	table, peer := newTable(), newTable()
	table.RecordResponse(100_000, FingerprintOf(request("/popular")))
	exchange := func(now int64) {
		for _, r := range peer.Unsent() {
			table.Merge(now, r)
		}
		for _, r := range table.Unsent() {
			peer.Merge(now, r)
		}
	}
	for i := range int64(2) {
		for _, target := range []string{"/crash", "/popular"} {
			peer.RecordCrash(110_000+100*i, FingerprintOf(request(target)), request(target), crash(int(i)))
		}
		exchange(110_000 + 100*i)
	}
	for _, checked := range []*Table{table, peer} {
		checked.Evaluate(112_000)
		require.True(t, refused(checked, 112_000, "/crash"))
		require.False(t, refused(checked, 112_000, "/popular"))
	}
	for i := range 2 {
		peer.RecordCrash(113_000, FingerprintOf(request("/popular")), request("/popular"), crash(2+i))
	}
	exchange(113_000)
	for _, checked := range []*Table{table, peer} {
		checked.Evaluate(115_000)
		require.True(t, refused(checked, 115_000, "/popular"))
	}
}

// TestResponsesOfSuspectedRequestsAreNotExchanged guards against daemons that tell each other of every response
// to a request that is suspected.
func TestResponsesOfSuspectedRequestsAreNotExchanged(t *testing.T) {
	popular := FingerprintOf(request("/popular"))
	tables := []*Table{newTable(), newTable()}
	tables[0].RecordCrash(1000, popular, request("/popular"), crash(0))
	sent := 0
	for now := int64(1000); now < 60_000; now += 100 {
		for i, from := range tables {
			from.RecordResponse(now, popular)
			for _, r := range from.Unsent() {
				from.MarkSent(r.Fingerprint)
				tables[1-i].Merge(now, r)
				sent++
			}
		}
	}
	require.Less(t, sent, 10)
}

// TestRecentResponsesAreBounded records responses to many requests and checks that the newest are
// known, and that old ones are forgotten.
func TestRecentResponsesAreBounded(t *testing.T) {
	var r recentResponses
	fingerprintOf := func(i int) Fingerprint { return FingerprintOf(request(fmt.Sprint("/", i))) }
	for i := range 3 * maxResponses {
		r.add(1000, fingerprintOf(i))
	}
	require.LessOrEqual(t, len(r.current)+len(r.previous), 2*maxResponses)
	require.Positive(t, r.survivedUntil(fingerprintOf(2*maxResponses)))
	require.Zero(t, r.survivedUntil(fingerprintOf(0)))
	for i := range 2 {
		r.add(1000+int64(i+1)*answeredPeriod.Milliseconds(), fingerprintOf(-i))
	}
	require.Zero(t, r.survivedUntil(fingerprintOf(2*maxResponses)))
}

func TestSharedCrashesQuarantineNothingUntilDistinguished(t *testing.T) {
	table := newTable()
	targets := []string{"/crash", "/a", "/b", "/c", "/d"}
	crashDuring(table, 1000, 1, targets...)
	crashDuring(table, 2000, 2, targets...)
	for _, target := range targets {
		require.False(t, refused(table, 2000, target), target)
	}
	crashDuring(table, 3000, 3, "/crash", "/d")
	require.True(t, refused(table, 3000, "/crash"))
	require.False(t, refused(table, 3000, "/a"))
}

func TestReleaseOverridesOlderRecords(t *testing.T) {
	table, peerTable := newTable(), newTable()
	crashDuring(table, 1000, 1, "/crash")
	crashDuring(table, 2000, 2, "/crash")
	for _, r := range table.List() {
		peerTable.Merge(2000, r)
	}
	require.True(t, refused(peerTable, 2000, "/crash"))
	require.True(t, table.Release(3000, FingerprintOf(request("/crash"))))
	for _, r := range peerTable.List() {
		table.Merge(3001, r)
	}
	require.False(t, refused(table, 3001, "/crash"), "an older record does not undo the release")
	for _, r := range table.List() {
		peerTable.Merge(3002, r)
	}
	require.False(t, refused(peerTable, 3002, "/crash"))
	require.False(t, table.Release(3000, FingerprintOf(request("/unknown"))))
}

// TestMergeOrderDoesNotMatter merges the same records into two tables in different
// orders, and merges them into the second table twice. The tables then exchange their
// records before and after both are evaluated. Both must refuse the same requests.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 50 {
		var records []Record
		for i := range 12 {
			r := request(fmt.Sprint("/", i%4))
			records = append(records, Record{
				Fingerprint: FingerprintOf(r), Service: "s", Caller: "c", Request: "GET " + r.Target,
				Crashes: []CrashReport{{Crash: crash(rng.IntN(3)), At: int64(1000 + rng.IntN(50))}},
			})
		}
		a, b := newTable(), newTable()
		for _, r := range records {
			a.Merge(2000, r)
		}
		rng.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
		for _, r := range append(records, records...) {
			b.Merge(2000, r)
		}
		// The tables also exchange their own merged records.
		for range 3 {
			for _, r := range a.List() {
				b.Merge(2000, r)
			}
			for _, r := range b.List() {
				a.Merge(2000, r)
			}
		}
		a.Evaluate(3000)
		b.Evaluate(3000)
		for _, r := range a.List() {
			b.Merge(3000, r)
		}
		for _, r := range b.List() {
			a.Merge(3000, r)
		}
		for i := range 4 {
			target := fmt.Sprint("/", i)
			require.Equal(t, refused(a, 2000, target), refused(b, 2000, target), target)
		}
	}
}

func TestFloodNeitherEvictsQuarantinedNorGrowsTable(t *testing.T) {
	table := newTable()
	crashDuring(table, 1000, 1, "/crash")
	crashDuring(table, 1100, 2, "/crash")
	crashDuring(table, 1200, 3, "/suspect")
	for i := range 5 * maxRecords {
		r := request(fmt.Sprint("/flood-", i))
		table.RecordCrash(int64(1300+i), FingerprintOf(r), r, crash(10+i))
	}
	require.Equal(t, maxRecords, table.Len())
	require.True(t, refused(table, 7000, "/crash"))
	table.Expire(1300 + 10*time.Hour.Milliseconds())
	require.Zero(t, table.Len())
}

func TestRecordsFromTheFutureAreRejected(t *testing.T) {
	table := newTable()
	require.False(t, table.Merge(1000, Record{Fingerprint: Fingerprint{1}, Service: "s", QuarantinedAt: 1 << 60, Until: 1 << 61}))
	require.Zero(t, table.Len())
}

func TestFingerprintsAreDistinct(t *testing.T) {
	seen := make(map[Fingerprint]bool)
	for _, r := range []Request{
		{}, {Service: "a"}, {Caller: "a"}, {Method: "a"}, {Target: "a"}, {Body: []byte("a")}, {Length: 1},
		{Service: "a", Caller: "b"}, {Service: "ab"}, {Target: "a", Body: []byte("b")}, {Target: "ab"},
	} {
		f := FingerprintOf(r)
		require.False(t, seen[f], "%+v", r)
		seen[f] = true
		var parsed Fingerprint
		text, err := f.MarshalText()
		require.NoError(t, err)
		require.NoError(t, parsed.UnmarshalText(text))
		require.Equal(t, f, parsed)
	}
	require.Error(t, new(Fingerprint).UnmarshalText([]byte("xyz")))
}
