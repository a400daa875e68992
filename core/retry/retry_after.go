package retry

import "time"

// retryAfterJitter is the difference between the longest and the shortest time that
// JitteredRetryAfter returns, as a share of the mean.
const retryAfterJitter = 0.5

// JitteredRetryAfter returns the time after which a refused caller should retry: a random time
// around mean. When upstreams are lost or a burst arrives, many callers are refused at the same
// moment. Without jitter they would all retry at the same moment and be refused again.
// randomFraction is a random number from 0 to below 1.
func JitteredRetryAfter(mean time.Duration, randomFraction float64) time.Duration {
	return time.Duration(float64(mean) * (1 - retryAfterJitter/2 + retryAfterJitter*randomFraction))
}
