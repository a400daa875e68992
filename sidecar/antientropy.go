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
	// buckets is how many the records of all daemons are compared in, by a hash of the
	// address, and bucketBytes the length of a bucket's hash.
	digestBuckets   = 32
	bucketHashBytes = 4
	// compareTick is how often a daemon looks whether to compare.
	antiEntropyTick = 500 * time.Millisecond
)

// comparer compares the records of all daemons with one other at a time, so that whoever
// has missed a change learns of it. It is a part of the daemon.
type comparer struct {
	d *Daemon

	mu   sync.Mutex
	pace gossip.Pace
}

// String names the part.
func (c *comparer) String() string { return "comparer" }

// Serve compares until the context ends.
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

// due reports whether to compare now. Each comparison counts as agreement until records
// come that are news.
func (c *comparer) due() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := c.pace.Due(c.d.now())
	if due {
		c.pace.Agreed()
	}
	return due
}

// wake has the daemon compare more often for a while.
func (c *comparer) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pace.Changed()
}

// receive takes in the digest of another daemon, and tells it what records there are in
// buckets that differ.
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

// resolve takes in what records another daemon has, sends those that are newer here, and
// wishes for those that are newer there.
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

// grant sends the records that another daemon wishes for.
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

// digest has a hash of the records of each bucket.
type digest [digestBuckets]uint32

func (d digest) encode() []byte {
	b := make([]byte, 0, digestBuckets*bucketHashBytes)
	for _, sum := range d {
		b = binary.BigEndian.AppendUint32(b, sum)
	}
	return b
}

func bucketOf(address string) int { return int(xxhash.Sum64String(address) % digestBuckets) }

// hashOf stands for an address in summaries and wishes.
func hashOf(address string) uint32 { return uint32(xxhash.Sum64String(address) >> 32) }

// compared reports whether a record is compared: those of daemons that are gone for good
// are dropped at different times.
func (r *Record) inDigest() bool { return r.Sequence > 0 && !(r.Stopping && r.State == lifecycle.Gone) }

func (r *Record) digestHash() uint32 {
	b := append(make([]byte, 0, len(r.Address)+2*binary.MaxVarintLen64), r.Address...)
	b = binary.AppendVarint(b, r.Incarnation)
	return uint32(xxhash.Sum64(binary.AppendUvarint(b, r.Sequence)))
}

// digest describes all records, the own one among them.
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
