package sidecar

import (
	"container/heap"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

const (
	// retentionPastDeadline is how long an attempt stays in the table after its deadline. It
	// exceeds the time that a call or an outcome query may be in transit. It also exceeds the
	// time that a sender needs, after its VM was suspended, to notice that its deadline has
	// passed.
	retentionPastDeadline = 10 * time.Second
	// maxRetainedAttempts limits how many ended attempts stay in the table.
	maxRetainedAttempts = 1 << 14
	// maxRetainedBody is the size, in bytes, of the largest response body that is kept after the
	// response was sent.
	maxRetainedBody = 64 << 10
	// maxRetainedBytes bounds the response bodies in the table that nobody is waiting for, in bytes.
	maxRetainedBytes = 4 << 20
)

// retentionPeriod returns how long after a call was sent the sender may rely on a guard's
// statement that the call has not run. Later, the guard may have evicted the attempt. timeLeft
// is the time that the call had until its deadline when it was sent.
func retentionPeriod(timeLeft time.Duration) time.Duration { return timeLeft + retentionPastDeadline }

// attemptTable is the guard's table of attempts that must not run twice. A sender whose
// connection broke sends an outcome query over another connection. The guard answers the query
// from this table.
//
// An attempt stays in the table while it waits or runs, and normally until retentionPastDeadline
// after its deadline. When the table is full, the attempts closest to expiry are evicted early.
// Until their expiry has passed, any attempt that is missing from the table may have run, and
// its outcome is unknown. The table is safe for concurrent use.
type attemptTable struct {
	now func() model.Instant
	// startedAt is when the table was created, with the start of the daemon.
	startedAt model.Instant

	mu sync.Mutex
	// byKey holds the attempts by Call.Key.
	byKey map[string]*attempt
	// byExpiry holds the same attempts as byKey, ordered by retainUntil.
	byExpiry attemptHeap
	// evictedUntil is the latest expiry among the attempts that were evicted early. Until this
	// time, an attempt that is missing from the table may have run.
	evictedUntil model.Instant

	// retainedBytes is the size of the response bodies that are kept.
	retainedBytes atomic.Int64
}

// attempt is the state of one call at the guard.
type attempt struct {
	key string
	// table is the table that holds the attempt. It is nil if the outcome is never queried.
	table *attemptTable
	// retainUntil is when the attempt expires and may be evicted. An attempt that still waits or
	// runs then is kept longer.
	retainUntil model.Instant
	// cancelSignal is closed when the attempt is cancelled, which is possible only before its
	// start.
	cancelSignal chan struct{}
	// finished is closed when the attempt has ended and result is set.
	finished chan struct{}

	mu        sync.Mutex
	cancelled bool
	started   bool
	result    *Result
	// waiters counts those that wait for the result.
	waiters int
	// retainedBytes is what the result adds to table.retainedBytes.
	retainedBytes int64
	evicted       bool
}

func newAttemptTable(now func() model.Instant) *attemptTable {
	return &attemptTable{now: now, startedAt: now(), byKey: make(map[string]*attempt)}
}

func newAttempt(key string) *attempt {
	return &attempt{key: key, cancelSignal: make(chan struct{}), finished: make(chan struct{})}
}

// register returns the attempt of a call that has timeLeft until its deadline. It returns false
// and adds the attempt if the table does not hold it yet. It returns true if the sender
// cancelled the attempt before the call arrived, or if the call arrived twice.
func (t *attemptTable) register(key string, timeLeft time.Duration) (*attempt, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.byKey[key]; a != nil {
		return a, true
	}
	t.evict()
	return t.add(key, timeLeft), false
}

// add adds an attempt that has timeLeft until its deadline. t.mu is held.
func (t *attemptTable) add(key string, timeLeft time.Duration) *attempt {
	a := newAttempt(key)
	a.table = t
	a.retainUntil = t.now().Add(retentionPeriod(timeLeft))
	t.byKey[key] = a
	heap.Push(&t.byExpiry, a)
	return a
}

// evict removes the expired attempts. While the table is full, it also removes the attempts
// closest to expiry. An attempt that must stay (see canEvict) gets a later expiry instead. t.mu
// is held.
func (t *attemptTable) evict() {
	now := t.now()
	for len(t.byExpiry) > 0 {
		next := t.byExpiry[0]
		early := next.retainUntil > now
		if early && len(t.byExpiry) < maxRetainedAttempts {
			return
		}
		if !next.canEvict(early) {
			next.retainUntil = max(next.retainUntil, now).Add(retentionPastDeadline)
			heap.Fix(&t.byExpiry, 0)
			if early {
				return
			}
			continue
		}
		if early {
			t.evictedUntil = max(t.evictedUntil, next.retainUntil)
		}
		heap.Pop(&t.byExpiry)
		delete(t.byKey, next.key)
		next.evict()
	}
}

// mayBePredecessors reports whether an attempt may have been sent to a previous daemon at this address,
// by a sender that still relies on what it is told: the table does not hold the attempt, and the daemon
// has been running for less than the retention period. timeLeft is the time that the attempt had until its
// deadline when it was sent.
func (t *attemptTable) mayBePredecessors(key string, timeLeft time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byKey[key] == nil && t.now().Sub(t.startedAt) < retentionPeriod(timeLeft)
}

// cancelOrAwait returns the result of an attempt. It cancels an attempt that has not started or
// has not arrived yet. If the attempt is running, it waits until the attempt or the context
// ends. If an attempt that is missing from the table may have been evicted, or the table is full,
// it returns an unknown outcome. timeLeft is the time that the attempt had until its deadline
// when it was sent.
func (t *attemptTable) cancelOrAwait(ctx context.Context, key string, timeLeft time.Duration) *Result {
	t.mu.Lock()
	a := t.byKey[key]
	if a == nil {
		t.evict()
		if t.now() < t.evictedUntil || len(t.byExpiry) >= maxRetainedAttempts {
			t.mu.Unlock()
			return unknownResult(outcome.ReasonConnectionLost)
		}
		a = t.add(key, timeLeft)
	}
	t.mu.Unlock()
	if a.cancel() {
		return notRunResult(outcome.ReasonWithdrawn)
	}
	return a.wait(ctx)
}

// canEvict reports whether the attempt may be removed from the table. early means before its
// expiry. An attempt that waits or runs is never removed. A call that was cancelled before it
// arrived may still arrive until its attempt expires. Such an attempt is not removed early.
func (a *attempt) canEvict(early bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.result != nil || a.cancelled && !early
}

// cancel prevents the attempt from starting and returns true. It returns false if the attempt
// has started or has ended.
func (a *attempt) cancel() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.started || a.result != nil {
		return false
	}
	if !a.cancelled {
		a.cancelled = true
		close(a.cancelSignal)
	}
	return true
}

// duplicateResult returns the result for the second arrival of a call. If the attempt has not
// started, duplicateResult cancels it, and the call will not run at all. If the attempt ended
// without running, its result is returned. Otherwise the outcome is unknown.
func (a *attempt) duplicateResult() *Result {
	if a.cancel() {
		return notRunResult(outcome.ReasonWithdrawn)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.result != nil && a.result.Outcome.Kind == outcome.NotRun {
		return a.result
	}
	return unknownResult(outcome.ReasonConnectionLost)
}

// start marks the attempt as started and returns true. It returns false if the attempt was
// cancelled.
func (a *attempt) start() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started = !a.cancelled
	return a.started
}

// finish stores the result of the attempt and wakes the goroutines that wait for it. If the
// attempt has a result already, finish does nothing. A response that nobody waits for is kept for later
// outcome queries if the table has room for it.
func (a *attempt) finish(result *Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.result != nil {
		return
	}
	a.result = result
	if a.waiters == 0 && !a.retainBody() {
		a.dropBody()
	}
	close(a.finished)
}

// discardBody frees the memory of a response that was returned to the entry. Later outcome
// queries get an unknown outcome. If keepSmall is set, a response whose body has at most
// maxRetainedBody bytes is kept for them instead, if the table has room for it.
func (a *attempt) discardBody(keepSmall bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.result == nil || a.result.Outcome.Kind != outcome.Answered {
		return
	}
	if !keepSmall || len(a.result.Body) > maxRetainedBody || !a.retainBody() {
		a.dropBody()
	}
}

// retainBody reports whether the table has room for the body of the result. If so, the table accounts for
// it. a.mu is held.
func (a *attempt) retainBody() bool {
	size := int64(len(a.result.Body))
	switch {
	case size == 0 || a.retainedBytes > 0:
		return true
	case a.table == nil || a.evicted:
		return false
	case a.table.retainedBytes.Add(size) > maxRetainedBytes:
		a.table.retainedBytes.Add(-size)
		return false
	}
	a.retainedBytes = size
	return true
}

// dropBody replaces a response by an unknown outcome. a.mu is held.
func (a *attempt) dropBody() {
	a.result = unknownResult(outcome.ReasonConnectionLost)
	a.releaseRetained()
}

// releaseRetained returns what retainBody has taken. a.mu is held.
func (a *attempt) releaseRetained() {
	if a.retainedBytes > 0 {
		a.table.retainedBytes.Add(-a.retainedBytes)
		a.retainedBytes = 0
	}
}

// evict is called when the table no longer holds the attempt.
func (a *attempt) evict() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.evicted = true
	a.releaseRetained()
}

// wait returns the result of the attempt. If the context ends first, it returns an unknown
// outcome.
func (a *attempt) wait(ctx context.Context) *Result {
	a.addWaiter()
	return a.await(ctx)
}

// addWaiter announces a call of await.
func (a *attempt) addWaiter() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiters++
}

// await does the same as wait after a call of addWaiter.
func (a *attempt) await(ctx context.Context) *Result {
	select {
	case <-a.finished:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiters--
	if a.result == nil {
		return unknownResult(outcome.ReasonCancelled)
	}
	return a.result
}

// attemptHeap is a heap of attempts ordered by retainUntil.
type attemptHeap []*attempt

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h attemptHeap) Len() int           { return len(h) }
func (h attemptHeap) Less(i, j int) bool { return h[i].retainUntil < h[j].retainUntil }
func (h attemptHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *attemptHeap) Push(a any)        { *h = append(*h, a.(*attempt)) }

func (h *attemptHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return a
}
