package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
)

func newTable() *Table {
	return NewTable(Options{Rule: func(model.ServiceName) Rule { return Rule{Deaths: 2, Duration: time.Minute} }})
}

func request(target string) Request {
	return Request{Service: "s", Caller: "c", Method: "GET", Target: target}
}

func death(n int) Death {
	return Death{Upstream: model.UpstreamID(fmt.Sprint("s-", n)), Incarnation: 1}
}

// die lets an upstream die while it runs the targets.
func die(t *Table, now int64, n int, targets ...string) {
	for _, target := range targets {
		t.Died(now, Of(request(target)), request(target), death(n))
	}
	t.Settle(now + settle.Milliseconds() - 1)
	for _, r := range t.List() {
		if r.Condemned == now {
			panic("condemned before the reports have settled")
		}
	}
	t.Settle(now + settle.Milliseconds())
}

func refused(t *Table, now int64, target string) bool {
	_, ok := t.Refused(now, Of(request(target)))
	return ok
}

func TestKillerIsRefusedAfterItsSecondDeath(t *testing.T) {
	table := newTable()
	die(table, 1000, 1, "/kill", "/a")
	require.False(t, refused(table, 1000, "/kill"))
	die(table, 1001, 1, "/kill")
	require.False(t, refused(table, 1001, "/kill"), "the same death seen twice")
	die(table, 2000, 2, "/kill", "/b")
	require.True(t, refused(table, 2000, "/kill"))
	require.False(t, refused(table, 2000, "/a"))
	require.False(t, refused(table, 2000, "/b"))
	for _, r := range table.List() {
		require.Equal(t, r.Request == "GET /kill", len(r.Deaths) > 0, "bystander %s is freed", r.Request)
	}
	require.True(t, refused(table, 61_999, "/kill"))
	require.False(t, refused(table, 62_000, "/kill"), "for a bounded time")
}

// TestKillerThatGoesOnIsRefused has a request crash one upstream after the other, faster than
// its deaths settle.
func TestKillerThatGoesOnIsRefused(t *testing.T) {
	table := newTable()
	const every, crashes = 100, 30
	for i := range crashes {
		now := int64(1000 + i*every)
		table.Died(now, Of(request("/kill")), request("/kill"), death(i))
		table.Settle(now)
	}
	require.True(t, refused(table, 1000+(maxDeaths-1)*every+settle.Milliseconds()+every, "/kill"))
	require.EqualValues(t, 1000+(maxDeaths-1)*every, table.List()[0].Condemned, "by its first deaths")
}

func TestAnsweredBystanderIsCleared(t *testing.T) {
	table := newTable()
	die(table, 1000, 1, "/kill", "/popular")
	table.Answered(1500, Of(request("/popular")))
	die(table, 2000, 2, "/kill", "/popular")
	require.True(t, refused(table, 2000, "/kill"))
	require.False(t, refused(table, 2000, "/popular"))
	table.Answered(2500, Of(request("/kill")))
	require.True(t, refused(table, 2500, "/kill"), "a late answer does not free what is condemned")
}

func TestSharedCrashCondemnsNobodyUntilToldApart(t *testing.T) {
	table := newTable()
	all := []string{"/kill", "/a", "/b", "/c", "/d"}
	die(table, 1000, 1, all...)
	die(table, 2000, 2, all...)
	for _, target := range all {
		require.False(t, refused(table, 2000, target), target)
	}
	die(table, 3000, 3, "/kill", "/d")
	require.True(t, refused(table, 3000, "/kill"))
	require.False(t, refused(table, 3000, "/a"))
}

func TestReleaseHoldsAgainstLateReports(t *testing.T) {
	table, other := newTable(), newTable()
	die(table, 1000, 1, "/kill")
	die(table, 2000, 2, "/kill")
	for _, r := range table.List() {
		other.Merge(2000, r)
	}
	require.True(t, refused(other, 2000, "/kill"))
	require.True(t, table.Release(3000, Of(request("/kill"))))
	for _, r := range other.List() {
		table.Merge(3001, r)
	}
	require.False(t, refused(table, 3001, "/kill"), "an older record does not undo it")
	for _, r := range table.List() {
		other.Merge(3002, r)
	}
	require.False(t, refused(other, 3002, "/kill"))
	require.False(t, table.Release(3000, Of(request("/unknown"))))
}

// TestTablesAgreeInAnyOrder hands the same records to two tables in different
// orders, some twice.
func TestTablesAgreeInAnyOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 50 {
		var records []Record
		for i := range 12 {
			r := request(fmt.Sprint("/", i%4))
			records = append(records, Record{
				Fingerprint: Of(r), Service: "s", Caller: "c", Request: "GET " + r.Target,
				Deaths: []Suspicion{{Death: death(rng.IntN(3)), At: int64(1000 + rng.IntN(50))}},
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
		// What each has come to believe is exchanged as well.
		for range 3 {
			for _, r := range a.List() {
				b.Merge(2000, r)
			}
			for _, r := range b.List() {
				a.Merge(2000, r)
			}
		}
		a.Settle(3000)
		b.Settle(3000)
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

func TestFloodEvictsNeitherTheGuiltyNorGrows(t *testing.T) {
	table := newTable()
	die(table, 1000, 1, "/kill")
	die(table, 1100, 2, "/kill")
	die(table, 1200, 3, "/suspect")
	for i := range 5 * maxRecords {
		r := request(fmt.Sprint("/flood-", i))
		table.Died(int64(1300+i), Of(r), r, death(10+i))
	}
	require.Equal(t, maxRecords, table.Len())
	require.True(t, refused(table, 7000, "/kill"))
	table.Expire(1300 + 10*time.Hour.Milliseconds())
	require.Zero(t, table.Len())
}

func TestRecordsFromTheFutureAreNotTakenIn(t *testing.T) {
	table := newTable()
	require.False(t, table.Merge(1000, Record{Fingerprint: Fingerprint{1}, Service: "s", Condemned: 1 << 60, Until: 1 << 61}))
	require.Zero(t, table.Len())
}

func TestFingerprintTellsRequestsApart(t *testing.T) {
	seen := make(map[Fingerprint]bool)
	for _, r := range []Request{
		{}, {Service: "a"}, {Caller: "a"}, {Method: "a"}, {Target: "a"}, {Body: []byte("a")}, {Length: 1},
		{Service: "a", Caller: "b"}, {Service: "ab"}, {Target: "a", Body: []byte("b")}, {Target: "ab"},
	} {
		f := Of(r)
		require.False(t, seen[f], "%+v", r)
		seen[f] = true
		var back Fingerprint
		text, err := f.MarshalText()
		require.NoError(t, err)
		require.NoError(t, back.UnmarshalText(text))
		require.Equal(t, f, back)
	}
	require.Error(t, new(Fingerprint).UnmarshalText([]byte("xyz")))
}
