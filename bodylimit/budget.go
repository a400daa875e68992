package bodylimit

import (
	"errors"
	"sync"
)

// Budget limits the memory for the bodies of all responses in hand. Unlike the length of a request body, that
// of a response is up to an upstream, which may send bytes without end. So no holder may take more than
// what it leaves free: bodies that grow without end are cut off, while short ones still find room. A Budget is safe
// for concurrent use.
type Budget struct {
	maxBytes int64

	mu sync.Mutex
	// usedBytes is how many bytes all holders together have taken.
	usedBytes int64
}

// NewBudget returns a Budget of the given number of bytes. Zero or less means DefaultBytes.
func NewBudget(maxBytes int64) *Budget {
	if maxBytes <= 0 {
		maxBytes = DefaultBytes
	}
	return &Budget{maxBytes: maxBytes}
}

// Used returns how many bytes all holders together have taken.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usedBytes
}

// Holder is what the responses to one request take of a Budget. It is safe for concurrent use. A nil
// *Holder is unlimited.
type Holder struct {
	budget *Budget
	// owners counts the owners that have not released the Holder. budget.mu guards it and takenBytes.
	owners     int
	takenBytes int64
}

// NewHolder returns a Holder with one owner.
func (b *Budget) NewHolder() *Holder { return &Holder{budget: b, owners: 1} }

var (
	// ErrResponseTooLarge is returned when responses would take more of a Budget than they leave free.
	ErrResponseTooLarge = errors.New("response body takes too much of the memory for responses")
	// ErrReleased is returned when a Holder has no owner left, so that nobody needs the response.
	ErrReleased = errors.New("nobody waits for the response any more")
)

// Grow takes n more bytes. It returns ErrResponseTooLarge if the Holder would then have taken more than is free,
// and ErrReleased if it has no owner.
func (h *Holder) Grow(n int64) error {
	if h == nil {
		return nil
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	switch free := h.budget.maxBytes - h.budget.usedBytes - n; {
	case h.owners == 0:
		return ErrReleased
	case h.takenBytes+n > free:
		return ErrResponseTooLarge
	}
	h.take(n)
	return nil
}

// Add takes n bytes of memory that is in use already, whatever is free.
func (h *Holder) Add(n int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.owners > 0 {
		h.take(n)
	}
}

// take accounts for n bytes. budget.mu is held.
func (h *Holder) take(n int64) {
	h.takenBytes += n
	h.budget.usedBytes += n
}

// Retain adds an owner.
func (h *Holder) Retain() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.owners++
}

// Release removes an owner. The last one returns what the Holder has taken.
func (h *Holder) Release() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.owners--; h.owners == 0 {
		h.budget.usedBytes -= h.takenBytes
		h.takenBytes = 0
	}
}
