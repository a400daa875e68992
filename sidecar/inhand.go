package sidecar

import "sync"

// inHand counts the callers' requests that are in hand. Once it has ended it takes no
// more, so that a daemon that found none closes no connection under one that came since.
// It is safe for concurrent use.
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

// done takes in that a request is no longer in hand.
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

// endIdle ends it if nothing is in hand and also agrees, and reports whether it has.
func (h *inHand) endIdle(also func() bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = h.ended || h.n == 0 && also()
	return h.ended
}

// end ends it, whatever is in hand.
func (h *inHand) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
}
