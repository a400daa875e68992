package decision

import (
	"context"
	"log/slog"
)

// Logger returns a logger for lines that are not decisions. Its lines go through the queue
// of l, so logging does not block while the output blocks. Like State lines, they are not
// rate limited, but they are dropped when the queue is full.
func (l *Log) Logger() *slog.Logger { return slog.New(queueHandler{log: l, next: l.opts.Handler}) }

// queueHandler is a slog.Handler that puts records into the queue of log. The goroutine
// that writes the lines of log passes the records to next.
type queueHandler struct {
	log  *Log
	next slog.Handler
}

// Enabled implements slog.Handler.
func (q queueHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return q.next.Enabled(ctx, level)
}

// WithAttrs implements slog.Handler.
func (q queueHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return queueHandler{q.log, q.next.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (q queueHandler) WithGroup(name string) slog.Handler {
	return queueHandler{q.log, q.next.WithGroup(name)}
}

// Handle implements slog.Handler. It never returns an error. It drops and counts the record
// if the queue is full or the Log is closed.
func (q queueHandler) Handle(_ context.Context, r slog.Record) error {
	q.log.mu.Lock()
	defer q.log.mu.Unlock()
	if q.log.closed {
		q.log.countDropped(State)
		return nil
	}
	q.log.enqueue(State, r.Clone(), q.next)
	return nil
}
