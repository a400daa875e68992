package quarantine

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/dottereltiller/dottereltiller/core/quarantine"
)

// The kinds of messages between daemons that communicate by datagrams. The first
// byte of each message is its kind. The values are part of the wire format and
// must not change. Not every value is the initial of its name.
//
// Anti-entropy, the comparison of two daemons' tables, starts with a digest message,
// which holds the checksum of the sender's table. If the receiver's table has another
// checksum, the receiver replies with summaries of its table. The receiver of a summary
// sends the records that the sender of the summary lacks, and requests the records that
// it lacks itself. So only records that differ are sent.
const (
	// kindDigest is a message with the checksum of the sender's whole table.
	kindDigest = 'o'
	// kindInSync is the reply that both tables have the same checksum.
	kindInSync = 'a'
	// kindSummary is a message that describes the records in one range of
	// fingerprints. It holds the prefixes of the first and the last fingerprint
	// of the range, then the fingerprint prefix and the hash of each record.
	kindSummary = 's'
	// kindRecordRequest is a message with the fingerprint prefixes of the
	// records that the sender requests.
	kindRecordRequest = 'w'
	// kindRecords is a message with encoded records.
	kindRecords = 'r'
)

const (
	// digestBytes is the length of the body of a digest message.
	digestBytes = 8
	// prefixBytes is the length of the prefix by which summaries and record
	// requests identify a fingerprint.
	prefixBytes = 8
	// summaryEntryBytes is the length of a fingerprint prefix and a record hash.
	summaryEntryBytes = prefixBytes + 4
	// maxRecordMessages is the largest number of messages with records in reply
	// to one message. The remaining records follow in later comparisons.
	maxRecordMessages = 4
)

// fingerprintPrefix holds the first prefixBytes bytes of a fingerprint.
type fingerprintPrefix [prefixBytes]byte

func prefixOf(f quarantine.Fingerprint) fingerprintPrefix { return fingerprintPrefix(f[:prefixBytes]) }

// DigestMessage returns the message that starts anti-entropy with another
// daemon: the checksum of the whole table.
func (s *Store) DigestMessage() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return binary.BigEndian.AppendUint64([]byte{kindDigest}, s.checksum())
}

// NextPush returns a message of at most limit bytes with the records that have changed
// since they were last sent, and marks the records in the message as sent. Records with
// the latest quarantine come first, then those with the most crashes, then the most
// recently updated ones. The message is nil if no record has changed, or if the first
// changed record does not fit into limit bytes. newCrash is true for the first message
// after a call of RecordCrash. A nil message does not count: newCrash is false, and the
// next message reports the crash.
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
	newCrash, s.hasNewCrash = s.hasNewCrash, false
	return message, newCrash
}

// Receive applies a message from another daemon and returns the replies, each of
// at most limit bytes. inSync reports whether the message says that the tables
// of both daemons are equal. A message that is empty, of an unknown kind or malformed
// changes nothing and gets no reply.
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

// handleDigest returns the replies to a digest message. If the tables have the same
// checksum, the only reply is of kindInSync. Otherwise the replies are summaries of
// this daemon's table. A malformed digest message gets no reply.
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

// summaries returns summary messages of at most limit bytes that together cover
// the whole table. s.mu is held.
func (s *Store) summaries(limit int) [][]byte {
	records := s.recordsByFingerprint()
	maxEntries := (limit - 1 - 2*prefixBytes) / summaryEntryBytes
	var out [][]byte
	var firstPrefix fingerprintPrefix
	for {
		n := min(maxEntries, len(records))
		lastPrefix := fingerprintPrefix(bytes.Repeat([]byte{0xff}, prefixBytes))
		if n < len(records) {
			lastPrefix = prefixOf(records[n-1].Fingerprint)
		}
		m := append(append([]byte{kindSummary}, firstPrefix[:]...), lastPrefix[:]...)
		for i := range records[:n] {
			m = appendSummaryEntry(m, &records[i])
		}
		out = append(out, m)
		if records = records[n:]; len(records) == 0 {
			return out
		}
		firstPrefix = prefixOf(records[0].Fingerprint)
	}
}

// appendSummaryEntry appends the fingerprint prefix and the truncated hash of a record to
// the message m.
func appendSummaryEntry(m []byte, r *quarantine.Record) []byte {
	p := prefixOf(r.Fingerprint)
	return binary.BigEndian.AppendUint32(append(m, p[:]...), uint32(r.Sum()))
}

// recordsByFingerprint returns the records ordered by fingerprint. s.mu is held.
func (s *Store) recordsByFingerprint() []quarantine.Record {
	records := s.table.List()
	slices.SortFunc(records, func(a, b quarantine.Record) int {
		return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return records
}

// handleSummary returns the replies to a summary. The replies hold the records in the
// range of the summary that the peer lacks, and a request for the records that this
// daemon lacks. A record that has different hashes at the two daemons is both sent and
// requested. A malformed summary gets no reply.
func (s *Store) handleSummary(body []byte, limit int) [][]byte {
	if len(body) < 2*prefixBytes || (len(body)-2*prefixBytes)%summaryEntryBytes != 0 {
		return nil
	}
	firstPrefix, lastPrefix := fingerprintPrefix(body[:prefixBytes]), fingerprintPrefix(body[prefixBytes:])
	peerSums := make(map[fingerprintPrefix]uint32)
	for e := range slices.Chunk(body[2*prefixBytes:], summaryEntryBytes) {
		peerSums[fingerprintPrefix(e)] = binary.BigEndian.Uint32(e[prefixBytes:])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var recordsToSend []quarantine.Record
	for _, r := range s.table.List() {
		p := prefixOf(r.Fingerprint)
		if bytes.Compare(p[:], firstPrefix[:]) < 0 || bytes.Compare(p[:], lastPrefix[:]) > 0 {
			continue
		}
		if sum, ok := peerSums[p]; !ok || sum != uint32(r.Sum()) {
			recordsToSend = append(recordsToSend, r)
		} else {
			delete(peerSums, p)
		}
	}
	// peerSums now holds only the records that this daemon lacks or has with
	// another hash.
	out := recordMessages(recordsToSend, limit)
	if request := recordRequest(peerSums, limit); request != nil {
		out = append(out, request)
	}
	return out
}

// recordRequest returns a request for the records whose fingerprint prefixes are the
// keys of wanted. It leaves out the prefixes that do not fit into limit bytes. It
// returns nil if wanted is empty.
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

// handleRecordRequest returns up to maxRecordMessages messages of at most limit bytes
// with the requested records. It leaves out the records that do not fit into these
// messages. A malformed request gets no reply.
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

// recordMessages returns up to maxRecordMessages messages of at most limit bytes with
// the records. It leaves out the records that do not fit into these messages.
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

// appendRecords appends records to the message m, in order, until the next record would
// make m longer than limit bytes. It returns the extended message and the number of
// records appended.
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
