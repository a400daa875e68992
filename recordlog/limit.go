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
	// MaxSystemAppendsPerSecond bounds the appends of all daemons together.
	MaxSystemAppendsPerSecond = 300
	// maxDaemonAppendsPerSecond bounds the share of one daemon, also when there
	// are only a few.
	maxDaemonAppendsPerSecond = 20
	appendBurst               = 8
)

// ErrRateLimited is the cause of the error of an append that the rate limit
// would have delayed beyond the end of its context.
var ErrRateLimited = errors.New("append rate limit reached")

// NewRateLimitedLog returns a RateLimitedLog for a deployment of one daemon.
func NewRateLimitedLog(log Log) *RateLimitedLog {
	return &RateLimitedLog{Log: log, limiter: rate.NewLimiter(maxDaemonAppendsPerSecond, appendBurst)}
}

// SetDaemonCount limits this process to its share of the appends of n daemons.
func (l *RateLimitedLog) SetDaemonCount(n int) {
	share := float64(MaxSystemAppendsPerSecond) / float64(max(n, 1))
	l.limiter.SetLimit(rate.Limit(min(share, maxDaemonAppendsPerSecond)))
}

// Append implements Log. It waits until the rate limit admits the append. If the
// context ends before that, or its deadline is too near, Append returns an
// AppendError that is not uncertain: the records have not been appended.
func (l *RateLimitedLog) Append(ctx context.Context, stream string, records [][]byte) (Offset, error) {
	if err := l.limiter.Wait(ctx); err != nil {
		return 0, &AppendError{Stream: stream, Err: errors.Join(ErrRateLimited, err)}
	}
	return l.Log.Append(ctx, stream, records)
}
