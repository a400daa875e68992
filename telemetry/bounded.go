package telemetry

import "sync"

// BoundedMetrics holds one metric for each key, with a limit on the number of keys,
// so that keys from the network cannot create metrics without end. It is safe for
// concurrent use and does not allocate for a key that it holds.
type BoundedMetrics[K comparable, M any] struct {
	most  int
	other func(K) K
	add   func(K) M

	mu  sync.RWMutex
	all map[K]M
}

// NewBoundedMetrics returns an empty BoundedMetrics. The function newMetric creates
// the metric of a key. Once maxKeys keys are held, each further key is replaced by
// overflowKey of it, so that further keys share the metrics of a few overflow keys.
func NewBoundedMetrics[K comparable, M any](most int, other func(K) K, add func(K) M) *BoundedMetrics[K, M] {
	return &BoundedMetrics[K, M]{most: most, other: other, add: add, all: make(map[K]M)}
}

// Get returns the metric of a key. It creates the metric on first use.
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
