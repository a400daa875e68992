package retry

import "time"

// adviceSpread is the width of the range that advice is drawn from, as a share of the time
// it is drawn around.
const retryAfterSpread = 0.5

// Advice returns when a refused caller is told to come back: a time around after. Many are
// refused at one moment when upstreams are lost or a burst comes, and would all be back at
// one moment, to be refused once more. random is a number from 0 to below 1.
func Advice(mean time.Duration, random float64) time.Duration {
	return time.Duration(float64(mean) * (1 - retryAfterSpread/2 + retryAfterSpread*random))
}
