package sidecar

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
)

// recordTable holds the records that one daemon holds, by the address of the daemon that each
// describes.
type recordTable map[string]Record

func newRecordTable(records []Record) recordTable {
	t := make(recordTable)
	for _, r := range records {
		t[r.Address] = r
	}
	return t
}

func (t recordTable) records() []Record {
	var out []Record
	for _, r := range t {
		out = append(out, r)
	}
	return out
}

// merge packs records into datagram bodies, unpacks these, and merges the records into the table.
// It returns how many bytes the datagrams have.
func (t recordTable) merge(records []Record) int {
	numBytes := 0
	for _, b := range packRecords(records) {
		numBytes += datagramHeaderBytes + len(b)
		for _, r := range unpackRecords(b) {
			if held, ok := t[r.Address]; !ok || r.supersedes(&held) {
				t[r.Address] = r
			}
		}
	}
	return numBytes
}

// reconcile runs one anti-entropy round between two tables, as antiEntropy does between daemons.
// It returns how many bytes all datagrams of the round have.
func reconcile(t *testing.T, initiator, responder recordTable) int {
	t.Helper()
	responderDigest, initiatorDigest := digestOf(responder.records()), digestOf(initiator.records())
	numBytes := datagramHeaderBytes + len(initiatorDigest.encode())
	var differing []int
	for i := range initiatorDigest {
		if initiatorDigest[i] != responderDigest[i] {
			differing = append(differing, i)
		}
	}
	if len(differing) == 0 {
		return numBytes
	}
	summaryBody := newSummary(responder.records(), differing).encode()
	require.LessOrEqual(t, len(summaryBody), maxDatagramBody)
	s, ok := decodeSummary(summaryBody)
	require.True(t, ok)
	newer, wanted := s.diff(initiator.records())
	numBytes += datagramHeaderBytes + len(summaryBody) + responder.merge(newer)
	request := encodeRecordRequest(wanted)
	if len(request) > 0 {
		numBytes += datagramHeaderBytes + len(request)
	}
	var requested []Record
	for _, r := range responder.records() {
		if decodeRecordRequest(request)[addressHash(r.Address)] {
			requested = append(requested, r)
		}
	}
	return numBytes + initiator.merge(requested)
}

// TestAntiEntropyCostIsBounded has one record among many differ between two daemons. One round must
// make them agree, and the bytes that they exchange are bounded. The bound is about the size of a
// digest plus the summary of one bucket. A second round must cost no more than a digest.
func TestAntiEntropyCostIsBounded(t *testing.T) {
	for _, n := range []int{10, 100, 300, 1000, 1700} {
		for name, change := range map[string]func(a, b recordTable, r Record){
			"newer at the initiator":   func(a, _ recordTable, r Record) { r.Sequence++; a[r.Address] = r },
			"newer at the responder":   func(_, b recordTable, r Record) { r.Incarnation++; r.Sequence = 1; b[r.Address] = r },
			"unknown to the initiator": func(a, _ recordTable, r Record) { delete(a, r.Address) },
			"unknown to the responder": func(_, b recordTable, r Record) { delete(b, r.Address) },
		} {
			t.Run(fmt.Sprint(n, " daemons, ", name), func(t *testing.T) {
				records := sampleRecords(n)
				a, b := newRecordTable(records), newRecordTable(records)
				change(a, b, records[n/2])
				require.LessOrEqual(t, reconcile(t, a, b), 600+summaryEntryBytes*(2+2*n/digestBuckets))
				require.Equal(t, a, b)
				require.Equal(t, datagramHeaderBytes+digestBuckets*bucketHashBytes, reconcile(t, a, b))
			})
		}
	}
}

// TestTablesConverge starts with tables that have only one record in common, as after a start of
// all daemons at once. Each daemon runs twelve anti-entropy rounds with randomly chosen daemons.
// All tables must then be equal.
func TestTablesConverge(t *testing.T) {
	const numDaemons, numRounds = 60, 12
	rng := rand.New(rand.NewPCG(1, 2))
	records := sampleRecords(numDaemons)
	tables := make([]recordTable, numDaemons)
	for i := range tables {
		tables[i] = newRecordTable([]Record{records[0], records[i]})
	}
	for range numRounds {
		for i := range tables {
			reconcile(t, tables[i], tables[rng.IntN(numDaemons)])
		}
	}
	for i := range tables {
		require.Equal(t, tables[0], tables[i])
	}
}

// TestTruncatedSummariesConverge has so many records that even the summary of a single bucket does
// not fit a datagram. Repeated rounds must still make two tables equal that differ in one record.
func TestTruncatedSummariesConverge(t *testing.T) {
	const n = 4000
	records := sampleRecords(n)
	a, b := newRecordTable(records), newRecordTable(records)
	changedRecord := records[n/2]
	changedRecord.Sequence++
	a[changedRecord.Address] = changedRecord
	for range 50 {
		reconcile(t, a, b)
		reconcile(t, b, a)
	}
	require.Equal(t, a, b)
}

// TestGoneDaemonsAreNotInSummary has a record of a stopping daemon whose upstream is gone. Neither
// a summary nor the comparison with an empty summary may include it.
func TestGoneDaemonsAreNotInSummary(t *testing.T) {
	records := sampleRecords(3)
	records[1].Stopping, records[1].State = true, lifecycle.Gone
	require.Len(t, newSummary(records, []int{bucketOf(records[1].Address)}).versionsByHash, len(newSummary(append(records[:1:1], records[2]), []int{bucketOf(records[1].Address)}).versionsByHash))
	newer, wanted := (&summary{bucketSet: ^uint32(0)}).diff(records)
	require.Len(t, newer, 2)
	require.Empty(t, wanted)
}

// TestDecodeSummaryToleratesAnyBytes decodes arbitrary bytes as a record request and as a summary,
// and compares the summary with records. None of this may panic.
func TestDecodeSummaryToleratesAnyBytes(t *testing.T) {
	records := sampleRecords(10)
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOf(rapid.Byte()).Draw(t, "body")
		decodeRecordRequest(body)
		if s, ok := decodeSummary(body); ok {
			s.diff(records)
		}
	})
}
