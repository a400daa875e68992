package decision

import (
	"context"
	"log/slog"
)

// Logger returns a logger for lines that are no decisions. They wait among those that are,
// and are dropped like lines of State: who writes one never waits for its reader.
func (l *Log) Logger() *slog.Logger { return slog.New(queued{log: l, to: l.opts.Handler}) }

// queued is a handler that has lines written by the goroutine of a Log.
type queued struct {
	log *Log
	to  slog.Handler
}

// Enabled implements slog.Handler.
func (q queued) Enabled(ctx context.Context, level slog.Level) bool { return q.to.Enabled(ctx, level) }

// WithAttrs implements slog.Handler.
func (q queued) WithAttrs(attrs []slog.Attr) slog.Handler {
	return queued{q.log, q.to.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (q queued) WithGroup(name string) slog.Handler { return queued{q.log, q.to.WithGroup(name)} }

// Handle implements slog.Handler.
func (q queued) Handle(_ context.Context, r slog.Record) error {
	q.log.mu.Lock()
	defer q.log.mu.Unlock()
	if q.log.closed {
		q.log.drop(State)
		return nil
	}
	q.log.push(State, r.Clone(), q.to)
	return nil
}
