package quarantine

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/dottereltiller/dottereltiller/core/quarantine"
)

// Daemons that communicate by datagrams exchange records in the messages below.
// The first byte of each message is its kind. Anti-entropy starts with a digest
// of the whole table. A receiver with another digest replies with summaries.
// Each summary covers a span of fingerprints: it holds the first and the last
// one, and a hash of each record in between. The receiver of a summary sends
// the records that the sender lacks, and requests those that it lacks itself.
// So the traffic is proportional to the difference of the tables. The values of
// the kinds are part of the wire format and must not change; not all of them are
// initials of the names.
const (
	kindDigest        = 'o'
	kindInSync        = 'a'
	kindSummary       = 's'
	kindRecordRequest = 'w'
	kindRecords       = 'r'
)

const (
	digestBytes = 8
	// prefixBytes is the length of the prefix by which summaries and record
	// requests identify a fingerprint.
	prefixBytes       = 8
	summaryEntryBytes = prefixBytes + 4
	// maxRecordMessages bounds the messages with records sent in reply to one
	// message. The remaining records follow in later rounds.
	maxRecordMessages = 4
)

// fingerprintPrefix is the first prefixBytes of a fingerprint.
type fingerprintPrefix [prefixBytes]byte

func prefixOf(f quarantine.Fingerprint) fingerprintPrefix { return fingerprintPrefix(f[:prefixBytes]) }

// DigestMessage returns the message that starts anti-entropy with another
// daemon: the checksum of the whole table.
func (s *Store) DigestMessage() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return binary.BigEndian.AppendUint64([]byte{kindDigest}, s.checksum())
}

// NextPush returns a message of at most limit bytes with changed records, the
// most important first, and marks these records as sent. It returns nil if
// nothing has changed. newCrash reports whether an upstream has crashed at this
// daemon since the last push.
func (s *Store) NextPush(limit int) (message []byte, newCrash bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.table.Unsent()
	message, n := appendRecords([]byte{kindRecords}, changed, limit)
	for _, r := range changed[:n] {
		s.table.MarkSent(r.Fingerprint)
	}
	if n == 0 {
		return nil, false
	}
	newCrash, s.newCrash = s.newCrash, false
	return message, newCrash
}

// Receive handles a message and returns the replies, each of at most limit
// bytes. inSync reports whether the message says that both tables are equal.
func (s *Store) Receive(message []byte, limit int) (replies [][]byte, inSync bool) {
	if len(message) == 0 {
		return nil, false
	}
	kind, body := message[0], message[1:]
	switch kind {
	case kindDigest:
		return s.handleDigest(body, limit), false
	case kindSummary:
		return s.handleSummary(body, limit), false
	case kindRecordRequest:
		return s.handleRecordRequest(body, limit), false
	case kindRecords:
		// The error is dropped because Apply counts records that it cannot decode.
		_ = s.Apply(body)
	case kindInSync:
		return nil, true
	}
	return nil, false
}

// handleDigest replies with summaries, or with the message that the tables are
// equal.
func (s *Store) handleDigest(digest []byte, limit int) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(digest) != digestBytes {
		return nil
	}
	if binary.BigEndian.Uint64(digest) == s.checksum() {
		return [][]byte{{kindInSync}}
	}
	return s.summaries(limit)
}

// summaries returns summaries that together cover the whole table. s.mu is
// held.
func (s *Store) summaries(limit int) [][]byte {
	records := s.ordered()
	capacity := (limit - 1 - 2*prefixBytes) / summaryEntryBytes
	var out [][]byte
	var from fingerprintPrefix
	for {
		n := min(capacity, len(records))
		to := fingerprintPrefix(bytes.Repeat([]byte{0xff}, prefixBytes))
		if n < len(records) {
			to = prefixOf(records[n-1].Fingerprint)
		}
		m := append(append([]byte{kindSummary}, from[:]...), to[:]...)
		for i := range records[:n] {
			m = appendSummaryEntry(m, &records[i])
		}
		out = append(out, m)
		if records = records[n:]; len(records) == 0 {
			return out
		}
		from = prefixOf(records[0].Fingerprint)
	}
}

func appendSummaryEntry(m []byte, r *quarantine.Record) []byte {
	p := prefixOf(r.Fingerprint)
	return binary.BigEndian.AppendUint32(append(m, p[:]...), uint32(r.Sum()))
}

// ordered returns the records ordered by fingerprint. s.mu is held.
func (s *Store) ordered() []quarantine.Record {
	records := s.table.List()
	slices.SortFunc(records, func(a, b quarantine.Record) int {
		return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return records
}

// handleSummary returns the records that the sender of a summary lacks or has
// with another hash, and a request for those that this daemon lacks or has with
// another hash.
func (s *Store) handleSummary(body []byte, limit int) [][]byte {
	if len(body) < 2*prefixBytes || (len(body)-2*prefixBytes)%summaryEntryBytes != 0 {
		return nil
	}
	from, to := fingerprintPrefix(body[:prefixBytes]), fingerprintPrefix(body[prefixBytes:])
	peerSums := make(map[fingerprintPrefix]uint32)
	for e := range slices.Chunk(body[2*prefixBytes:], summaryEntryBytes) {
		peerSums[fingerprintPrefix(e)] = binary.BigEndian.Uint32(e[prefixBytes:])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var missingAtPeer []quarantine.Record
	for _, r := range s.table.List() {
		p := prefixOf(r.Fingerprint)
		if bytes.Compare(p[:], from[:]) < 0 || bytes.Compare(p[:], to[:]) > 0 {
			continue
		}
		if sum, ok := peerSums[p]; !ok || sum != uint32(r.Sum()) {
			missingAtPeer = append(missingAtPeer, r)
		} else {
			delete(peerSums, p)
		}
	}
	out := recordMessages(missingAtPeer, limit)
	if request := recordRequest(peerSums, limit); request != nil {
		out = append(out, request)
	}
	return out
}

// recordRequest returns a request for the records with the given fingerprint
// prefixes, or nil if there are none.
func recordRequest(wanted map[fingerprintPrefix]uint32, limit int) []byte {
	if len(wanted) == 0 {
		return nil
	}
	m := []byte{kindRecordRequest}
	for p := range wanted {
		if len(m)+prefixBytes > limit {
			break
		}
		m = append(m, p[:]...)
	}
	return m
}

// handleRecordRequest returns the requested records.
func (s *Store) handleRecordRequest(body []byte, limit int) [][]byte {
	if len(body)%prefixBytes != 0 {
		return nil
	}
	wanted := make(map[fingerprintPrefix]bool)
	for p := range slices.Chunk(body, prefixBytes) {
		wanted[fingerprintPrefix(p)] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	records := slices.DeleteFunc(s.table.List(), func(r quarantine.Record) bool { return !wanted[prefixOf(r.Fingerprint)] })
	return recordMessages(records, limit)
}

// recordMessages splits records into at most maxRecordMessages messages.
func recordMessages(records []quarantine.Record, limit int) [][]byte {
	var out [][]byte
	for len(records) > 0 && len(out) < maxRecordMessages {
		m, n := appendRecords([]byte{kindRecords}, records, limit)
		if n == 0 {
			break
		}
		out = append(out, m)
		records = records[n:]
	}
	return out
}

// appendRecords appends as many records as fit into limit, and returns their
// number.
func appendRecords(m []byte, records []quarantine.Record, limit int) ([]byte, int) {
	for i := range records {
		extended := records[i].Append(m)
		if len(extended) > limit {
			return m, i
		}
		m = extended
	}
	return m, len(records)
}
