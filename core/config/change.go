package config

import (
	"encoding/json"
	"strconv"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// DocumentKey identifies a document within the configuration, as "kind/name".
type DocumentKey string

// Change is a configuration change proposed by an operator.
type Change struct {
	// ID is globally unique and never reused. A change that is appended twice is
	// applied once.
	ID string `json:"id"`
	// Base is the version that the operator saw when preparing the change. The
	// change is accepted only if that is still the current version.
	Base   model.Version `json:"base"`
	Author string        `json:"author,omitempty"`
	// Comment is the operator's reason for the change. It is kept only for the
	// history of changes.
	Comment string `json:"comment,omitempty"`
	// UnixMilli is the operator's wall clock in Unix milliseconds. It is kept only
	// for the history of changes.
	UnixMilli int64 `json:"unix_ms,omitempty"`
	// Put holds the documents to create or replace.
	Put map[DocumentKey]json.RawMessage `json:"put,omitempty"`
	// Delete holds the keys of the documents to delete. A key that is also in Put is
	// not deleted.
	Delete []DocumentKey `json:"delete,omitempty"`
}

// Decision says whether a log record changed the configuration and, if not, why.
type Decision uint8

// The decisions.
const (
	// Accepted means that the change created a new current version.
	Accepted Decision = iota + 1
	// Superseded means that the base of the change is older than the current
	// version.
	Superseded
	// Duplicate means that one of the last maxIDs changes, accepted or not, had the
	// same ID (see State.IDs).
	Duplicate
	// Invalid means that the Validator rejected the documents of the change, that its
	// base version does not exist yet, or that the configuration would exceed MaxState.
	Invalid
	// Ignored means that the record is a checkpoint or is unreadable.
	Ignored
	// OutOfOrder means that the offset of the record is not that of the next
	// record to apply. The record was not applied.
	OutOfOrder
)

var decisionNames = [...]string{"none", "accepted", "superseded", "duplicate", "invalid", "ignored", "out of order"}

// String returns the name of the decision.
func (d Decision) String() string {
	if int(d) < len(decisionNames) {
		return decisionNames[d]
	}
	return "decision " + strconv.Itoa(int(d))
}

// Result is the result of applying one record.
type Result struct {
	Decision Decision
	// Change is nil if the record does not contain a change.
	Change *Change
	// Version is the current version after the record.
	Version model.Version
	// Problem is the reason why a change is Invalid or an unreadable record was
	// Ignored. Otherwise it is nil.
	Problem error
}

// Size limits of the configuration, in bytes.
const (
	// MaxChange is the maximum size of an encoded change.
	MaxChange = 256 << 10
	// MaxState is the maximum total size of all documents and their keys.
	MaxState = 1 << 20
)

// LimitError is returned when a size limit would be exceeded.
type LimitError struct {
	// What names the object that is too large.
	What  string
	Size  int
	Limit int
}

// Error returns the object with its size and the limit.
func (e *LimitError) Error() string {
	return e.What + ": " + strconv.Itoa(e.Size) + " bytes exceed the limit of " + strconv.Itoa(e.Limit)
}
