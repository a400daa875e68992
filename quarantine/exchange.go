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
	kindOpening = 'o'
	kindAgreed  = 'a'
	kindSummary = 's'
	kindWish    = 'w'
	kindRecords = 'r'
)

const (
	digestBytes = 8
	// prefixBytes of a fingerprint stand for it in summaries and wishes.
	prefixBytes = 8
	entryBytes  = prefixBytes + 4
	// maxReplies bounds the messages with records that one message is answered by. The
	// rest follows in later rounds.
	maxReplies = 4
)

type prefix [prefixBytes]byte

func prefixOf(f quarantine.Fingerprint) prefix { return prefix(f[:prefixBytes]) }

// Opening returns the message that begins a comparison.
func (s *Store) Opening() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return binary.BigEndian.AppendUint64([]byte{kindOpening}, s.sum())
}

// News returns a message of at most limit bytes with records that have changed, those
// that matter most first, and takes them for told. It is nil where nothing has changed.
// First reports whether an upstream has died here since the last call.
func (s *Store) News(limit int) (message []byte, first bool) {
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
	first, s.began = s.began, false
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
	case kindOpening:
		return s.opened(body, limit), false
	case kindSummary:
		return s.compared(body, limit), false
	case kindWish:
		return s.granted(body, limit), false
	case kindRecords:
		// What cannot be read is counted there.
		_ = s.Apply(body)
	case kindAgreed:
		return nil, true
	}
	return nil, false
}

func (s *Store) opened(digest []byte, limit int) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(digest) != digestBytes {
		return nil
	}
	if binary.BigEndian.Uint64(digest) == s.sum() {
		return [][]byte{{kindAgreed}}
	}
	return s.summaries(limit)
}

// summaries describes the table in spans of fingerprints. s.mu is held.
func (s *Store) summaries(limit int) [][]byte {
	records := s.ordered()
	room := (limit - 1 - 2*prefixBytes) / entryBytes
	var out [][]byte
	var from prefix
	for {
		n := min(room, len(records))
		to := prefix(bytes.Repeat([]byte{0xff}, prefixBytes))
		if n < len(records) {
			to = prefixOf(records[n-1].Fingerprint)
		}
		m := append(append([]byte{kindSummary}, from[:]...), to[:]...)
		for i := range records[:n] {
			m = appendEntry(m, &records[i])
		}
		out = append(out, m)
		if records = records[n:]; len(records) == 0 {
			return out
		}
		from = prefixOf(records[0].Fingerprint)
	}
}

func appendEntry(m []byte, r *quarantine.Record) []byte {
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

// compared answers a summary.
func (s *Store) compared(body []byte, limit int) [][]byte {
	if len(body) < 2*prefixBytes || (len(body)-2*prefixBytes)%entryBytes != 0 {
		return nil
	}
	from, to := prefix(body[:prefixBytes]), prefix(body[prefixBytes:])
	theirs := make(map[prefix]uint32)
	for e := range slices.Chunk(body[2*prefixBytes:], entryBytes) {
		theirs[prefix(e)] = binary.BigEndian.Uint32(e[prefixBytes:])
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
	if wish := wishFor(theirs, limit); wish != nil {
		out = append(out, wish)
	}
	return out
}

// wishFor asks for records. It is nil where none are wanted.
func wishFor(wanted map[prefix]uint32, limit int) []byte {
	if len(wanted) == 0 {
		return nil
	}
	m := []byte{kindWish}
	for p := range wanted {
		if len(m)+prefixBytes > limit {
			break
		}
		m = append(m, p[:]...)
	}
	return m
}

// granted answers a wish.
func (s *Store) granted(body []byte, limit int) [][]byte {
	if len(body)%prefixBytes != 0 {
		return nil
	}
	wanted := make(map[prefix]bool)
	for p := range slices.Chunk(body, prefixBytes) {
		wanted[prefix(p)] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	records := slices.DeleteFunc(s.table.List(), func(r quarantine.Record) bool { return !wanted[prefixOf(r.Fingerprint)] })
	return recordMessages(records, limit)
}

// recordMessages spreads records over at most maxReplies messages.
func recordMessages(records []quarantine.Record, limit int) [][]byte {
	var out [][]byte
	for len(records) > 0 && len(out) < maxReplies {
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
