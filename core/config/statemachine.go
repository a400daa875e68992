package config

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Validate checks the documents that a change puts. It must be a function of
// its argument only, because every daemon has to come to the same verdict.
type Validate func(put map[DocumentKey]json.RawMessage) error

// Folder holds the state that records are folded into. It is not safe for
// concurrent use.
type Folder struct {
	validate Validate
	state    State
	size     int
	recent   recent
	cached   cachedCheckpoint
	partial  partialCheckpoint
}

// anchorEvery is the number of records between two states that are kept to be
// handed on. It divides the offsets, so that daemons keep the same ones.
const checkpointInterval = 64

// NewFolder returns a Folder that has folded nothing. A nil Validate accepts
// all documents.
func NewFolder(v Validate) *Folder {
	if v == nil {
		v = func(map[DocumentKey]json.RawMessage) error { return nil }
	}
	return &Folder{validate: v, state: State{Documents: make(map[DocumentKey]json.RawMessage)}}
}

// State returns a copy of the state.
func (m *Folder) State() State { return m.state.clone() }

// Version returns the current version.
func (m *Folder) Version() model.Version { return m.state.Version }

// Next returns the offset of the next record to fold.
func (m *Folder) Next() uint64 { return m.state.Next }

// Fold takes in the record at an offset, which must be Next.
func (m *Folder) Fold(offset uint64, record []byte) Result {
	if offset != m.state.Next {
		return m.result(OutOfOrder, nil, nil)
	}
	chainBefore := m.state.Chain
	res := m.applyChange(record)
	if res.Verdict == Ignored {
		record = nil // it is handed on as a record that says nothing
	}
	m.recent.add(offset, record, chainBefore)
	m.state.Next++
	if m.state.Next%checkpointInterval == 0 {
		m.cached = cachedCheckpoint{state: m.state.clone()}
	}
	return res
}

func (m *Folder) applyChange(record []byte) Result {
	kind, payload, digest, err := parseRecord(record)
	if err != nil {
		return m.result(Ignored, nil, err)
	}
	if kind != kindChange {
		return m.result(Ignored, nil, nil)
	}
	c, err := decodeChange(payload)
	if err != nil {
		return m.result(Ignored, nil, err)
	}
	decision, problem := m.decide(c)
	if decision != Duplicate {
		m.recordID(c.ID)
	}
	if decision == Accepted {
		m.accept(c, digest)
	}
	return m.result(decision, &c, problem)
}

var errFutureBase = errors.New("the base version does not exist yet")

func (m *Folder) decide(c Change) (Verdict, error) {
	if slices.Contains(m.state.IDs, hashID(c.ID)) {
		return Duplicate, nil
	}
	if c.Base > m.state.Version {
		return Invalid, errFutureBase
	}
	if c.Base < m.state.Version {
		return Superseded, nil
	}
	if n := m.size + m.sizeIncrease(c); n > MaxState {
		return Invalid, &LimitError{What: "configuration", Size: n, Limit: MaxState}
	}
	if err := m.validate(c.Put); err != nil {
		return Invalid, err
	}
	return Accepted, nil
}

// growth returns by how many bytes the change makes the documents larger.
func (m *Folder) sizeIncrease(c Change) int {
	n := 0
	for k, d := range c.Put {
		n += len(k) + len(d) - m.storedSize(k)
	}
	for _, k := range keysToDelete(c) {
		n -= m.storedSize(k)
	}
	return n
}

func (m *Folder) storedSize(k DocumentKey) int {
	if d, ok := m.state.Documents[k]; ok {
		return len(k) + len(d)
	}
	return 0
}

// deleted returns the keys that the change deletes, each once, without those
// that it also puts.
func keysToDelete(c Change) []DocumentKey {
	var keys []DocumentKey
	for _, k := range c.Delete {
		if _, put := c.Put[k]; !put && !slices.Contains(keys, k) {
			keys = append(keys, k)
		}
	}
	return keys
}

func (m *Folder) accept(c Change, digest Digest) {
	m.size += m.sizeIncrease(c)
	for _, k := range keysToDelete(c) {
		delete(m.state.Documents, k)
	}
	for k, d := range c.Put {
		m.state.Documents[k] = d
	}
	m.state.Version++
	m.state.Chain = sha256.Sum256(append(m.state.Chain[:], digest[:]...))
	m.state.ChangeID = c.ID
	m.state.Author = c.Author
}

func (m *Folder) recordID(id string) {
	if len(m.state.IDs) >= maxIDs {
		m.state.IDs = m.state.IDs[1:]
	}
	m.state.IDs = append(m.state.IDs, hashID(id))
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

func (m *Folder) result(v Verdict, c *Change, problem error) Result {
	return Result{Verdict: v, Change: c, Version: m.state.Version, Problem: problem}
}

// Behind reports whether records that have not been folded are no longer kept
// by a log whose oldest record is given. Recover finds the way back.
func (m *Folder) Behind(oldest uint64) bool { return m.state.Next < oldest }

// Recover takes in a record found on the log while Behind. It reports whether
// the record is a checkpoint that the folder could adopt and fold on from.
func (m *Folder) Recover(offset, oldest uint64, record []byte) bool {
	s, ok := ReadCheckpoint(record)
	return ok && s.Covers(offset, oldest) && m.Adopt(s) == nil
}

// The reasons why a state is not adopted.
var (
	// ErrStale tells that the state is not ahead of the folder's own.
	ErrStale = errors.New("state is not ahead")
	// ErrConflict tells that the state contradicts the folder's own.
	ErrConflict = errors.New("state contradicts the one held")
)

// Adopt replaces the state by one that has folded more records.
func (m *Folder) Adopt(s State) error {
	if s.Next <= m.state.Next {
		return ErrStale
	}
	if s.Version < m.state.Version {
		return ErrConflict
	}
	if s.Version == m.state.Version && s.Chain != m.state.Chain {
		return ErrConflict
	}
	m.state = s.clone()
	m.size = s.size()
	m.recent = recent{}
	m.cached = cachedCheckpoint{state: s.clone()}
	m.partial = partialCheckpoint{}
	return nil
}
