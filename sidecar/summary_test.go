package sidecar

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
)

// recordTable holds the records of one daemon, by address.
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

// merge packs records into datagram bodies, unpacks and merges them, and returns the bytes of
// the datagrams.
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
// It returns the bytes of all datagrams.
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

// TestAntiEntropyCostIsBounded changes one record among many. It bounds the bytes that two
// daemons exchange until they agree. The bound is about the size of a digest plus the summary of
// one bucket.
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
// all daemons at once. Repeated rounds must make all tables equal.
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

// TestTruncatedSummariesConverge uses buckets whose summaries fit no datagram. Repeated rounds
// must still make the tables equal.
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

// TestGoneDaemonsAreNotInSummary compares tables of which only one still holds the record of
// a daemon that is gone.
func TestGoneDaemonsAreNotInSummary(t *testing.T) {
	records := sampleRecords(3)
	records[1].Stopping, records[1].State = true, lifecycle.Gone
	require.Len(t, newSummary(records, []int{bucketOf(records[1].Address)}).versionsByHash, len(newSummary(append(records[:1:1], records[2]), []int{bucketOf(records[1].Address)}).versionsByHash))
	newer, wanted := (&summary{bucketSet: ^uint32(0)}).diff(records)
	require.Len(t, newer, 2)
	require.Empty(t, wanted)
}

// TestDecodeSummaryToleratesAnyBytes decodes arbitrary bytes.
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
