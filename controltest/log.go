package controltest

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dottereltiller/dottereltiller/recordlog"
)

// LogConnection is the connection of one daemon to the log. It counts the daemon's
// reads and appends, and can be interrupted.
type LogConnection struct {
	Log recordlog.Log
	// Reads counts the reads and Appends the appends, each including failed ones.
	// Several connections may share the counters.
	Reads, Appends *atomic.Int64

	mu           sync.Mutex
	disconnected bool
}

// SetDisconnected interrupts the connection to the log, or restores it.
func (l *LogConnection) SetDisconnected(disconnected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnected = disconnected
}

// waitReachable returns nil at once if the connection is up. If the connection is
// interrupted, it waits for a timeout, like a request that gets no response, and
// returns ErrUnreachable. If the context ends first, it returns the error of the
// context.
func (l *LogConnection) waitReachable(ctx context.Context) error {
	const timeout = 2 * time.Second
	l.mu.Lock()
	disconnected := l.disconnected
	l.mu.Unlock()
	if !disconnected {
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
