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

// State is the configuration after folding all records below Next.
type State struct {
	Version model.Version `json:"version"`
	// Next is the offset of the first record that has not been folded.
	Next uint64 `json:"next"`
	// Chain is the digest over all accepted changes.
	Chain Digest `json:"chain"`
	// ChangeID and Author are those of the change that made this version.
	ChangeID  string                          `json:"change_id"`
	Author    string                          `json:"author"`
	Documents map[DocumentKey]json.RawMessage `json:"documents"`
	// IDs are hashes of the ids of the last changes, oldest first.
	IDs []uint64 `json:"ids"`
}

// maxIDs bounds State.IDs. A change that comes again after that many others is
// still not accepted twice, because its base is no longer current.
const maxIDs = 128

func (s State) clone() State {
	s.Documents = maps.Clone(s.Documents)
	s.IDs = slices.Clone(s.IDs)
	return s
}

func (s State) size() int {
	n := 0
	for k, d := range s.Documents {
		n += len(k) + len(d)
	}
	return n
}

// Checkpoint returns the state as a record.
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
	record, _ := encodeRecord(kindSnapshot, compressed.Bytes())
	return record, nil
}

// maxPlainCheckpoint bounds a checkpoint when unpacked: the documents with
// escaping, the ids and the rest.
const maxUncompressedCheckpoint = 4 * MaxState

// ReadCheckpoint returns the state of a checkpoint record, and false when the
// record is none or cannot be read.
func ReadCheckpoint(record []byte) (State, bool) {
	kind, payload, _, err := parseRecord(record)
	if err != nil || kind != kindSnapshot {
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

// Covers reports whether a checkpoint found on the log at an offset can be
// folded on from, given the oldest record that the log still keeps. A
// checkpoint that was appended late, by a writer that had paused, leaves a gap
// when the log has been trimmed beyond its state: what was accepted in the gap
// is not known, so it must not be used.
func (s State) Covers(offset, oldest uint64) bool {
	return s.Next >= oldest && s.Next <= offset
}
