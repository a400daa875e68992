package sidecar

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

const (
	// rememberedPast is how long past its deadline a guard knows what became of an
	// attempt: longer than a call or a question is under way, and than a sender that
	// was suspended is awake before it finds its deadline over.
	retentionPastDeadline = 10 * time.Second
	// maxRemembered bounds the attempts that are known though they have ended.
	maxRetainedAttempts = 1 << 14
	// maxKeptBody bounds the bodies of remembered answers, in bytes: with
	// maxRemembered it would be too much, but few answers are remembered whole, as
	// only those to requests that must not run twice are asked for.
	maxRetainedBody = 64 << 10
)

// provenFor is how long after a call was sent its guard's word counts that it has not
// run: past that the guard may have forgotten it.
func retentionPeriod(deadline time.Duration) time.Duration { return deadline + retentionPastDeadline }

// attempts remembers what became of each attempt at a guard that must not run twice, so
// that a sender whose connection broke learns the truth over another. An attempt is
// known while it waits or runs, and until rememberedPast after its deadline. Where there
// are too many, those that would be forgotten next are forgotten early; until their time
// is over, an attempt that is not known may have run. It is safe for concurrent use.
type attempts struct {
	now func() model.Instant

	mu    sync.Mutex
	byKey map[string]*attempt
	// byTime holds the same, the next to be forgotten first.
	byExpiry attemptHeap
	// forgotUntil is until when an attempt that is not known may have run.
	evictedUntil model.Instant
}

// attempt is one call at the guard.
type attempt struct {
	key string
	// until is when it may be forgotten if it has ended.
	retainUntil model.Instant
	// withdrawn is closed when the attempt must not start.
	withdrawn chan struct{}
	done      chan struct{}

	mu        sync.Mutex
	cancelled bool
	started   bool
	result    *Answer
}

func newAttempts(now func() model.Instant) *attempts {
	return &attempts{now: now, byKey: make(map[string]*attempt)}
}

func newAttempt(key string) *attempt {
	return &attempt{key: key, withdrawn: make(chan struct{}), done: make(chan struct{})}
}

// begin notes a new attempt and how much time it has. It reports true when the attempt
// is known already: it was withdrawn before it came, or came twice.
func (t *attempts) register(key string, deadline time.Duration) (*attempt, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.byKey[key]; a != nil {
		return a, true
	}
	t.evict()
	return t.add(key, deadline), false
}

// add notes an attempt. t.mu is held.
func (t *attempts) add(key string, deadline time.Duration) *attempt {
	a := newAttempt(key)
	a.retainUntil = t.now().Add(retentionPeriod(deadline))
	t.byKey[key] = a
	heap.Push(&t.byExpiry, a)
	return a
}

// forget drops attempts whose time is over, or that are too many. t.mu is held.
func (t *attempts) evict() {
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
	}
}

// settle bars the attempt from starting, unless it has started, and returns what
// came of it once that is known or the context ends. The attempt has so much time left.
func (t *attempts) settle(ctx context.Context, key string, left time.Duration) *Answer {
	t.mu.Lock()
	a := t.byKey[key]
	if a == nil {
		t.evict()
		if t.now() < t.evictedUntil || len(t.byExpiry) >= maxRetainedAttempts {
			t.mu.Unlock()
			return unknown(outcome.ReasonConnectionLost)
		}
		a = t.add(key, left)
	}
	t.mu.Unlock()
	if a.cancel() {
		return notRun(outcome.ReasonWithdrawn)
	}
	return a.wait(ctx)
}

// mayBeForgotten reports whether the attempt neither waits nor runs, and cannot come
// any more: one that was barred before it came may be on its way until its time is over.
func (a *attempt) canEvict(early bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.result != nil || a.cancelled && !early
}

// bar keeps the attempt from starting and reports whether it did.
func (a *attempt) cancel() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.started || a.result != nil {
		return false
	}
	if !a.cancelled {
		a.cancelled = true
		close(a.withdrawn)
	}
	return true
}

// again returns the answer to an attempt that comes a second time: it has not run
// and never will if it was barred.
func (a *attempt) duplicateResult() *Answer {
	if a.cancel() {
		return notRun(outcome.ReasonWithdrawn)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.result != nil && a.result.Outcome.Kind == outcome.NotRun {
		return a.result
	}
	return unknown(outcome.ReasonConnectionLost)
}

// start reports whether the attempt may start now.
func (a *attempt) start() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started = !a.cancelled
	return a.started
}

// end notes what came of the attempt.
func (a *attempt) finish(answer *Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.result == nil {
		a.result = answer
		close(a.done)
	}
}

// trim forgets the body of an answer that has been handed over, unless it is small
// and may be asked for again.
func (a *attempt) discardBody(keep bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.result == nil || a.result.Outcome.Kind != outcome.Answered || keep && len(a.result.Body) <= maxRetainedBody {
		return
	}
	a.result = unknown(outcome.ReasonConnectionLost)
}

// wait returns what came of the attempt, or unknown when the context ends first.
func (a *attempt) wait(ctx context.Context) *Answer {
	select {
	case <-a.done:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.result == nil {
		return unknown(outcome.ReasonCancelled)
	}
	return a.result
}

// attemptsByTime is a heap of attempts by the time until which they are known.
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
