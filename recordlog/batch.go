package recordlog

import (
	"context"
	"sync"
	"time"
)

// Batcher is a Log that joins appends to the same stream which arrive within a
// short window into one append. It is safe for concurrent use.
type Batcher struct {
	Log
	// Window is how long an append waits for others to join it. Default: 10ms.
	Window time.Duration
	// Timeout bounds a joined append. Default: 3s.
	Timeout time.Duration

	mu      sync.Mutex
	pending map[string]*pendingBatch
}

const (
	defaultWindow  = 10 * time.Millisecond
	defaultTimeout = 3 * time.Second
	// A batch takes no append that would give it more than maxBatchRecords
	// records, and no further append once it has more than maxBatchBytes bytes.
	maxBatchRecords = 256
	maxBatchBytes   = 1 << 20
)

// pendingBatch collects the records of several appends to one stream.
// firstOffset and err are set before done is closed.
type pendingBatch struct {
	records     [][]byte
	bytes       int
	done        chan struct{}
	firstOffset Offset
	err         error
}

// Append implements Log. When the context ends before the joined append does,
// it returns an uncertain AppendError: the records may have been appended.
func (b *Batcher) Append(ctx context.Context, stream string, records [][]byte) (Offset, error) {
	joined, index := b.enqueue(stream, records)
	select {
	case <-joined.done:
		return joined.firstOffset + Offset(index), joined.err
	case <-ctx.Done():
		return 0, &AppendError{Stream: stream, Uncertain: true, Err: ctx.Err()}
	}
}

// enqueue adds the records to the pending batch of the stream. It returns the
// batch and the index of the first of the records in it.
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
	index := len(current.records)
	current.records = append(current.records, records...)
	for _, r := range records {
		current.bytes += len(r)
	}
	return current, index
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
