package recordlog

import (
	"context"
	"fmt"
)

// Offset is the place of a record in its stream, from 0.
type Offset uint64

// The streams that the system keeps.
const (
	StreamConfig     = "config"
	StreamMembership = "membership"
	StreamGrants     = "grants"
)

// Record is one record as read.
type Record struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is a run of records.
type Batch struct {
	Records []Record `json:"records"`
	// Oldest is the oldest offset that is still kept.
	Oldest Offset `json:"oldest"`
	// Next is the offset after the newest record.
	Next Offset `json:"next"`
}

// Log is the platform's log as the rest of the system uses it.
type Log interface {
	// Append appends records to a stream, in order and together, and returns
	// the offset of the first. On an *AppendError with Uncertain set the
	// records may have been appended.
	Append(ctx context.Context, stream string, records [][]byte) (Offset, error)
	// Read returns up to limit records from an offset on. It returns an empty
	// Batch at the end of the stream and a *TrimmedError when the offset is
	// no longer kept.
	Read(ctx context.Context, stream string, from Offset, limit int) (Batch, error)
}

// AppendError is a failed append.
type AppendError struct {
	Stream string
	// Uncertain tells that the append may have taken effect.
	Uncertain bool
	Err       error
}

// Error tells the stream and whether the append may have taken effect.
func (e *AppendError) Error() string {
	state := "not appended"
	if e.Uncertain {
		state = "may have been appended"
	}
	return fmt.Sprintf("append to %s: %s: %v", e.Stream, state, e.Err)
}

// Unwrap returns the cause.
func (e *AppendError) Unwrap() error { return e.Err }

// TrimmedError tells that records below Oldest are no longer kept.
type TrimmedError struct {
	Stream string
	Oldest Offset
}

// Error tells the stream and its oldest offset.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s: records below %d are no longer kept", e.Stream, e.Oldest)
}
