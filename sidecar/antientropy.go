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
	// digestBuckets is the number of buckets into which a digest divides the records, by a
	// hash of the daemon's address. bucketHashBytes is the encoded size of the hash of one
	// bucket.
	digestBuckets   = 32
	bucketHashBytes = 4
	// antiEntropyTick is how often a daemon checks whether the next comparison is due.
	antiEntropyTick = 500 * time.Millisecond
)

// comparer runs the anti-entropy protocol: it compares the records held here with those of
// one other daemon at a time, so that a daemon that missed a change still learns of it. The
// initiator sends a digest, the responder answers with a summary of the buckets that differ,
// and the initiator then sends the records that are newer on its side and requests those that
// are newer on the other.
type comparer struct {
	d *Daemon

	mu   sync.Mutex
	pace gossip.Pace
}

// String implements fmt.Stringer. The supervisor logs this name.
func (c *comparer) String() string { return "comparer" }

// Serve runs comparisons until the context ends.
func (c *comparer) Serve(ctx context.Context) error {
	return interval.Run(ctx, antiEntropyTick, c.tick)
}

func (c *comparer) tick() {
	if !c.due() {
		return
	}
	if m, ok := c.d.follower.targets.Partner(c.d.peers.members()); ok {
		c.d.datagrams.sendOneWay(kindCompare, m.Address, c.d.peers.digest().encode())
	}
}

// due reports whether to start a comparison now. It counts the comparison as one without a
// difference; received records that are new here reset that count.
func (c *comparer) due() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := c.pace.Due(c.d.now())
	if due {
		c.pace.Agreed()
	}
	return due
}

// wake shortens the interval between comparisons until several in a row find no difference.
func (c *comparer) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pace.Changed()
}

// receive handles a digest from another daemon. It answers with a summary of the buckets that
// differ.
func (c *comparer) receive(from string, body []byte) {
	if len(body) != digestBuckets*bucketHashBytes {
		return
	}
	records := c.d.peers.known()
	var differing []int
	for i, sum := range digestOf(records) {
		if sum != binary.BigEndian.Uint32(body[i*bucketHashBytes:]) {
			differing = append(differing, i)
		}
	}
	if len(differing) == 0 {
		return
	}
	rand.Shuffle(len(differing), func(i, j int) { differing[i], differing[j] = differing[j], differing[i] })
	c.d.datagrams.sendOneWay(kindSummary, from, summaryOf(records, differing).encode())
}

// resolve handles a summary from another daemon. It sends the records that are newer here and
// requests those that are newer there.
func (c *comparer) resolve(from string, body []byte) {
	s, ok := decodeSummary(body)
	if !ok {
		return
	}
	newer, wanted := s.diff(c.d.peers.known())
	c.sendRecords(from, newer)
	if len(wanted) > 0 {
		c.d.datagrams.sendOneWay(kindWish, from, encodeWishes(wanted))
	}
}

// grant sends the records that another daemon requested.
func (c *comparer) grant(from string, body []byte) {
	requested := decodeRecordRequest(body)
	var found []Record
	for _, r := range c.d.peers.known() {
		if requested[hashOf(r.Address)] {
			found = append(found, r)
		}
	}
	c.sendRecords(from, found)
}

func (c *comparer) sendRecords(to string, records []Record) {
	for _, b := range packRecords(records) {
		c.d.datagrams.sendOneWay(kindCompared, to, b)
	}
}

// digest holds one hash for each bucket, taken over the records in it.
type digest [digestBuckets]uint32

func (d digest) encode() []byte {
	b := make([]byte, 0, digestBuckets*bucketHashBytes)
	for _, sum := range d {
		b = binary.BigEndian.AppendUint32(b, sum)
	}
	return b
}

func bucketOf(address string) int { return int(xxhash.Sum64String(address) % digestBuckets) }

// hashOf returns the hash that identifies an address in summaries and record requests.
func hashOf(address string) uint32 { return uint32(xxhash.Sum64String(address) >> 32) }

// inDigest reports whether a record takes part in comparisons. Records of daemons that are
// gone for good do not: each daemon drops them at another time.
func (r *Record) inDigest() bool { return r.Sequence > 0 && !(r.Stopping && r.State == lifecycle.Gone) }

func (r *Record) digestHash() uint32 {
	b := append(make([]byte, 0, len(r.Address)+2*binary.MaxVarintLen64), r.Address...)
	b = binary.AppendVarint(b, r.Incarnation)
	return uint32(xxhash.Sum64(binary.AppendUvarint(b, r.Sequence)))
}

// digest returns the digest of all records held, the local record included.
func (p *peers) digest() digest { return digestOf(p.known()) }

func digestOf(records []Record) digest {
	var d digest
	for i := range records {
		if r := &records[i]; r.inDigest() {
			d[bucketOf(r.Address)] ^= r.digestHash()
		}
	}
	return d
}
