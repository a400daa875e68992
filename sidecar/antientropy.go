package sidecar

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/core/gossip"
	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/interval"
)

const (
	// digestBuckets is the number of buckets in a digest. Each bucket holds some of the records: a
	// hash of a daemon's address selects the bucket of the daemon's record.
	digestBuckets = 32
	// bucketHashBytes is the encoded size of the hash of one bucket. The field bucketSet of a
	// summary has the same size.
	bucketHashBytes = 4
	// roundTick is how often a daemon checks whether the next anti-entropy round is due.
	roundTick = 500 * time.Millisecond
)

// antiEntropy runs the anti-entropy protocol. In each round, two daemons compare the records that
// they hold. A daemon that missed a change of a record learns of the change in this way.
//
// A round has up to four steps. The initiator sends a digest of its records. The responder replies
// with a summary of the buckets that differ, if any do. The initiator then sends the records that
// are newer on its side and requests those that are newer on the other side. The responder sends
// the requested records.
type antiEntropy struct {
	d *Daemon

	mu    sync.Mutex
	timer gossip.AntiEntropyTimer
}

// String implements fmt.Stringer. The supervisor logs this name.
func (a *antiEntropy) String() string { return "comparer" }

// Serve runs anti-entropy rounds until the context ends.
func (a *antiEntropy) Serve(ctx context.Context) error { return interval.Run(ctx, roundTick, a.tick) }

func (a *antiEntropy) tick() {
	if !a.due() {
		return
	}
	if m, ok := a.d.follower.peerSelector.AntiEntropyPeer(a.d.peers.reachableMembers()); ok {
		a.d.datagrams.sendOneWay(kindDigest, m.Address, a.d.peers.digest().encode())
	}
}

// due reports whether to start a round now. If so, due counts the round in advance as one that
// finds no difference. If the round makes this daemon receive newer records, speedUp resets the
// count.
func (a *antiEntropy) due() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	due := a.timer.Due(a.d.now())
	if due {
		a.timer.RecordAgreement()
	}
	return due
}

// speedUp shortens the interval between rounds. The interval stays short until several rounds in
// a row find no difference. speedUp is called when records have been received that are newer than
// those held, and when a peer is reachable again.
func (a *antiEntropy) speedUp() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timer.Reset()
}

// receiveDigest compares a digest from another daemon with the records held here. It replies
// with a summary of the buckets that differ. The buckets are taken in random order, because the
// summary may not have room for all of them. A digest of the wrong length is ignored, and a digest
// without a difference gets no reply.
func (a *antiEntropy) receiveDigest(sender string, body []byte) {
	if len(body) != digestBuckets*bucketHashBytes {
		return
	}
	records := a.d.peers.records()
	var differingBuckets []int
	for i, bucketHash := range digestOf(records) {
		if bucketHash != binary.BigEndian.Uint32(body[i*bucketHashBytes:]) {
			differingBuckets = append(differingBuckets, i)
		}
	}
	if len(differingBuckets) == 0 {
		return
	}
	rand.Shuffle(len(differingBuckets), func(i, j int) { differingBuckets[i], differingBuckets[j] = differingBuckets[j], differingBuckets[i] })
	a.d.datagrams.sendOneWay(kindSummary, sender, newSummary(records, differingBuckets).encode())
}

// receiveSummary compares a summary from another daemon with the records held here. It sends
// that daemon the records that are newer here, and requests those that are newer there. A
// malformed summary is ignored.
func (a *antiEntropy) receiveSummary(sender string, body []byte) {
	s, ok := decodeSummary(body)
	if !ok {
		return
	}
	newerRecords, wantedHashes := s.diff(a.d.peers.records())
	a.sendRecords(sender, newerRecords)
	if len(wantedHashes) > 0 {
		a.d.datagrams.sendOneWay(kindRecordRequest, sender, encodeRecordRequest(wantedHashes))
	}
}

// sendRequestedRecords sends the records that another daemon requested. The body of the request
// holds the address hashes of these records.
func (a *antiEntropy) sendRequestedRecords(sender string, body []byte) {
	requestedHashes := decodeRecordRequest(body)
	var foundRecords []Record
	for _, r := range a.d.peers.records() {
		if requestedHashes[addressHash(r.Address)] {
			foundRecords = append(foundRecords, r)
		}
	}
	a.sendRecords(sender, foundRecords)
}

// sendRecords sends records to a daemon that lacks them or holds older versions of them.
func (a *antiEntropy) sendRecords(recipient string, records []Record) {
	for _, b := range packRecords(records) {
		a.d.datagrams.sendOneWay(kindMissingRecords, recipient, b)
	}
}

// digest holds one hash for each bucket: the XOR of the hashes of the records in the bucket.
type digest [digestBuckets]uint32

// encode returns the digest as the body of a datagram.
func (d digest) encode() []byte {
	b := make([]byte, 0, digestBuckets*bucketHashBytes)
	for _, bucketHash := range d {
		b = binary.BigEndian.AppendUint32(b, bucketHash)
	}
	return b
}

// bucketOf returns the index of the bucket for the record of the daemon at an address.
func bucketOf(address string) int { return int(xxhash.Sum64String(address) % digestBuckets) }

// addressHash returns the hash that identifies an address in summaries and record requests.
func addressHash(address string) uint32 { return uint32(xxhash.Sum64String(address) >> 32) }

// inDigest reports whether a record takes part in anti-entropy. The record of a stopping daemon
// whose upstream is gone does not, because daemons drop such a record at different times. A
// record with the sequence number 0 does not either: it is a placeholder for a daemon that is
// known, but whose record has not been received.
func (r *Record) inDigest() bool { return r.Sequence > 0 && !(r.Stopping && r.State == lifecycle.Gone) }

// digestHash returns the hash of the address, the incarnation and the sequence number of a
// record. The digest combines these hashes.
func (r *Record) digestHash() uint32 {
	b := append(make([]byte, 0, len(r.Address)+2*binary.MaxVarintLen64), r.Address...)
	b = binary.AppendVarint(b, r.Incarnation)
	return uint32(xxhash.Sum64(binary.AppendUvarint(b, r.Sequence)))
}

// digest returns the digest of all records held, the local record included.
func (p *peers) digest() digest { return digestOf(p.records()) }

func digestOf(records []Record) digest {
	var d digest
	for i := range records {
		if r := &records[i]; r.inDigest() {
			d[bucketOf(r.Address)] ^= r.digestHash()
		}
	}
	return d
}
