package config

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// The kinds of delta.
const (
	deltaRecords = 1
	deltaChunk   = 2
)

const (
	chainPrefixSize = 8
	digestSize      = 8 + 8 + chainPrefixSize + 8 + 8
	// chunkHead is the kind, the checkpoint's id, its size and the offset.
	chunkHeaderSize = 1 + 8 + 8 + 8
	// recordsHead is the kind and the first record's offset.
	recordsHeaderSize = 1 + 8
	// perRecord is the length before each record.
	lengthPrefixSize = 4
)

// partial is a checkpoint of which some bytes have come.
type partialCheckpoint struct {
	id   uint64
	size uint64
	data []byte
}

// digest is what a Folder tells others about itself.
type digest struct {
	next         uint64
	version      uint64
	chain        [chainPrefixSize]byte
	partialID    uint64
	partialBytes uint64
}

// Digest summarises the state, for Delta of another Folder.
func (m *Folder) Digest() []byte {
	b := make([]byte, 0, digestSize)
	b = binary.BigEndian.AppendUint64(b, m.state.Next)
	b = binary.BigEndian.AppendUint64(b, uint64(m.state.Version))
	b = append(b, m.state.Chain[:chainPrefixSize]...)
	b = binary.BigEndian.AppendUint64(b, m.partial.id)
	return binary.BigEndian.AppendUint64(b, uint64(len(m.partial.data)))
}

func parseDigest(b []byte) (digest, bool) {
	if len(b) != digestSize {
		return digest{}, false
	}
	d := digest{next: binary.BigEndian.Uint64(b), version: binary.BigEndian.Uint64(b[8:])}
	copy(d.chain[:], b[16:])
	d.partialID = binary.BigEndian.Uint64(b[16+chainPrefixSize:])
	d.partialBytes = binary.BigEndian.Uint64(b[24+chainPrefixSize:])
	return d, true
}

// Conflicts reports whether the holder of the digest has folded the same
// records to something else.
func (m *Folder) Conflicts(peerDigest []byte) bool {
	d, ok := parseDigest(peerDigest)
	if !ok || d.next > m.state.Next {
		return false
	}
	if d.next == m.state.Next {
		return d.chain != [chainPrefixSize]byte(m.state.Chain[:chainPrefixSize])
	}
	records, ok := m.recent.from(d.next)
	return ok && d.chain != [chainPrefixSize]byte(records[0].chainBefore[:chainPrefixSize])
}

// Delta returns what the holder of a digest lacks, in at most limit bytes, or
// nil: the records that follow its own, or a part of a checkpoint.
func (m *Folder) Delta(peerDigest []byte, limit int) []byte {
	d, ok := parseDigest(peerDigest)
	if !ok || d.next >= m.state.Next || m.Conflicts(peerDigest) {
		return nil
	}
	if records, ok := m.recent.from(d.next); ok {
		if delta := encodeRecords(d.next, records, limit); delta != nil {
			return delta
		}
	}
	return m.chunk(d, limit)
}

func encodeRecords(first uint64, records []recentRecord, limit int) []byte {
	b := append([]byte{deltaRecords}, binary.BigEndian.AppendUint64(nil, first)...)
	for _, r := range records {
		if len(b)+lengthPrefixSize+len(r.data) > limit {
			break
		}
		b = binary.BigEndian.AppendUint32(b, uint32(len(r.data)))
		b = append(b, r.data...)
	}
	if len(b) == recordsHeaderSize {
		return nil
	}
	return b
}

// chunk returns the next part of the checkpoint that others are given.
func (m *Folder) chunk(d digest, limit int) []byte {
	data := m.checkpointFor(d.next)
	if data == nil || limit <= chunkHeaderSize {
		return nil
	}
	id := xxhash.Sum64(data)
	var from uint64
	if d.partialID == id && d.partialBytes < uint64(len(data)) {
		from = d.partialBytes
	}
	b := []byte{deltaChunk}
	b = binary.BigEndian.AppendUint64(b, id)
	b = binary.BigEndian.AppendUint64(b, uint64(len(data)))
	b = binary.BigEndian.AppendUint64(b, from)
	part := data[from:]
	return append(b, part[:min(len(part), limit-chunkHeaderSize)]...)
}

// checkpointFor returns the kept checkpoint, or one of now when the kept one is
// not ahead of the receiver or its records are no longer held.
func (m *Folder) checkpointFor(next uint64) []byte {
	_, continuable := m.recent.from(m.cached.state.Next)
	continuable = continuable || m.cached.state.Next == m.state.Next
	if m.cached.state.Next <= next || !continuable {
		m.cached = cachedCheckpoint{state: m.state.clone()}
	}
	if m.cached.encoded == nil {
		data, err := m.cached.state.Checkpoint()
		if err != nil {
			return nil
		}
		m.cached.encoded = data
	}
	return m.cached.encoded
}

var (
	errDelta = errors.New("config delta cannot be read")
	errChunk = errors.New("config checkpoint cannot be read")
)

// Apply takes in a delta and returns the results of the records that it folded.
// Records that do not continue the own prefix are passed over.
func (m *Folder) Apply(delta []byte) ([]Result, error) {
	if len(delta) == 0 {
		return nil, errDelta
	}
	switch delta[0] {
	case deltaRecords:
		return m.applyRecords(delta)
	case deltaChunk:
		return nil, m.applyChunk(delta)
	default:
		return nil, errDelta
	}
}

func (m *Folder) applyRecords(delta []byte) ([]Result, error) {
	first, records, err := decodeRecords(delta)
	if err != nil {
		return nil, err
	}
	var out []Result
	for i, r := range records {
		if res := m.Fold(first+uint64(i), r); res.Verdict != OutOfOrder {
			out = append(out, res)
		}
	}
	return out, nil
}

func decodeRecords(delta []byte) (first uint64, records [][]byte, err error) {
	if len(delta) < recordsHeaderSize {
		return 0, nil, errDelta
	}
	first = binary.BigEndian.Uint64(delta[1:])
	for rest := delta[recordsHeaderSize:]; len(rest) > 0; {
		if len(rest) < lengthPrefixSize {
			return 0, nil, errDelta
		}
		n := binary.BigEndian.Uint32(rest)
		rest = rest[lengthPrefixSize:]
		if uint64(n) > uint64(len(rest)) {
			return 0, nil, errDelta
		}
		records = append(records, append([]byte(nil), rest[:n]...))
		rest = rest[n:]
	}
	return first, records, nil
}

// applyChunk adds a part of a checkpoint and adopts it when complete. A part of
// another checkpoint takes the place of what had come, but only from its start.
func (m *Folder) applyChunk(delta []byte) error {
	if len(delta) <= chunkHeaderSize {
		return errDelta
	}
	id := binary.BigEndian.Uint64(delta[1:])
	size := binary.BigEndian.Uint64(delta[9:])
	from := binary.BigEndian.Uint64(delta[17:])
	part := delta[chunkHeaderSize:]
	if size > maxUncompressedCheckpoint || from > size || uint64(len(part)) > size-from {
		return errDelta
	}
	if from == 0 && (m.partial.id != id || m.partial.size != size) {
		m.partial = partialCheckpoint{id: id, size: size}
	}
	if m.partial.id != id || m.partial.size != size || from != uint64(len(m.partial.data)) {
		return nil
	}
	m.partial.data = append(m.partial.data, part...)
	if uint64(len(m.partial.data)) < size {
		return nil
	}
	data := m.partial.data
	m.partial = partialCheckpoint{}
	s, ok := ReadCheckpoint(data)
	if !ok {
		return errChunk
	}
	if err := m.Adopt(s); err != nil && !errors.Is(err, ErrStale) {
		return err
	}
	return nil
}
