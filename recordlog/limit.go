package recordlog

import (
	"context"
	"errors"

	"golang.org/x/time/rate"
)

// RateLimitedLog is a Log that keeps the appends of this process under a rate, so that
// all processes together stay under what the log takes.
type RateLimitedLog struct {
	Log
	limiter *rate.Limiter
}

const (
	// MaxSystemAppendsPerSecond is the number of appends a second that all daemons together
	// may make.
	MaxSystemAppendsPerSecond = 300
	// maxDaemonAppendsPerSecond is the most that one daemon takes of it, a second.
	maxDaemonAppendsPerSecond = 20
	appendBurst               = 8
)

// ErrRateLimited is the cause of an append that waited in vain for its turn.
var ErrRateLimited = errors.New("limit of appends reached")

// NewRateLimitedLog returns a RateLimitedLog over a log for a deployment of one daemon.
func NewRateLimitedLog(log Log) *RateLimitedLog {
	return &RateLimitedLog{Log: log, limiter: rate.NewLimiter(maxDaemonAppendsPerSecond, appendBurst)}
}

// SetDaemonCount gives this process its share among a number of daemons.
func (l *RateLimitedLog) SetDaemonCount(n int) {
	share := float64(MaxSystemAppendsPerSecond) / float64(max(n, 1))
	l.limiter.SetLimit(rate.Limit(min(share, maxDaemonAppendsPerSecond)))
}

// Append implements Log. It waits for its turn; when the context does not allow
// that, the records have certainly not been appended.
func (l *RateLimitedLog) Append(ctx context.Context, stream string, records [][]byte) (Offset, error) {
	if err := l.limiter.Wait(ctx); err != nil {
		return 0, &AppendError{Stream: stream, Err: errors.Join(ErrRateLimited, err)}
	}
	return l.Log.Append(ctx, stream, records)
}
