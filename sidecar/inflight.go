package sidecar

import "sync"

// inFlightRequests counts the callers' requests in flight. Once closed, it admits no further request,
// so that none can start between the check that nothing is in flight and the closing of the
// connections. It is safe for concurrent use.
type inFlightRequests struct {
	mu     sync.Mutex
	n      int
	closed bool
}

// begin counts a request and reports whether it may be forwarded.
func (h *inFlightRequests) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.n++
	return true
}

// done marks a request as completed.
func (h *inFlightRequests) done() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.n--
}

// count returns the number of requests in flight.
func (h *inFlightRequests) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.n
}

// closeIfIdle stops admitting requests if none is in flight and nothingElse confirms that no
// other work is left. It reports whether admission has stopped.
func (h *inFlightRequests) closeIfIdle(nothingElse func() bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = h.closed || (h.n == 0 && nothingElse())
	return h.closed
}

// close stops admitting requests, even if some are in flight.
func (h *inFlightRequests) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
}
