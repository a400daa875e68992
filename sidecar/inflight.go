package sidecar

import "sync"

// inFlightRequests counts the callers' requests in flight. Once closed, it admits no further
// request. Therefore no request can start between the check that none is in flight and the
// closing of the connections. It is safe for concurrent use.
type inFlightRequests struct {
	mu           sync.Mutex
	requestCount int
	closed       bool
}

// begin counts a request and returns true. It returns false if no further request is admitted.
func (r *inFlightRequests) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.requestCount++
	return true
}

func (r *inFlightRequests) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requestCount--
}

func (r *inFlightRequests) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requestCount
}

// closeIfIdle stops admitting requests if none is in flight and otherwiseIdle returns true.
// otherwiseIdle reports whether no other work is left. closeIfIdle returns whether admission has
// stopped, also if an earlier call stopped it.
func (r *inFlightRequests) closeIfIdle(otherwiseIdle func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = r.closed || (r.requestCount == 0 && otherwiseIdle())
	return r.closed
}

// close stops admitting requests, even if some are in flight.
func (r *inFlightRequests) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}
