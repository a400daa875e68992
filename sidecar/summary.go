package sidecar

import "encoding/binary"

const (
	// entryBytes is the length of an entry of a summary, and wishBytes that of a wish.
	entryBytes = 4 + 8 + 8
	wishBytes  = 4
	// maxEntries and maxWishes fit a datagram.
	maxEntries = (datagramRoom - bucketBytes) / entryBytes
	maxWishes  = datagramRoom / wishBytes
)

// summary tells which records a daemon has in some of the buckets.
type summary struct {
	// covered has a bit for each bucket.
	covered uint32
	entries map[uint32]stamp
}

// stamp tells how new a record is.
type stamp struct {
	incarnation int64
	sequence    uint64
}

func stampOf(r *Record) stamp { return stamp{r.Incarnation, r.Sequence} }

// newer reports whether a record of this stamp wins over one of another.
func (s stamp) newer(old stamp) bool {
	if s.incarnation != old.incarnation {
		return s.incarnation > old.incarnation
	}
	return s.sequence > old.sequence
}

// summaryOf returns a summary of as many of the wanted buckets as fit a datagram, at least
// of the first. A bucket that is too large for one is cut, which costs records that the
// other daemon has.
func summaryOf(records []Record, wanted []int) *summary {
	of := make(map[int][]*Record)
	for i := range records {
		if r := &records[i]; r.compared() {
			bucket := bucketOf(r.Address)
			of[bucket] = append(of[bucket], r)
		}
	}
	s := &summary{entries: make(map[uint32]stamp)}
	for _, bucket := range wanted {
		if s.covered != 0 && len(s.entries)+len(of[bucket]) > maxEntries {
			continue
		}
		s.covered |= 1 << bucket
		for _, r := range of[bucket] {
			if len(s.entries) < maxEntries {
				s.entries[hashOf(r.Address)] = stampOf(r)
			}
		}
	}
	return s
}

// against compares own records with a summary. It returns the records that are newer here
// or missing there, and the hashes of those that are newer there or missing here.
func (s *summary) against(records []Record) (newer []Record, wishes []uint32) {
	own := make(map[uint32]stamp, len(s.entries))
	for i := range records {
		r := &records[i]
		if !r.compared() || s.covered&(1<<bucketOf(r.Address)) == 0 {
			continue
		}
		hash := hashOf(r.Address)
		own[hash] = stampOf(r)
		if theirs, ok := s.entries[hash]; !ok || stampOf(r).newer(theirs) {
			newer = append(newer, *r)
		}
	}
	for hash, theirs := range s.entries {
		if held, ok := own[hash]; !ok || theirs.newer(held) {
			wishes = append(wishes, hash)
		}
	}
	return newer, wishes
}

func (s *summary) encode() []byte {
	b := make([]byte, 0, bucketBytes+len(s.entries)*entryBytes)
	b = binary.BigEndian.AppendUint32(b, s.covered)
	for hash, at := range s.entries {
		b = binary.BigEndian.AppendUint32(b, hash)
		b = binary.BigEndian.AppendUint64(b, uint64(at.incarnation))
		b = binary.BigEndian.AppendUint64(b, at.sequence)
	}
	return b
}

func decodeSummary(b []byte) (*summary, bool) {
	if len(b) < bucketBytes || (len(b)-bucketBytes)%entryBytes != 0 {
		return nil, false
	}
	s := &summary{covered: binary.BigEndian.Uint32(b), entries: make(map[uint32]stamp)}
	for b = b[bucketBytes:]; len(b) > 0; b = b[entryBytes:] {
		s.entries[binary.BigEndian.Uint32(b)] = stamp{
			incarnation: int64(binary.BigEndian.Uint64(b[4:])),
			sequence:    binary.BigEndian.Uint64(b[12:]),
		}
	}
	return s, true
}

func encodeWishes(hashes []uint32) []byte {
	hashes = hashes[:min(len(hashes), maxWishes)]
	b := make([]byte, 0, len(hashes)*wishBytes)
	for _, hash := range hashes {
		b = binary.BigEndian.AppendUint32(b, hash)
	}
	return b
}

func decodeWishes(b []byte) map[uint32]bool {
	out := make(map[uint32]bool)
	for ; len(b) >= wishBytes; b = b[wishBytes:] {
		out[binary.BigEndian.Uint32(b)] = true
	}
	return out
}
