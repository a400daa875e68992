package recordlog

import (
	"context"
	"fmt"
)

// Offset is the position of a record in its stream, counted from 0.
type Offset uint64

// The streams that the daemons and the operator's command write.
const (
	// StreamConfig holds changes of the configuration, and checkpoints of it.
	StreamConfig = "config"
	// StreamMembership holds the events of upstreams: joined, draining, left.
	StreamMembership = "membership"
	// StreamGrants holds the grants by which daemons own idempotency keys,
	// transfers of that ownership, and checkpoints of its state.
	StreamGrants = "grants"
)

// Record is one record as read from a stream.
type Record struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch holds consecutive records of a stream.
type Batch struct {
	Records []Record `json:"records"`
	// Oldest is the oldest offset that the log still keeps.
	Oldest Offset `json:"oldest"`
	// Next is the offset after the newest record of the stream.
	Next Offset `json:"next"`
}

// Log is the part of the platform's log service that the load balancer uses.
type Log interface {
	// Append appends records to a stream in one operation, in order, and
	// returns the offset of the first. If it returns an *AppendError with
	// Uncertain set, the records may have been appended.
	Append(ctx context.Context, stream string, records [][]byte) (Offset, error)
	// Read returns up to limit records, starting at offset from. At the end of
	// the stream it returns a Batch without records. If the log no longer keeps
	// the record at from, it returns a *TrimmedError.
	Read(ctx context.Context, stream string, from Offset, limit int) (Batch, error)
}

// AppendError is the error of a failed append.
type AppendError struct {
	Stream string
	// Uncertain is set if the records may have been appended despite the error.
	Uncertain bool
	Err       error
}

// Error implements error.
func (e *AppendError) Error() string {
	state := "not appended"
	if e.Uncertain {
		state = "may have been appended"
	}
	return fmt.Sprintf("append to %s: %s: %v", e.Stream, state, e.Err)
}

// Unwrap returns the cause.
func (e *AppendError) Unwrap() error { return e.Err }

// TrimmedError is the error of a read below the oldest offset that the log still
// keeps.
type TrimmedError struct {
	Stream string
	// Oldest is the oldest offset that the log still keeps.
	Oldest Offset
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s: records below %d are no longer kept", e.Stream, e.Oldest)
}
