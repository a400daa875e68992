package config

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// The kinds of delta, encoded in its first byte.
const (
	// deltaRecords is a delta of consecutive log records.
	deltaRecords = 1
	// deltaChunk is a delta with one chunk of a checkpoint.
	deltaChunk = 2
)

const (
	// chainPrefixSize is the number of bytes of the hash chain in a digest.
	chainPrefixSize = 8
	// digestSize is the size of an encoded digest, which has five fields.
	digestSize = 8 + 8 + chainPrefixSize + 8 + 8
	// chunkHeaderSize is the size of the header of a chunk. The header consists of
	// the kind of delta, the checkpoint's id and size, and the offset of the chunk
	// in the checkpoint.
	chunkHeaderSize = 1 + 8 + 8 + 8
	// recordsHeaderSize is the size of the header of a delta of records. The header
	// consists of the kind of delta and the offset of the first record.
	recordsHeaderSize = 1 + 8
	// lengthPrefixSize is the size of the length before each record.
	lengthPrefixSize = 4
)

// partialCheckpoint is a checkpoint that has been received in part.
type partialCheckpoint struct {
	// id is the hash of the complete checkpoint.
	id uint64
	// size is the size of the complete checkpoint in bytes.
	size uint64
	data []byte
}

// stateDigest summarizes the state of a StateMachine. From this summary, another
// daemon determines which records the StateMachine lacks.
type stateDigest struct {
	nextOffset uint64
	version    uint64
	// chain is the prefix of the head of the hash chain.
	chain [chainPrefixSize]byte
	// partialID is the id of the checkpoint that the StateMachine is receiving.
	partialID uint64
	// partialBytes is the number of bytes of this checkpoint received so far.
	partialBytes uint64
}

// Digest returns an encoded summary of the state. Another daemon passes it to
// Delta and Conflicts.
func (m *StateMachine) Digest() []byte {
	b := make([]byte, 0, digestSize)
	b = binary.BigEndian.AppendUint64(b, m.state.Next)
	b = binary.BigEndian.AppendUint64(b, uint64(m.state.Version))
	b = append(b, m.state.Chain[:chainPrefixSize]...)
	b = binary.BigEndian.AppendUint64(b, m.partial.id)
	return binary.BigEndian.AppendUint64(b, uint64(len(m.partial.data)))
}

func parseStateDigest(b []byte) (stateDigest, bool) {
	if len(b) != digestSize {
		return stateDigest{}, false
	}
	d := stateDigest{nextOffset: binary.BigEndian.Uint64(b), version: binary.BigEndian.Uint64(b[8:])}
	copy(d.chain[:], b[16:])
	d.partialID = binary.BigEndian.Uint64(b[16+chainPrefixSize:])
	d.partialBytes = binary.BigEndian.Uint64(b[24+chainPrefixSize:])
	return d, true
}

// Conflicts reports whether the daemon that sent the digest has a different hash
// chain at the same offset. It returns false if the digest is malformed, or if the
// hash chain at that offset is not known here.
func (m *StateMachine) Conflicts(peerDigest []byte) bool {
	d, ok := parseStateDigest(peerDigest)
	if !ok || d.nextOffset > m.state.Next {
		return false
	}
	if d.nextOffset == m.state.Next {
		return d.chain != [chainPrefixSize]byte(m.state.Chain[:chainPrefixSize])
	}
	records, ok := m.recent.startingAt(d.nextOffset)
	return ok && d.chain != [chainPrefixSize]byte(records[0].chainBefore[:chainPrefixSize])
}

// Delta returns an update for the daemon that sent the digest, in at most limit
// bytes. The update holds the records that follow the records of that daemon. If
// these are no longer kept, or not even one of them fits, the update is a chunk of a
// checkpoint. Delta returns nil if the daemon lacks nothing, its state conflicts, its
// digest is malformed, or not even a chunk of one byte fits.
func (m *StateMachine) Delta(peerDigest []byte, limit int) []byte {
	d, ok := parseStateDigest(peerDigest)
	if !ok || d.nextOffset >= m.state.Next || m.Conflicts(peerDigest) {
		return nil
	}
	if records, ok := m.recent.startingAt(d.nextOffset); ok {
		if delta := encodeRecords(d.nextOffset, records, limit); delta != nil {
			return delta
		}
	}
	return m.nextChunk(d, limit)
}

// encodeRecords returns a delta with as many records as fit into limit bytes, or
// nil if not even one fits.
func encodeRecords(firstOffset uint64, records []recentRecord, limit int) []byte {
	b := append([]byte{deltaRecords}, binary.BigEndian.AppendUint64(nil, firstOffset)...)
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

// nextChunk returns a delta with the next chunk of the checkpoint that the sender of
// the digest needs. The chunk begins after the bytes that the sender has already
// received.
func (m *StateMachine) nextChunk(d stateDigest, limit int) []byte {
	data := m.checkpointFor(d.nextOffset)
	if data == nil || limit <= chunkHeaderSize {
		return nil
	}
	id := xxhash.Sum64(data)
	var chunkOffset uint64
	if d.partialID == id && d.partialBytes < uint64(len(data)) {
		chunkOffset = d.partialBytes
	}
	b := []byte{deltaChunk}
	b = binary.BigEndian.AppendUint64(b, id)
	b = binary.BigEndian.AppendUint64(b, uint64(len(data)))
	b = binary.BigEndian.AppendUint64(b, chunkOffset)
	rest := data[chunkOffset:]
	return append(b, rest[:min(len(rest), limit-chunkHeaderSize)]...)
}

// checkpointFor returns an encoded checkpoint for a daemon whose next offset is
// given, or nil if the state cannot be encoded. It returns the cached checkpoint if
// that checkpoint is ahead of the daemon and the records that follow it are still
// kept. Otherwise it first replaces the cached checkpoint with one of the current
// state.
func (m *StateMachine) checkpointFor(nextOffset uint64) []byte {
	_, laterRecordsKept := m.recent.startingAt(m.cached.state.Next)
	laterRecordsKept = laterRecordsKept || m.cached.state.Next == m.state.Next
	if m.cached.state.Next <= nextOffset || !laterRecordsKept {
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
	errDelta      = errors.New("config delta cannot be read")
	errCheckpoint = errors.New("config checkpoint cannot be read")
)

// ApplyDelta applies a delta and returns the results of the records that it
// applied. A chunk of a checkpoint has no results. ApplyDelta skips records whose
// offset is not that of the next record to apply.
// It returns an error if the delta is malformed, or if the delta completes a
// checkpoint that cannot be read or conflicts with the current state.
func (m *StateMachine) ApplyDelta(delta []byte) ([]Result, error) {
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

// applyRecords applies a delta of kind deltaRecords.
func (m *StateMachine) applyRecords(delta []byte) ([]Result, error) {
	firstOffset, records, err := decodeRecords(delta)
	if err != nil {
		return nil, err
	}
	var out []Result
	for i, r := range records {
		if res := m.ApplyRecord(firstOffset+uint64(i), r); res.Decision != OutOfOrder {
			out = append(out, res)
		}
	}
	return out, nil
}

// decodeRecords returns the records of a delta and the offset of the first one.
func decodeRecords(delta []byte) (firstOffset uint64, records [][]byte, err error) {
	if len(delta) < recordsHeaderSize {
		return 0, nil, errDelta
	}
	firstOffset = binary.BigEndian.Uint64(delta[1:])
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
	return firstOffset, records, nil
}

// applyChunk adds a chunk to the partial checkpoint. When the checkpoint is
// complete, the StateMachine adopts its state. The first chunk of a different
// checkpoint replaces the partial checkpoint. Other chunks that do not continue the
// partial checkpoint are ignored.
func (m *StateMachine) applyChunk(delta []byte) error {
	if len(delta) <= chunkHeaderSize {
		return errDelta
	}
	id := binary.BigEndian.Uint64(delta[1:])
	size := binary.BigEndian.Uint64(delta[9:])
	chunkOffset := binary.BigEndian.Uint64(delta[17:])
	chunk := delta[chunkHeaderSize:]
	if size > maxUncompressedCheckpoint || chunkOffset > size || uint64(len(chunk)) > size-chunkOffset {
		return errDelta
	}
	if chunkOffset == 0 && (m.partial.id != id || m.partial.size != size) {
		m.partial = partialCheckpoint{id: id, size: size}
	}
	if m.partial.id != id || m.partial.size != size || chunkOffset != uint64(len(m.partial.data)) {
		return nil
	}
	m.partial.data = append(m.partial.data, chunk...)
	if uint64(len(m.partial.data)) < size {
		return nil
	}
	data := m.partial.data
	m.partial = partialCheckpoint{}
	s, ok := ReadCheckpoint(data)
	if !ok {
		return errCheckpoint
	}
	if err := m.Adopt(s); err != nil && !errors.Is(err, ErrStale) {
		return err
	}
	return nil
}
