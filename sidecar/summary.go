package sidecar

import "encoding/binary"

const (
	// entryBytes is the length of an entry of a summary, and wishBytes that of a wish.
	summaryEntryBytes = 4 + 8 + 8
	addressHashBytes  = 4
	// maxEntries and maxWishes fit a datagram.
	maxSummaryEntries  = (maxDatagramBody - bucketHashBytes) / summaryEntryBytes
	maxRequestedHashes = maxDatagramBody / addressHashBytes
)

// summary tells which records a daemon has in some of the buckets.
type summary struct {
	// covered has a bit for each bucket.
	bucketSet uint32
	entries   map[uint32]recordVersion
}

// stamp tells how new a record is.
type recordVersion struct {
	incarnation int64
	sequence    uint64
}

func recordVersionOf(r *Record) recordVersion { return recordVersion{r.Incarnation, r.Sequence} }

// newer reports whether a record of this stamp wins over one of another.
func (s recordVersion) supersedes(old recordVersion) bool {
	if s.incarnation != old.incarnation {
		return s.incarnation > old.incarnation
	}
	return s.sequence > old.sequence
}

// summaryOf returns a summary of as many of the wanted buckets as fit a datagram, at least
// of the first. A bucket that is too large for one is cut, which costs records that the
// other daemon has.
func summaryOf(records []Record, wanted []int) *summary {
	byBucket := make(map[int][]*Record)
	for i := range records {
		if r := &records[i]; r.inDigest() {
			bucket := bucketOf(r.Address)
			byBucket[bucket] = append(byBucket[bucket], r)
		}
	}
	s := &summary{entries: make(map[uint32]recordVersion)}
	for _, bucket := range wanted {
		if s.bucketSet != 0 && len(s.entries)+len(byBucket[bucket]) > maxSummaryEntries {
			continue
		}
		s.bucketSet |= 1 << bucket
		for _, r := range byBucket[bucket] {
			if len(s.entries) < maxSummaryEntries {
				s.entries[hashOf(r.Address)] = recordVersionOf(r)
			}
		}
	}
	return s
}

// against compares own records with a summary. It returns the records that are newer here
// or missing there, and the hashes of those that are newer there or missing here.
func (s *summary) diff(records []Record) (newer []Record, wanted []uint32) {
	ours := make(map[uint32]recordVersion, len(s.entries))
	for i := range records {
		r := &records[i]
		if !r.inDigest() || s.bucketSet&(1<<bucketOf(r.Address)) == 0 {
			continue
		}
		hash := hashOf(r.Address)
		ours[hash] = recordVersionOf(r)
		if theirs, ok := s.entries[hash]; !ok || recordVersionOf(r).supersedes(theirs) {
			newer = append(newer, *r)
		}
	}
	for hash, theirs := range s.entries {
		if known, ok := ours[hash]; !ok || theirs.supersedes(known) {
			wanted = append(wanted, hash)
		}
	}
	return newer, wanted
}

func (s *summary) encode() []byte {
	b := make([]byte, 0, bucketHashBytes+len(s.entries)*summaryEntryBytes)
	b = binary.BigEndian.AppendUint32(b, s.bucketSet)
	for hash, version := range s.entries {
		b = binary.BigEndian.AppendUint32(b, hash)
		b = binary.BigEndian.AppendUint64(b, uint64(version.incarnation))
		b = binary.BigEndian.AppendUint64(b, version.sequence)
	}
	return b
}

func decodeSummary(b []byte) (*summary, bool) {
	if len(b) < bucketHashBytes || (len(b)-bucketHashBytes)%summaryEntryBytes != 0 {
		return nil, false
	}
	s := &summary{bucketSet: binary.BigEndian.Uint32(b), entries: make(map[uint32]recordVersion)}
	for b = b[bucketHashBytes:]; len(b) > 0; b = b[summaryEntryBytes:] {
		s.entries[binary.BigEndian.Uint32(b)] = recordVersion{
			incarnation: int64(binary.BigEndian.Uint64(b[4:])),
			sequence:    binary.BigEndian.Uint64(b[12:]),
		}
	}
	return s, true
}

func encodeWishes(hashes []uint32) []byte {
	hashes = hashes[:min(len(hashes), maxRequestedHashes)]
	b := make([]byte, 0, len(hashes)*addressHashBytes)
	for _, hash := range hashes {
		b = binary.BigEndian.AppendUint32(b, hash)
	}
	return b
}

func decodeRecordRequest(b []byte) map[uint32]bool {
	out := make(map[uint32]bool)
	for ; len(b) >= addressHashBytes; b = b[addressHashBytes:] {
		out[binary.BigEndian.Uint32(b)] = true
	}
	return out
}
