package config

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"maps"
	"slices"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// State is the configuration after applying all records below Next.
type State struct {
	Version model.Version `json:"version"`
	// Next is the offset of the first record that has not been applied.
	Next uint64 `json:"next"`
	// Chain is the head of the hash chain over all accepted changes.
	Chain Digest `json:"chain"`
	// ChangeID is the ID of the change that created this version.
	ChangeID string `json:"change_id"`
	// Author is the author of the change that created this version.
	Author    string                          `json:"author"`
	Documents map[DocumentKey]json.RawMessage `json:"documents"`
	// IDs are the hashes of the IDs of the last changes, accepted or not, the oldest
	// first. It holds at most maxIDs hashes.
	IDs []uint64 `json:"ids"`
}

// maxIDs is the maximum length of State.IDs. A change that is repeated after at least
// maxIDs other changes is no longer recognized as a duplicate. If the change was
// accepted the first time, it is still not accepted again, because its base is no
// longer the current version.
const maxIDs = 128

func (s State) clone() State {
	s.Documents = maps.Clone(s.Documents)
	s.IDs = slices.Clone(s.IDs)
	return s
}

// size returns the total size of the documents and their keys in bytes.
func (s State) size() int {
	n := 0
	for k, d := range s.Documents {
		n += len(k) + len(d)
	}
	return n
}

// Checkpoint encodes the state as a checkpoint record for the log.
func (s State) Checkpoint() ([]byte, error) {
	uncompressed, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(uncompressed); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	record, _ := encodeRecord(kindCheckpoint, compressed.Bytes())
	return record, nil
}

// maxUncompressedCheckpoint is the maximum size of a decompressed checkpoint in bytes.
// It is larger than MaxState, because a checkpoint also holds IDs and other fields,
// and because escaping lengthens the documents.
const maxUncompressedCheckpoint = 4 * MaxState

// ReadCheckpoint decodes the state in a checkpoint record. It returns false if the
// record is not a checkpoint or is malformed.
func ReadCheckpoint(record []byte) (State, bool) {
	kind, payload, _, err := parseRecord(record)
	if err != nil || kind != kindCheckpoint {
		return State{}, false
	}
	uncompressed, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(payload)), maxUncompressedCheckpoint+1))
	if err != nil || len(uncompressed) > maxUncompressedCheckpoint {
		return State{}, false
	}
	var s State
	if json.Unmarshal(uncompressed, &s) != nil || len(s.IDs) > maxIDs || s.size() > MaxState {
		return State{}, false
	}
	if s.Documents == nil {
		s.Documents = make(map[DocumentKey]json.RawMessage)
	}
	return s, true
}

// Covers reports whether the log still keeps all records that follow the state. The
// offset argument is the offset of the checkpoint record that contains the state,
// and oldest is the offset of the oldest record on the log.
//
// A writer that was paused may append a checkpoint late, when the log has already
// been trimmed beyond the checkpoint's state. Covers returns false for such a
// checkpoint. The checkpoint must not be used, because the changes accepted in the
// gap are unknown. Covers also returns false for a state that claims to be ahead of
// the record that contains the state.
func (s State) Covers(offset, oldest uint64) bool {
	return s.Next >= oldest && s.Next <= offset
}
