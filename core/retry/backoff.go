package retry

import "time"

const (
	backoffBase = 2 * time.Millisecond
	maxBackoff  = 100 * time.Millisecond
	// backoffPart is the part of the time left that a wait may take.
	remainingDivisor = 4
)

// Backoff returns how long to wait before the retry with the given number,
// which counts from 1. The wait is drawn evenly from zero to a bound that
// doubles with each retry; random is a number from 0 to below 1. It reports
// false when the wait would take more than a quarter of the time left.
func Backoff(retry int, remaining time.Duration, random float64) (time.Duration, bool) {
	bound := maxBackoff
	if shift := retry - 1; shift < 10 {
		bound = min(backoffBase<<max(shift, 0), maxBackoff)
	}
	wait := time.Duration(random * float64(bound))
	return wait, remaining > 0 && wait <= remaining/remainingDivisor
}
