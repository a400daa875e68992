package recordlog

import (
	"context"
	"errors"

	"golang.org/x/time/rate"
)

// RateLimitedLog is a Log that limits the append rate of this process, so that
// all daemons together stay within the capacity of the log.
type RateLimitedLog struct {
	Log
	limiter *rate.Limiter
}

const (
	// MaxSystemAppendsPerSecond bounds the rate of appends of all daemons together.
	MaxSystemAppendsPerSecond = 300
	// maxDaemonAppendsPerSecond bounds the append rate of a single daemon. It takes
	// effect if there are so few daemons that an equal share of
	// MaxSystemAppendsPerSecond would be larger.
	maxDaemonAppendsPerSecond = 20
	// appendBurst is the number of appends that a daemon may make at once if it has
	// made none for a while.
	appendBurst = 8
)

// ErrRateLimited is wrapped in the error of an append that was not made because
// the rate limit would have delayed the append beyond the end of its context.
var ErrRateLimited = errors.New("append rate limit reached")

// NewRateLimitedLog returns a RateLimitedLog with the limit that applies if this
// is the only daemon. SetDaemonCount changes the limit.
func NewRateLimitedLog(log Log) *RateLimitedLog {
	return &RateLimitedLog{Log: log, limiter: rate.NewLimiter(maxDaemonAppendsPerSecond, appendBurst)}
}

// SetDaemonCount sets the limit of this process for a deployment of n daemons. The
// limit is an nth of MaxSystemAppendsPerSecond, but at most
// maxDaemonAppendsPerSecond.
func (l *RateLimitedLog) SetDaemonCount(n int) {
	share := float64(MaxSystemAppendsPerSecond) / float64(max(n, 1))
	l.limiter.SetLimit(rate.Limit(min(share, maxDaemonAppendsPerSecond)))
}

// Append implements Log. It waits until the rate limit admits the append. If the
// context ends during the wait, Append returns an AppendError that wraps
// ErrRateLimited. If the wait would end after the deadline of the context, Append
// returns the same error without waiting. In both cases Uncertain is not set,
// because the records have not been appended.
func (l *RateLimitedLog) Append(ctx context.Context, stream string, records [][]byte) (Offset, error) {
	if err := l.limiter.Wait(ctx); err != nil {
		return 0, &AppendError{Stream: stream, Err: errors.Join(ErrRateLimited, err)}
	}
	return l.Log.Append(ctx, stream, records)
}
