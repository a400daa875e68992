package recordlog

import (
	"context"
	"sync"
	"time"
)

// Batcher is a Log that merges appends to the same stream into one append if they
// arrive within Window. It is safe for concurrent use.
type Batcher struct {
	// Log receives the merged appends. Reads go to it unchanged.
	Log
	// Window is how long the first append of a batch waits for others to be
	// merged with it. Default: 10ms.
	Window time.Duration
	// Timeout is the time limit of a merged append. Default: 3s.
	Timeout time.Duration

	mu sync.Mutex
	// pendingByStream holds, for each stream, the batch that still accepts records.
	pendingByStream map[string]*pendingBatch
}

const (
	defaultWindow  = 10 * time.Millisecond
	defaultTimeout = 3 * time.Second
	// maxBatchRecords is the largest number of records in a batch of several
	// appends. A single append with more records forms a batch of its own.
	maxBatchRecords = 256
	// maxBatchBytes is the total size of records above which a batch accepts no more
	// appends. The append that exceeds this size still belongs to the batch.
	maxBatchBytes = 1 << 20
)

// pendingBatch collects the records of several appends to one stream.
type pendingBatch struct {
	records [][]byte
	// bytes is the total size of records.
	bytes int
	// done is closed when the merged append has ended.
	done chan struct{}
	// firstOffset is the offset of records[0] in the stream. It is set before done
	// is closed.
	firstOffset Offset
	// err is the error of the merged append. It is set before done is closed.
	err error
}

// Append implements Log. It waits until the merged append has ended. If the context
// ends first, Append returns an AppendError with Uncertain set, because the merged
// append is not cancelled and may still take effect.
func (b *Batcher) Append(ctx context.Context, stream string, records [][]byte) (Offset, error) {
	batch, index := b.enqueue(stream, records)
	select {
	case <-batch.done:
		return batch.firstOffset + Offset(index), batch.err
	case <-ctx.Done():
		return 0, &AppendError{Stream: stream, Uncertain: true, Err: ctx.Err()}
	}
}

// enqueue adds the records to the pending batch of the stream. If there is no pending
// batch, or if the pending batch is too large, enqueue adds them to a new batch and starts
// its flush. It returns the batch and the index of records[0] in the batch.
func (b *Batcher) enqueue(stream string, records [][]byte) (*pendingBatch, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pendingByStream == nil {
		b.pendingByStream = make(map[string]*pendingBatch)
	}
	batch := b.pendingByStream[stream]
	if batch == nil || len(batch.records)+len(records) > maxBatchRecords || batch.bytes > maxBatchBytes {
		batch = &pendingBatch{done: make(chan struct{})}
		b.pendingByStream[stream] = batch
		go b.flush(stream, batch)
	}
	index := len(batch.records)
	batch.records = append(batch.records, records...)
	for _, r := range records {
		batch.bytes += len(r)
	}
	return batch, index
}

// flush waits for the duration Window. Then the batch accepts no more records. flush
// appends the records of the batch to the log, sets the result of the batch and closes
// done.
func (b *Batcher) flush(stream string, batch *pendingBatch) {
	window, timeout := b.Window, b.Timeout
	if window <= 0 {
		window = defaultWindow
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	time.Sleep(window)
	b.mu.Lock()
	if b.pendingByStream[stream] == batch {
		delete(b.pendingByStream, stream)
	}
	records := batch.records
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	batch.firstOffset, batch.err = b.Log.Append(ctx, stream, records)
	close(batch.done)
}
