package retry

import "time"

const (
	// backoffBase is the longest wait before the first retry. The longest wait doubles with
	// each further retry, up to maxBackoff.
	backoffBase = 2 * time.Millisecond
	// maxBackoff is the longest wait before any retry.
	maxBackoff = 100 * time.Millisecond
	// remainingDivisor bounds a wait to 1/remainingDivisor of the time that remains until the
	// deadline.
	remainingDivisor = 4
)

// Backoff returns how long to wait before the retry with the given number. The first retry has
// number 1. The wait is uniformly distributed between zero and a bound that doubles with each
// retry up to maxBackoff (full jitter). remaining is the time until the deadline.
// randomFraction is a random number from 0 to below 1. Backoff returns false if the wait would
// take more than a quarter of the remaining time, or if no time remains.
func Backoff(retryNumber int, remaining time.Duration, randomFraction float64) (time.Duration, bool) {
	bound := maxBackoff
	if shift := retryNumber - 1; shift < 10 {
		bound = min(backoffBase<<max(shift, 0), maxBackoff)
	}
	wait := time.Duration(randomFraction * float64(bound))
	return wait, remaining > 0 && wait <= remaining/remainingDivisor
}
