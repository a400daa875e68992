package overflow

import "time"

// targetShare is a share of the target latency. An upstream that is expected to respond within this share
// responds well within the target.
const targetShare = 0.85

// Local is what a request would get at the best upstream of its own zone.
type Local struct {
	// Expected is the time until the request is expected to complete.
	Expected time.Duration
	// Wait is the part of Expected for which the request waits until it starts.
	Wait time.Duration
}

// Stays reports whether a request stays in its own zone although an upstream of another zone may complete
// it sooner. target is the time left until its target latency; it must be greater than 0. crossing is what
// a request to another zone costs, as a time.
func (l Local) Stays(target, crossing time.Duration) bool {
	return l.Expected < time.Duration(targetShare*float64(target)) && l.Wait <= crossing
}
