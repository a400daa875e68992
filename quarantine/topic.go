package quarantine

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/dottereltiller/dottereltiller/core/quarantine"
	"github.com/dottereltiller/dottereltiller/peer"
)

var _ peer.Topic = (*Store)(nil)

// Name implements peer.Topic.
func (*Store) Name() string { return "quarantine" }

// Digest implements peer.Topic. It returns the checksum of the table, or nil while the
// table is empty.
func (s *Store) Digest() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Len() == 0 {
		return nil
	}
	return binary.BigEndian.AppendUint64(nil, s.checksum())
}

// checksum returns the XOR of the hashes of all records. Tables with the same
// records have the same checksum. An empty table has the checksum zero. s.mu is held.
func (s *Store) checksum() uint64 {
	if v := s.table.Version(); s.checksumVersion != v {
		s.checksumVersion, s.cachedChecksum = v, 0
		for _, r := range s.table.List() {
			s.cachedChecksum ^= r.Sum()
		}
	}
	return s.cachedChecksum
}

// Delta implements peer.Topic. If the peer's digest differs from the digest of this
// daemon, Delta returns records in at most limit bytes, the most recently updated first.
// If not all records fit, the next call starts with the first record left out and wraps
// around. Delta returns nil if the digests are equal or the table is empty.
func (s *Store) Delta(digest []byte, limit int) []byte {
	if bytes.Equal(digest, s.Digest()) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.table.List()
	if len(records) == 0 {
		return nil
	}
	start := s.deltaStart % len(records)
	out, n := appendRecords(nil, slices.Concat(records[start:], records[:start]), limit)
	s.deltaStart = (start + n) % len(records)
	return out
}

// Apply implements peer.Topic. It merges the records of a delta into the table. If the
// delta cannot be decoded, Apply returns an error and changes nothing.
func (s *Store) Apply(delta []byte) error {
	records, err := quarantine.Decode(delta)
	if err != nil {
		s.unreadableDeltas.Inc(1)
		return err
	}
	s.update(func(now int64) {
		for _, r := range records {
			s.table.Merge(now, r)
		}
	})
	return nil
}
