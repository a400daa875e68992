package config

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Validator checks the documents that a change puts, and returns the reason if they
// are invalid. Its result must depend only on its argument, because all daemons must
// reach the same decision.
type Validator func(put map[DocumentKey]json.RawMessage) error

// StateMachine is the replicated state machine: it applies log records to a State
// and exchanges state with other daemons. It is not safe for concurrent use.
type StateMachine struct {
	validate Validator
	state    State
	// size is the total size of the documents and their keys in bytes.
	size   int
	recent recordBuffer
	// cached is the checkpoint that is sent to other daemons in chunks.
	cached cachedCheckpoint
	// partial is a checkpoint that is being received from another daemon.
	partial partialCheckpoint
}

// checkpointInterval is the number of records between two states that are cached
// as checkpoints for other daemons. A state is cached when its Next is a multiple of
// checkpointInterval, so that all daemons cache the same states.
const checkpointInterval = 64

// NewStateMachine returns a StateMachine that has not applied any record. A nil
// Validator accepts all documents.
func NewStateMachine(v Validator) *StateMachine {
	if v == nil {
		v = func(map[DocumentKey]json.RawMessage) error { return nil }
	}
	return &StateMachine{validate: v, state: State{Documents: make(map[DocumentKey]json.RawMessage)}}
}

// State returns a copy of the state.
func (m *StateMachine) State() State { return m.state.clone() }

// Version returns the current version.
func (m *StateMachine) Version() model.Version { return m.state.Version }

// Next returns the offset of the next record to apply.
func (m *StateMachine) Next() uint64 { return m.state.Next }

// ApplyRecord applies the record at an offset and returns the result. If the offset
// is not Next, the decision is OutOfOrder and nothing is applied.
func (m *StateMachine) ApplyRecord(offset uint64, record []byte) Result {
	if offset != m.state.Next {
		return m.result(OutOfOrder, nil, nil)
	}
	chainBefore := m.state.Chain
	res := m.applyChange(record)
	if res.Decision == Ignored {
		record = nil // an empty record is sent to other daemons in its place
	}
	m.recent.add(offset, record, chainBefore)
	m.state.Next++
	if m.state.Next%checkpointInterval == 0 {
		m.cached = cachedCheckpoint{state: m.state.clone()}
	}
	return res
}

// applyChange decodes the change in a record, decides on it, and applies it if it
// is accepted. It ignores records without a change.
func (m *StateMachine) applyChange(record []byte) Result {
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
		// A repeated change is a Duplicate even if it was not accepted before.
		m.recordID(c.ID)
	}
	if decision == Accepted {
		m.accept(c, digest)
	}
	return m.result(decision, &c, problem)
}

var errFutureBase = errors.New("the base version does not exist yet")

// decide returns the decision on a change, with the reason if it is Invalid.
func (m *StateMachine) decide(c Change) (Decision, error) {
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

// sizeIncrease returns by how many bytes a change increases the total size of the
// documents and keys. The result is negative if the total size decreases.
func (m *StateMachine) sizeIncrease(c Change) int {
	n := 0
	for k, d := range c.Put {
		n += len(k) + len(d) - m.storedSize(k)
	}
	for _, k := range keysToDelete(c) {
		n -= m.storedSize(k)
	}
	return n
}

// storedSize returns the size of a key and its document, or 0 if there is no such
// document.
func (m *StateMachine) storedSize(k DocumentKey) int {
	if d, ok := m.state.Documents[k]; ok {
		return len(k) + len(d)
	}
	return 0
}

// keysToDelete returns the keys that a change deletes, without duplicates and
// without the keys that it also puts.
func keysToDelete(c Change) []DocumentKey {
	var keys []DocumentKey
	for _, k := range c.Delete {
		if _, put := c.Put[k]; !put && !slices.Contains(keys, k) {
			keys = append(keys, k)
		}
	}
	return keys
}

// accept applies an accepted change to the state.
func (m *StateMachine) accept(c Change, digest Digest) {
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

// recordID stores the ID of a change for the detection of duplicates.
func (m *StateMachine) recordID(id string) {
	if len(m.state.IDs) >= maxIDs {
		m.state.IDs = m.state.IDs[1:]
	}
	m.state.IDs = append(m.state.IDs, hashID(id))
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

func (m *StateMachine) result(d Decision, c *Change, problem error) Result {
	return Result{Decision: d, Change: c, Version: m.state.Version, Problem: problem}
}

// NeedsCheckpoint reports whether the log no longer keeps the next record to
// apply, given the offset of the oldest record that it keeps. In that case the
// StateMachine must be restored from a checkpoint with RestoreCheckpoint.
func (m *StateMachine) NeedsCheckpoint(oldest uint64) bool { return m.state.Next < oldest }

// RestoreCheckpoint replaces the state with that of the checkpoint record at an
// offset, and reports whether it did so. The oldest argument is the offset of the
// oldest record that the log keeps. RestoreCheckpoint returns false and changes
// nothing if the record is not a checkpoint, if State.Covers returns false, or if
// Adopt returns an error.
func (m *StateMachine) RestoreCheckpoint(offset, oldest uint64, record []byte) bool {
	s, ok := ReadCheckpoint(record)
	return ok && s.Covers(offset, oldest) && m.Adopt(s) == nil
}

// Errors returned by Adopt.
var (
	// ErrStale means that the given state is not newer than the current one.
	ErrStale = errors.New("state is not newer than the current state")
	// ErrConflict means that the given state has a lower version than the
	// current one, or a different hash chain for the same version.
	ErrConflict = errors.New("state conflicts with the current state")
)

// Adopt replaces the current state with a state that has applied more records. If it
// returns ErrStale or ErrConflict, the current state has not changed.
func (m *StateMachine) Adopt(s State) error {
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
	m.recent = recordBuffer{}
	m.cached = cachedCheckpoint{state: s.clone()}
	m.partial = partialCheckpoint{}
	return nil
}
