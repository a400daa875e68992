package recordlog

import (
	"context"
	"sync"
	"time"
)

// Batcher is a Log that joins appends to one stream that come at about the same
// time into one. It is safe for concurrent use.
type Batcher struct {
	Log
	// Window is how long an append waits for others. Default: 10ms.
	Window time.Duration
	// Timeout bounds a joined append. Default: 3s.
	Timeout time.Duration

	mu      sync.Mutex
	pending map[string]*pendingBatch
}

const (
	defaultWindow  = 10 * time.Millisecond
	defaultTimeout = 3 * time.Second
	// maxBatchRecords and maxBatchBytes close a batch to further appends.
	maxBatchRecords = 256
	maxBatchBytes   = 1 << 20
)

// pendingBatch is one append being gathered. first and err are set before done is
// closed.
type pendingBatch struct {
	records     [][]byte
	bytes       int
	done        chan struct{}
	firstOffset Offset
	err         error
}

// Append implements Log. When the context ends before the joined append has,
// the records may have been appended.
func (b *Batcher) Append(ctx context.Context, stream string, records [][]byte) (Offset, error) {
	joined, at := b.enqueue(stream, records)
	select {
	case <-joined.done:
		return joined.firstOffset + Offset(at), joined.err
	case <-ctx.Done():
		return 0, &AppendError{Stream: stream, Uncertain: true, Err: ctx.Err()}
	}
}

// enqueue adds the records to the open batch and returns it with their place.
func (b *Batcher) enqueue(stream string, records [][]byte) (*pendingBatch, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending == nil {
		b.pending = make(map[string]*pendingBatch)
	}
	current := b.pending[stream]
	if current == nil || len(current.records)+len(records) > maxBatchRecords || current.bytes > maxBatchBytes {
		current = &pendingBatch{done: make(chan struct{})}
		b.pending[stream] = current
		go b.flush(stream, current)
	}
	at := len(current.records)
	current.records = append(current.records, records...)
	for _, r := range records {
		current.bytes += len(r)
	}
	return current, at
}

func (b *Batcher) flush(stream string, current *pendingBatch) {
	window, timeout := b.Window, b.Timeout
	if window <= 0 {
		window = defaultWindow
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	time.Sleep(window)
	b.mu.Lock()
	if b.pending[stream] == current {
		delete(b.pending, stream)
	}
	records := current.records
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	current.firstOffset, current.err = b.Log.Append(ctx, stream, records)
	close(current.done)
}
