package controltest

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dottereltiller/dottereltiller/recordlog"
)

// LogConnection is the log as one daemon reaches it: it can be cut off from it, and
// counts what it asks.
type LogConnection struct {
	Log recordlog.Log
	// Reads and Appends count the operations of all links that share them.
	Reads, Appends *atomic.Int64

	mu           sync.Mutex
	disconnected bool
}

// SetDisconnected cuts the daemon off from the log, or connects it again.
func (l *LogConnection) SetDisconnected(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnected = cut
}

func (l *LogConnection) waitReachable(ctx context.Context) error {
	const timeout = 2 * time.Second
	l.mu.Lock()
	cut := l.disconnected
	l.mu.Unlock()
	if !cut {
		return nil
	}
	if err := sleep(ctx, timeout); err != nil {
		return err
	}
	return ErrUnreachable
}

// Append implements recordlog.Log.
func (l *LogConnection) Append(ctx context.Context, stream string, records [][]byte) (recordlog.Offset, error) {
	l.Appends.Add(1)
	if err := l.waitReachable(ctx); err != nil {
		return 0, &recordlog.AppendError{Stream: stream, Uncertain: true, Err: err}
	}
	return l.Log.Append(ctx, stream, records)
}

// Read implements recordlog.Log.
func (l *LogConnection) Read(ctx context.Context, stream string, from recordlog.Offset, limit int) (recordlog.Batch, error) {
	l.Reads.Add(1)
	if err := l.waitReachable(ctx); err != nil {
		return recordlog.Batch{}, err
	}
	return l.Log.Read(ctx, stream, from, limit)
}
