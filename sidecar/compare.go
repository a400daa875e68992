package sidecar

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/core/gossip"
	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/interval"
)

const (
	// buckets is how many parts the records of all daemons are compared in, by a hash of
	// the address, and bucketBytes the length of a part's hash.
	buckets     = 32
	bucketBytes = 4
	// maxBuckets bounds the parts whose records one comparison brings.
	maxBuckets = 4
	// compareTick is how often a daemon looks whether to compare.
	compareTick = 500 * time.Millisecond
)

// The first byte of a comparison tells whether it begins one or answers.
const (
	compareOpens   = 0
	compareAnswers = 1
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
func (c *comparer) Serve(ctx context.Context) error { return interval.Run(ctx, compareTick, c.tick) }

func (c *comparer) tick() {
	if !c.due() {
		return
	}
	if m, ok := c.d.follower.targets.Partner(c.d.peers.members()); ok {
		c.send(m.Address, compareOpens, c.d.peers.digest())
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

func (c *comparer) send(address string, step byte, d digest) {
	body := append(make([]byte, 0, 1+buckets*bucketBytes), step)
	for _, sum := range d {
		body = binary.BigEndian.AppendUint32(body, sum)
	}
	c.d.datagrams.notify(kindCompare, address, body)
}

// receive takes in a comparison and sends the records of parts that differ. Who began it
// sends its own after the answer.
func (c *comparer) receive(from string, body []byte) {
	if len(body) != 1+buckets*bucketBytes {
		return
	}
	records := c.d.peers.known()
	own := digestOf(records)
	var differ []int
	for i, sum := range own {
		if sum != binary.BigEndian.Uint32(body[1+i*bucketBytes:]) {
			differ = append(differ, i)
		}
	}
	if len(differ) == 0 {
		return
	}
	if body[0] == compareOpens {
		c.send(from, compareAnswers, own)
	}
	rand.Shuffle(len(differ), func(i, j int) { differ[i], differ[j] = differ[j], differ[i] })
	differ = differ[:min(len(differ), maxBuckets)]
	for _, b := range packRecords(inBuckets(records, differ)) {
		c.d.datagrams.notify(kindRecords, from, b)
	}
}

// digest has a hash of the records of each part.
type digest [buckets]uint32

func bucketOf(address string) int { return int(xxhash.Sum64String(address) % buckets) }

// compared reports whether a record is compared: those of daemons that are gone for good
// are dropped at different times.
func (r *Record) compared() bool { return r.Sequence > 0 && !(r.Stopping && r.State == lifecycle.Gone) }

func (r *Record) sum() uint32 {
	b := append(make([]byte, 0, len(r.Address)+2*binary.MaxVarintLen64), r.Address...)
	b = binary.AppendVarint(b, r.Incarnation)
	return uint32(xxhash.Sum64(binary.AppendUvarint(b, r.Sequence)))
}

// digest describes all records, the own one among them.
func (p *peers) digest() digest { return digestOf(p.known()) }

func digestOf(records []Record) digest {
	var d digest
	for i := range records {
		if r := &records[i]; r.compared() {
			d[bucketOf(r.Address)] ^= r.sum()
		}
	}
	return d
}

// inBuckets returns the records of some parts.
func inBuckets(records []Record, wanted []int) []Record {
	var out []Record
	for i := range records {
		if r := &records[i]; r.compared() && slices.Contains(wanted, bucketOf(r.Address)) {
			out = append(out, *r)
		}
	}
	return out
}
