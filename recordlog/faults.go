package recordlog

import (
	"context"
	"errors"
	"sync"
	"time"
)

// FaultyLog is a Log that injects the faults that the platform's log service is
// known for. The faults can be changed at any time.
type FaultyLog struct {
	// Log is the log into which the faults are injected.
	Log
	mu sync.Mutex
	// faults are the faults to inject into the next operation.
	faults Faults
}

// Faults are the faults that a FaultyLog injects. The zero value of a field means that
// the fault described by the field is not injected.
type Faults struct {
	// Down makes every append and read fail without effect.
	Down bool `json:"down"`
	// Latency is added to every append and read, in nanoseconds.
	Latency time.Duration `json:"latency_ns"`
	// LoseReplies is the number of appends, from the next one on, that take
	// effect but return an error.
	LoseReplies int `json:"lose_replies"`
	// Duplicate is the number of appends, from the next one on, that take
	// effect twice, as if a proxy had repeated the request.
	Duplicate int `json:"duplicate"`
}

// The errors that a FaultyLog injects.
var (
	// ErrDown is the error of every operation while Faults.Down is set.
	ErrDown = errors.New("log is down")
	// ErrReplyLost is the error of an append that Faults.LoseReplies applies to.
	ErrReplyLost = errors.New("response was lost")
)

// NewFaultyLog returns a FaultyLog that injects no faults yet.
func NewFaultyLog(log Log) *FaultyLog { return &FaultyLog{Log: log} }

// SetFaults replaces the injected faults.
func (f *FaultyLog) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Append implements Log. It returns the offset of the first copy if the append takes
// effect twice.
func (f *FaultyLog) Append(ctx context.Context, stream string, records [][]byte) (Offset, error) {
	faults := f.consumeFaults(true)
	if err := faults.inject(ctx); err != nil {
		return 0, &AppendError{Stream: stream, Err: err}
	}
	firstOffset, err := f.Log.Append(ctx, stream, records)
	if err == nil && faults.Duplicate > 0 {
		_, err = f.Log.Append(ctx, stream, records)
	}
	if err == nil && faults.LoseReplies > 0 {
		return 0, &AppendError{Stream: stream, Uncertain: true, Err: ErrReplyLost}
	}
	return firstOffset, err
}

// Read implements Log.
func (f *FaultyLog) Read(ctx context.Context, stream string, from Offset, limit int) (Batch, error) {
	faults := f.consumeFaults(false)
	if err := faults.inject(ctx); err != nil {
		return Batch{}, err
	}
	return f.Log.Read(ctx, stream, from, limit)
}

// consumeFaults returns the faults for the next operation. If that operation is an
// append and the log is up, consumeFaults then decrements the LoseReplies and Duplicate
// that are left for later appends, down to zero.
func (f *FaultyLog) consumeFaults(isAppend bool) Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	faults := f.faults
	if isAppend && !faults.Down {
		f.faults.LoseReplies = max(0, f.faults.LoseReplies-1)
		f.faults.Duplicate = max(0, f.faults.Duplicate-1)
	}
	return faults
}

// inject waits for Latency, then returns ErrDown if Down is set. If the context ends
// during the wait, it returns the error of the context.
func (f Faults) inject(ctx context.Context) error {
	if f.Latency > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(f.Latency):
		}
	}
	if f.Down {
		return ErrDown
	}
	return nil
}
