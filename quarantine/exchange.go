package quarantine

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/dottereltiller/dottereltiller/core/quarantine"
)

// Daemons that speak by datagram exchange records in these messages, each of which
// begins with its kind. An opening carries a digest. Who has another one answers with
// summaries, each of a span of fingerprints: the first and the last one, and a hash of
// each record in between. Who gets a summary sends the records that the other lacks, and
// a wish for those that it lacks itself. So the bytes follow what differs.
const (
	kindDigest        = 'o'
	kindInSync        = 'a'
	kindSummary       = 's'
	kindRecordRequest = 'w'
	kindRecords       = 'r'
)

const (
	digestBytes = 8
	// prefixBytes of a fingerprint stand for it in summaries and wishes.
	prefixBytes       = 8
	summaryEntryBytes = prefixBytes + 4
	// maxRecordMessages bounds the messages with records that one message is answered by. The
	// rest follows in later rounds.
	maxRecordMessages = 4
)

type fingerprintPrefix [prefixBytes]byte

func prefixOf(f quarantine.Fingerprint) fingerprintPrefix { return fingerprintPrefix(f[:prefixBytes]) }

// Opening returns the message that begins a comparison.
func (s *Store) Opening() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return binary.BigEndian.AppendUint64([]byte{kindDigest}, s.checksum())
}

// NextPush returns a message of at most limit bytes with records that have changed, those
// that matter most first, and takes them for told. It is nil where nothing has changed.
// First reports whether an upstream has died here since the last call.
func (s *Store) NextPush(limit int) (message []byte, first bool) {
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
	first, s.newCrash = s.newCrash, false
	return message, first
}

// Receive takes in a message and returns the answers, each of at most limit bytes. It
// reports whether the message says that both sides hold the same.
func (s *Store) Receive(message []byte, limit int) (answers [][]byte, agreed bool) {
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
		// What cannot be read is counted there.
		_ = s.Apply(body)
	case kindInSync:
		return nil, true
	}
	return nil, false
}

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

// summaries describes the table in spans of fingerprints. s.mu is held.
func (s *Store) summaries(limit int) [][]byte {
	records := s.ordered()
	room := (limit - 1 - 2*prefixBytes) / summaryEntryBytes
	var out [][]byte
	var from fingerprintPrefix
	for {
		n := min(room, len(records))
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

// ordered returns the records by fingerprint. s.mu is held.
func (s *Store) ordered() []quarantine.Record {
	records := s.table.List()
	slices.SortFunc(records, func(a, b quarantine.Record) int {
		return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return records
}

// handleSummary answers a summary.
func (s *Store) handleSummary(body []byte, limit int) [][]byte {
	if len(body) < 2*prefixBytes || (len(body)-2*prefixBytes)%summaryEntryBytes != 0 {
		return nil
	}
	from, to := fingerprintPrefix(body[:prefixBytes]), fingerprintPrefix(body[prefixBytes:])
	theirs := make(map[fingerprintPrefix]uint32)
	for e := range slices.Chunk(body[2*prefixBytes:], summaryEntryBytes) {
		theirs[fingerprintPrefix(e)] = binary.BigEndian.Uint32(e[prefixBytes:])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var lacked []quarantine.Record
	for _, r := range s.table.List() {
		p := prefixOf(r.Fingerprint)
		if bytes.Compare(p[:], from[:]) < 0 || bytes.Compare(p[:], to[:]) > 0 {
			continue
		}
		if sum, ok := theirs[p]; !ok || sum != uint32(r.Sum()) {
			lacked = append(lacked, r)
		} else {
			delete(theirs, p)
		}
	}
	out := recordMessages(lacked, limit)
	if wish := recordRequest(theirs, limit); wish != nil {
		out = append(out, wish)
	}
	return out
}

// recordRequest asks for records. It is nil where none are wanted.
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

// handleRecordRequest answers a wish.
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

// recordMessages spreads records over at most maxRecordMessages messages.
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

// appendRecords appends as many records as fit, and returns their number.
func appendRecords(m []byte, records []quarantine.Record, limit int) ([]byte, int) {
	for i := range records {
		longer := records[i].Append(m)
		if len(longer) > limit {
			return m, i
		}
		m = longer
	}
	return m, len(records)
}
