package quarantine

import "time"

const (
	// survivalPeriod is how long a complete response shows that its request does not crash
	// upstreams. A crash that comes later may count against the request.
	survivalPeriod = time.Second
	// answeredPeriod is how long a request that got a complete response is less suspected than those
	// that did not.
	answeredPeriod = time.Minute
	// maxResponses is the maximum number of requests in each of the two maps of a recentResponses.
	maxResponses = 4096
)

// recentResponses holds when requests last got a complete response, in Unix milliseconds, for at
// least answeredPeriod. With more than maxResponses different requests in that time it forgets the
// oldest ones sooner.
type recentResponses struct {
	current, previous map[Fingerprint]int64
	// startedAt is when current was created, in Unix milliseconds.
	startedAt int64
}

// add records a complete response to a request.
func (r *recentResponses) add(now int64, f Fingerprint) {
	if r.current == nil || len(r.current) >= maxResponses || now-r.startedAt >= answeredPeriod.Milliseconds() {
		r.previous, r.current, r.startedAt = r.current, make(map[Fingerprint]int64), now
	}
	r.current[f] = now
}

// survivedUntil returns the time in Unix milliseconds up to which crashes do not count against a
// request, because of its last response. It returns 0 if no recent response is known.
func (r *recentResponses) survivedUntil(f Fingerprint) int64 {
	at := max(r.current[f], r.previous[f])
	if at == 0 {
		return 0
	}
	return at + survivalPeriod.Milliseconds()
}
