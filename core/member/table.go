package member

import (
	"encoding/binary"
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of hash buckets of a table.
const bucketCount = 32

// table is a map of records that maintains a hash of each bucket of records. The
// hash of a bucket is the XOR of the hashes of its records.
type table[K ~string, V any] struct {
	rows map[K]row[V]
	// hashOf returns the hash of a record.
	hashOf func(V) uint64
	// bucketHashes holds the hash of each bucket.
	bucketHashes [bucketCount]uint64
	// seq is the number of calls to set so far.
	seq uint64
}

// row is a record together with the number of the call to set that stored it.
type row[V any] struct {
	record V
	seq    uint64
}

func newTable[K ~string, V any](hashOf func(V) uint64) table[K, V] {
	return table[K, V]{rows: make(map[K]row[V]), hashOf: hashOf}
}

func bucketOf[K ~string](k K) int { return int(xxhash.Sum64String(string(k)) % bucketCount) }

func (t *table[K, V]) len() int { return len(t.rows) }

func (t *table[K, V]) get(k K) (V, bool) {
	r, ok := t.rows[k]
	return r.record, ok
}

func (t *table[K, V]) set(k K, v V) {
	t.remove(k)
	t.seq++
	t.rows[k] = row[V]{record: v, seq: t.seq}
	t.bucketHashes[bucketOf(k)] ^= t.hashOf(v)
}

func (t *table[K, V]) remove(k K) {
	if old, ok := t.rows[k]; ok {
		t.bucketHashes[bucketOf(k)] ^= t.hashOf(old.record)
		delete(t.rows, k)
	}
}

// all iterates over the records in unspecified order. Records may be set and
// removed during the iteration.
func (t *table[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for k, r := range t.rows {
			if !yield(k, r.record) {
				return
			}
		}
	}
}

// appendDigest appends the bucket hashes to b.
func (t *table[K, V]) appendDigest(b []byte) []byte {
	for _, h := range t.bucketHashes {
		b = binary.BigEndian.AppendUint64(b, h)
	}
	return b
}

// tableDigestSize is the length of a table's digest in bytes.
const tableDigestSize = bucketCount * 8

// differing returns the records of all buckets whose hash differs from the
// digest, the newest first.
func (t *table[K, V]) differing(digest []byte) []V {
	var bucketDiffers [bucketCount]bool
	for i, h := range t.bucketHashes {
		bucketDiffers[i] = binary.BigEndian.Uint64(digest[i*8:]) != h
	}
	var rows []row[V]
	for k, r := range t.rows {
		if bucketDiffers[bucketOf(k)] {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row[V]) int { return int(int64(b.seq) - int64(a.seq)) })
	out := make([]V, len(rows))
	for i, r := range rows {
		out[i] = r.record
	}
	return out
}

// eventHash returns a hash of the upstream's ID and of the fields that determine the
// precedence of the event.
func eventHash(e Event) uint64 {
	u := e.Upstream
	b := make([]byte, 0, 64)
	b = append(b, u.ID...)
	b = binary.BigEndian.AppendUint64(b, uint64(u.Incarnation))
	b = binary.BigEndian.AppendUint64(b, e.Epoch)
	return xxhash.Sum64(append(b, byte(e.State)))
}

// livenessHash returns a hash of a liveness record.
func livenessHash(l Liveness) uint64 {
	b := make([]byte, 0, 64)
	b = append(b, l.Daemon...)
	b = binary.BigEndian.AppendUint64(b, uint64(l.Incarnation))
	return xxhash.Sum64(append(b, byte(l.Health)))
}
