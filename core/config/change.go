package config

import (
	"encoding/json"
	"strconv"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// DocumentKey names a document within the configuration, as "kind/name".
type DocumentKey string

// Change is one operator's proposed change.
type Change struct {
	// ID is unique for ever; a change appended twice is folded once.
	ID string `json:"id"`
	// Base is the version that the operator saw.
	Base   model.Version `json:"base"`
	Author string        `json:"author,omitempty"`
	// Comment says why, for the history.
	Comment string `json:"comment,omitempty"`
	// UnixMilli is the operator's wall clock, for the history only.
	UnixMilli int64                           `json:"unix_ms,omitempty"`
	Put       map[DocumentKey]json.RawMessage `json:"put,omitempty"`
	Delete    []DocumentKey                   `json:"delete,omitempty"`
}

// Verdict is what the fold decided about a record.
type Verdict uint8

// The verdicts.
const (
	// Accepted changes are the current version from then on.
	Accepted Verdict = iota + 1
	// Superseded changes had a base that was no longer current.
	Superseded
	// Duplicate changes had been folded before.
	Duplicate
	// Invalid changes carry documents that do not compile, a base that does
	// not exist yet, or would make the configuration too large.
	Invalid
	// Ignored records are no change: checkpoints and what cannot be read.
	Ignored
	// OutOfOrder records do not continue the fold; nothing was taken in.
	OutOfOrder
)

var decisionNames = [...]string{"none", "accepted", "superseded", "duplicate", "invalid", "ignored", "out of order"}

// String returns the verdict's name.
func (v Verdict) String() string {
	if int(v) < len(decisionNames) {
		return decisionNames[v]
	}
	return "verdict " + strconv.Itoa(int(v))
}

// Result is what became of one record.
type Result struct {
	Verdict Verdict
	// Change is nil when the record is none.
	Change *Change
	// Version is the version after the record.
	Version model.Version
	// Problem says why a change is invalid or a record ignored.
	Problem error
}

// The bounds of the configuration, in bytes.
const (
	// MaxChange bounds one encoded change.
	MaxChange = 256 << 10
	// MaxState bounds the documents and their keys together.
	MaxState = 1 << 20
)

// LimitError tells that a bound would be exceeded.
type LimitError struct {
	What  string
	Size  int
	Limit int
}

// Error names the bound.
func (e *LimitError) Error() string {
	return e.What + ": " + strconv.Itoa(e.Size) + " bytes exceed the limit of " + strconv.Itoa(e.Limit)
}
