package telemetry

import "sync"

// Bounded holds a metric for each key, up to a bound. It is safe for concurrent use
// and allocates nothing for a key that it holds.
type Bounded[K comparable, M any] struct {
	most  int
	other func(K) K
	add   func(K) M

	mu  sync.RWMutex
	all map[K]M
}

// NewBounded returns a Bounded without metrics. Beyond most of them, keys share the
// metrics of those that other makes of them. Add makes the metric of a key.
func NewBounded[K comparable, M any](most int, other func(K) K, add func(K) M) *Bounded[K, M] {
	return &Bounded[K, M]{most: most, other: other, add: add, all: make(map[K]M)}
}

// Of returns the metric of a key.
func (b *Bounded[K, M]) Of(k K) M {
	b.mu.RLock()
	m, ok := b.all[k]
	b.mu.RUnlock()
	if ok {
		return m
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if m, ok := b.all[k]; ok {
		return m
	}
	if len(b.all) >= b.most {
		k = b.other(k)
		if m, ok := b.all[k]; ok {
			return m
		}
	}
	m = b.add(k)
	b.all[k] = m
	return m
}
