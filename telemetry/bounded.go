package telemetry

import "sync"

// BoundedMetrics holds a metric for each key, up to a bound. It is safe for concurrent use
// and allocates nothing for a key that it holds.
type BoundedMetrics[K comparable, M any] struct {
	most  int
	other func(K) K
	add   func(K) M

	mu  sync.RWMutex
	all map[K]M
}

// NewBoundedMetrics returns a BoundedMetrics without metrics. Beyond most of them, keys share the
// metrics of those that other makes of them. Add makes the metric of a key.
func NewBoundedMetrics[K comparable, M any](most int, other func(K) K, add func(K) M) *BoundedMetrics[K, M] {
	return &BoundedMetrics[K, M]{most: most, other: other, add: add, all: make(map[K]M)}
}

// Get returns the metric of a key.
func (b *BoundedMetrics[K, M]) Get(k K) M {
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
