package retry

import "time"

const (
	// backoffBase bounds the first wait. The bound doubles with each retry up to
	// maxBackoff.
	backoffBase = 2 * time.Millisecond
	maxBackoff  = 100 * time.Millisecond
	// A wait may take at most 1/remainingDivisor of the time that remains.
	remainingDivisor = 4
)

// Backoff returns how long to wait before the retry with the given number; the first
// retry has number 1. The wait is uniformly distributed between zero and a bound that
// doubles with each retry (full jitter); random is a number from 0 to below 1. Backoff
// returns false if the wait would take more than a quarter of the remaining time.
func Backoff(retryNumber int, remaining time.Duration, random float64) (time.Duration, bool) {
	bound := maxBackoff
	if shift := retryNumber - 1; shift < 10 {
		bound = min(backoffBase<<max(shift, 0), maxBackoff)
	}
	wait := time.Duration(random * float64(bound))
	return wait, remaining > 0 && wait <= remaining/remainingDivisor
}
