package telemetry

import "sync"

// BoundedMetrics holds one metric for each key. It limits the number of keys, so
// that keys from the network cannot create metrics without end. It is safe for
// concurrent use and does not allocate for a key that it holds.
type BoundedMetrics[K comparable, M any] struct {
	maxKeys     int
	overflowKey func(K) K
	newMetric   func(K) M

	mu      sync.RWMutex
	metrics map[K]M
}

// NewBoundedMetrics returns an empty BoundedMetrics. The function newMetric creates
// the metric of a key. Once maxKeys keys are held, the function overflowKey maps each
// further key to an overflow key, so that further keys share a few metrics.
func NewBoundedMetrics[K comparable, M any](maxKeys int, overflowKey func(K) K, newMetric func(K) M) *BoundedMetrics[K, M] {
	return &BoundedMetrics[K, M]{maxKeys: maxKeys, overflowKey: overflowKey, newMetric: newMetric, metrics: make(map[K]M)}
}

// Get returns the metric of a key. It creates the metric on first use.
func (b *BoundedMetrics[K, M]) Get(k K) M {
	b.mu.RLock()
	m, ok := b.metrics[k]
	b.mu.RUnlock()
	if ok {
		return m
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if m, ok := b.metrics[k]; ok {
		return m
	}
	if len(b.metrics) >= b.maxKeys {
		k = b.overflowKey(k)
		if m, ok := b.metrics[k]; ok {
			return m
		}
	}
	m = b.newMetric(k)
	b.metrics[k] = m
	return m
}
