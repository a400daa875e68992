package sidecar

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
)

// table is what one daemon holds, by address.
type table map[string]Record

func tableOf(records []Record) table {
	t := make(table)
	for _, r := range records {
		t[r.Address] = r
	}
	return t
}

func (t table) records() []Record {
	var out []Record
	for _, r := range t {
		out = append(out, r)
	}
	return out
}

// merge takes in records that came in datagrams, and returns their bytes.
func (t table) merge(records []Record) int {
	bytes := 0
	for _, b := range packRecords(records) {
		bytes += headBytes + len(b)
		for _, r := range unpackRecords(b) {
			if held, ok := t[r.Address]; !ok || r.newer(&held) {
				t[r.Address] = r
			}
		}
	}
	return bytes
}

// compare has one daemon compare its records with another's, as comparer does, and returns
// the bytes of all datagrams.
func compare(t *testing.T, opener, other table) int {
	t.Helper()
	theirs, own := digestOf(other.records()), digestOf(opener.records())
	bytes := headBytes + len(own.encode())
	var differ []int
	for i := range own {
		if own[i] != theirs[i] {
			differ = append(differ, i)
		}
	}
	if len(differ) == 0 {
		return bytes
	}
	message := summaryOf(other.records(), differ).encode()
	require.LessOrEqual(t, len(message), datagramRoom)
	s, ok := decodeSummary(message)
	require.True(t, ok)
	newer, wishes := s.against(opener.records())
	bytes += headBytes + len(message) + other.merge(newer)
	wished := encodeWishes(wishes)
	if len(wished) > 0 {
		bytes += headBytes + len(wished)
	}
	var granted []Record
	for _, r := range other.records() {
		if decodeWishes(wished)[hashOf(r.Address)] {
			granted = append(granted, r)
		}
	}
	return bytes + opener.merge(granted)
}

// TestComparisonsCostWhatIsNew changes one record among many: what two daemons send each
// other to agree is bounded by a digest and the summary of the part that it is in.
func TestComparisonsCostWhatIsNew(t *testing.T) {
	for _, n := range []int{10, 100, 300, 1000, 1700} {
		for name, change := range map[string]func(a, b table, r Record){
			"newer at the opener":   func(a, _ table, r Record) { r.Sequence++; a[r.Address] = r },
			"newer at the other":    func(_, b table, r Record) { r.Incarnation++; r.Sequence = 1; b[r.Address] = r },
			"unknown to the opener": func(a, _ table, r Record) { delete(a, r.Address) },
			"unknown to the other":  func(_, b table, r Record) { delete(b, r.Address) },
		} {
			t.Run(fmt.Sprint(n, " daemons, ", name), func(t *testing.T) {
				records := recordsOf(n)
				a, b := tableOf(records), tableOf(records)
				change(a, b, records[n/2])
				require.LessOrEqual(t, compare(t, a, b), 600+entryBytes*(2+2*n/buckets))
				require.Equal(t, a, b)
				require.Equal(t, headBytes+buckets*bucketBytes, compare(t, a, b))
			})
		}
	}
}

// TestTablesConverge starts with tables that have nothing in common but one record, as
// after a start of all daemons at once.
func TestTablesConverge(t *testing.T) {
	const daemons, rounds = 60, 12
	rng := rand.New(rand.NewPCG(1, 2))
	records := recordsOf(daemons)
	tables := make([]table, daemons)
	for i := range tables {
		tables[i] = tableOf([]Record{records[0], records[i]})
	}
	for range rounds {
		for i := range tables {
			compare(t, tables[i], tables[rng.IntN(daemons)])
		}
	}
	for i := range tables {
		require.Equal(t, tables[0], tables[i])
	}
}

// TestSummariesAreCut has parts that fit no datagram settle in the end.
func TestSummariesAreCut(t *testing.T) {
	const n = 4000
	records := recordsOf(n)
	a, b := tableOf(records), tableOf(records)
	changed := records[n/2]
	changed.Sequence++
	a[changed.Address] = changed
	for range 50 {
		compare(t, a, b)
		compare(t, b, a)
	}
	require.Equal(t, a, b)
}

// TestRecordsOfTheGoneAreNotCompared has one daemon still hold what the other has dropped.
func TestRecordsOfTheGoneAreNotCompared(t *testing.T) {
	records := recordsOf(3)
	records[1].Stopping, records[1].State = true, lifecycle.Gone
	require.Len(t, summaryOf(records, []int{bucketOf(records[1].Address)}).entries, len(summaryOf(append(records[:1:1], records[2]), []int{bucketOf(records[1].Address)}).entries))
	newer, wishes := (&summary{covered: ^uint32(0)}).against(records)
	require.Len(t, newer, 2)
	require.Empty(t, wishes)
}

// TestSummariesThatCannotBeRead takes in whatever arrives.
func TestSummariesThatCannotBeRead(t *testing.T) {
	records := recordsOf(10)
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOf(rapid.Byte()).Draw(t, "body")
		decodeWishes(body)
		if s, ok := decodeSummary(body); ok {
			s.against(records)
		}
	})
}
