package recordlog

import (
	"context"
	"errors"
	"sync"
	"time"
)

// FaultyLog is a Log that fails as the platform's service is known to. Its faults
// can be changed at any time. The zero value of every field means no fault.
type FaultyLog struct {
	Log
	mu     sync.Mutex
	faults Faults
}

// Faults are the faults of a FaultyLog.
type Faults struct {
	// Down makes every append and read fail without effect.
	Down bool `json:"down"`
	// Latency is added to every append and read, in nanoseconds.
	Latency time.Duration `json:"latency_ns"`
	// LoseReplies is the number of next appends that take effect and fail.
	LoseReplies int `json:"lose_replies"`
	// Duplicate is the number of next appends that take effect twice, as when
	// a retry on the way repeats them.
	Duplicate int `json:"duplicate"`
}

// The causes of the failures that a FaultyLog makes.
var (
	ErrDown      = errors.New("log is down")
	ErrReplyLost = errors.New("reply was lost")
)

// NewFaultyLog returns a FaultyLog without faults.
func NewFaultyLog(log Log) *FaultyLog { return &FaultyLog{Log: log} }

// SetFaults replaces the faults.
func (f *FaultyLog) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Append implements Log.
func (f *FaultyLog) Append(ctx context.Context, stream string, records [][]byte) (Offset, error) {
	now := f.takeFaults(true)
	if err := now.inject(ctx); err != nil {
		return 0, &AppendError{Stream: stream, Err: err}
	}
	first, err := f.Log.Append(ctx, stream, records)
	if err == nil && now.Duplicate > 0 {
		_, err = f.Log.Append(ctx, stream, records)
	}
	if err == nil && now.LoseReplies > 0 {
		return 0, &AppendError{Stream: stream, Uncertain: true, Err: ErrReplyLost}
	}
	return first, err
}

// Read implements Log.
func (f *FaultyLog) Read(ctx context.Context, stream string, from Offset, limit int) (Batch, error) {
	now := f.takeFaults(false)
	if err := now.inject(ctx); err != nil {
		return Batch{}, err
	}
	return f.Log.Read(ctx, stream, from, limit)
}

// takeFaults returns the faults that hold for one operation and counts it.
func (f *FaultyLog) takeFaults(isAppend bool) Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.faults
	if isAppend && !now.Down {
		f.faults.LoseReplies = max(0, f.faults.LoseReplies-1)
		f.faults.Duplicate = max(0, f.faults.Duplicate-1)
	}
	return now
}

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
