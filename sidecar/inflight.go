package sidecar

import "sync"

// inHand counts the callers' requests in hand. Once it has ended, no further request is
// passed on, so that none arrives between the check that nothing is in hand and the closing
// of the connections. It is safe for concurrent use.
type inHand struct {
	mu    sync.Mutex
	n     int
	ended bool
}

// begin counts a request, and reports whether it may be passed on.
func (h *inHand) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return false
	}
	h.n++
	return true
}

// done notes that a request is no longer in hand.
func (h *inHand) done() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.n--
}

// count returns how many requests are in hand.
func (h *inHand) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.n
}

// endIdle ends it if no request is in hand and nothing else is under way either, and
// reports whether it has ended.
func (h *inHand) endIdle(nothingElse func() bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = h.ended || (h.n == 0 && nothingElse())
	return h.ended
}

// end ends it, whatever is in hand.
func (h *inHand) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
}
