package sidecar

import "encoding/binary"

const (
	// summaryEntryBytes is the encoded size of an entry of a summary: an address hash, an
	// incarnation and a sequence number.
	summaryEntryBytes = 4 + 8 + 8
	// addressHashBytes is the encoded size of an address hash in a record request.
	addressHashBytes = 4
	// maxSummaryEntries is how many entries of a summary fit one datagram.
	maxSummaryEntries = (maxDatagramBody - bucketHashBytes) / summaryEntryBytes
	// maxRequestedHashes is how many address hashes of a record request fit one datagram.
	maxRequestedHashes = maxDatagramBody / addressHashBytes
)

// summary states the versions of the records that a daemon holds in some of the buckets of a
// digest.
type summary struct {
	// bucketSet has a bit for each bucket. The bit is set if the summary covers the bucket.
	bucketSet uint32
	// versionsByHash holds the versions of the records, by the hash of the daemon's address.
	versionsByHash map[uint32]recordVersion
}

// recordVersion is the version of a record. It orders the records of one daemon.
type recordVersion struct {
	incarnation int64
	sequence    uint64
}

func recordVersionOf(r *Record) recordVersion { return recordVersion{r.Incarnation, r.Sequence} }

// supersedes reports whether a record of version v replaces one of version old.
func (v recordVersion) supersedes(old recordVersion) bool {
	if v.incarnation != old.incarnation {
		return v.incarnation > old.incarnation
	}
	return v.sequence > old.sequence
}

// newSummary returns a summary of those records that are in the wanted buckets. It covers as many
// of these buckets as fit a datagram, in the given order. The first bucket is always covered. If
// it alone is too large for a datagram, some of its entries are left out. The receiver then sends
// the records of these entries, although this daemon already has them.
func newSummary(records []Record, wantedBuckets []int) *summary {
	recordsByBucket := make(map[int][]*Record)
	for i := range records {
		if r := &records[i]; r.inDigest() {
			bucket := bucketOf(r.Address)
			recordsByBucket[bucket] = append(recordsByBucket[bucket], r)
		}
	}
	s := &summary{versionsByHash: make(map[uint32]recordVersion)}
	for _, bucket := range wantedBuckets {
		if s.bucketSet != 0 && len(s.versionsByHash)+len(recordsByBucket[bucket]) > maxSummaryEntries {
			continue
		}
		s.bucketSet |= 1 << bucket
		for _, r := range recordsByBucket[bucket] {
			if len(s.versionsByHash) < maxSummaryEntries {
				s.versionsByHash[addressHash(r.Address)] = recordVersionOf(r)
			}
		}
	}
	return s
}

// diff compares a summary from another daemon with the records held here, in the buckets that the
// summary covers. It returns the records that are newer here or missing there. It also returns the
// address hashes of the records that are newer there or missing here.
func (s *summary) diff(records []Record) (newerRecords []Record, wantedHashes []uint32) {
	localVersions := make(map[uint32]recordVersion, len(s.versionsByHash))
	for i := range records {
		r := &records[i]
		if !r.inDigest() || s.bucketSet&(1<<bucketOf(r.Address)) == 0 {
			continue
		}
		hash := addressHash(r.Address)
		localVersions[hash] = recordVersionOf(r)
		if remoteVersion, ok := s.versionsByHash[hash]; !ok || recordVersionOf(r).supersedes(remoteVersion) {
			newerRecords = append(newerRecords, *r)
		}
	}
	for hash, remoteVersion := range s.versionsByHash {
		if localVersion, ok := localVersions[hash]; !ok || remoteVersion.supersedes(localVersion) {
			wantedHashes = append(wantedHashes, hash)
		}
	}
	return newerRecords, wantedHashes
}

// encode returns the summary as the body of a datagram: bucketSet, followed by the entries.
func (s *summary) encode() []byte {
	b := make([]byte, 0, bucketHashBytes+len(s.versionsByHash)*summaryEntryBytes)
	b = binary.BigEndian.AppendUint32(b, s.bucketSet)
	for hash, version := range s.versionsByHash {
		b = binary.BigEndian.AppendUint32(b, hash)
		b = binary.BigEndian.AppendUint64(b, uint64(version.incarnation))
		b = binary.BigEndian.AppendUint64(b, version.sequence)
	}
	return b
}

// decodeSummary decodes what summary.encode returned. It returns false if the length is not that of
// a bucket set and whole entries.
func decodeSummary(b []byte) (*summary, bool) {
	if len(b) < bucketHashBytes || (len(b)-bucketHashBytes)%summaryEntryBytes != 0 {
		return nil, false
	}
	s := &summary{bucketSet: binary.BigEndian.Uint32(b), versionsByHash: make(map[uint32]recordVersion)}
	for b = b[bucketHashBytes:]; len(b) > 0; b = b[summaryEntryBytes:] {
		s.versionsByHash[binary.BigEndian.Uint32(b)] = recordVersion{
			incarnation: int64(binary.BigEndian.Uint64(b[4:])),
			sequence:    binary.BigEndian.Uint64(b[12:]),
		}
	}
	return s, true
}

// encodeRecordRequest encodes a request for the records with the given address hashes. It leaves
// out the hashes that no longer fit the datagram.
func encodeRecordRequest(hashes []uint32) []byte {
	hashes = hashes[:min(len(hashes), maxRequestedHashes)]
	b := make([]byte, 0, len(hashes)*addressHashBytes)
	for _, hash := range hashes {
		b = binary.BigEndian.AppendUint32(b, hash)
	}
	return b
}

// decodeRecordRequest returns the set of requested address hashes. An incomplete hash at the end is
// ignored.
func decodeRecordRequest(b []byte) map[uint32]bool {
	out := make(map[uint32]bool)
	for ; len(b) >= addressHashBytes; b = b[addressHashBytes:] {
		out[binary.BigEndian.Uint32(b)] = true
	}
	return out
}
