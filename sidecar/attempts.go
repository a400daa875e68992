package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

const (
	// remembered is how long a guard knows what became of an attempt. A sender
	// that was cut off asks within the deadline of its request.
	remembered = 10 * time.Second
	// maxRemembered bounds the attempts known. Beyond it the oldest is forgotten,
	// and whoever asks for it is told that it is not known whether it ran.
	maxRemembered = 1 << 14
	// maxKeptBody bounds the bodies of remembered answers, in bytes: with
	// maxRemembered it would be too much, but few answers are remembered whole, as
	// only those to requests that must not run twice are asked for.
	maxKeptBody = 64 << 10
)

// attempts remembers what became of each attempt at a guard, so that a sender
// whose connection broke learns the truth over another. It is safe for concurrent
// use.
type attempts struct {
	now func() model.Instant

	mu    sync.Mutex
	byKey map[string]*attempt
	order []*attempt
	// forgot is set once an attempt was forgotten early: from then on an attempt
	// that is not known may have run.
	forgotUntil model.Instant
}

// attempt is one call at the guard.
type attempt struct {
	key   string
	since model.Instant
	// withdrawn is closed when the attempt must not start.
	withdrawn chan struct{}
	done      chan struct{}

	mu      sync.Mutex
	barred  bool
	started bool
	answer  *Answer
}

func newAttempts(now func() model.Instant) *attempts {
	return &attempts{now: now, byKey: make(map[string]*attempt)}
}

// begin notes a new attempt. It reports true when the attempt is known already:
// it was withdrawn before it came, or came twice.
func (t *attempts) begin(key string) (*attempt, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.byKey[key]; a != nil {
		return a, true
	}
	return t.add(key), false
}

// add notes an attempt. t.mu is held.
func (t *attempts) add(key string) *attempt {
	t.forget()
	a := &attempt{key: key, since: t.now(), withdrawn: make(chan struct{}), done: make(chan struct{})}
	t.byKey[key] = a
	t.order = append(t.order, a)
	return a
}

// forget drops attempts that are old, or too many. t.mu is held.
func (t *attempts) forget() {
	now := t.now()
	n := 0
	for n < len(t.order) && (now.Sub(t.order[n].since) > remembered || len(t.order)-n >= maxRemembered) {
		if now.Sub(t.order[n].since) <= remembered {
			t.forgotUntil = t.order[n].since.Add(remembered)
		}
		delete(t.byKey, t.order[n].key)
		n++
	}
	t.order = t.order[n:]
}

// settle bars the attempt from starting, unless it has started, and returns what
// came of it once that is known or the context ends.
func (t *attempts) settle(ctx context.Context, key string) *Answer {
	t.mu.Lock()
	a := t.byKey[key]
	if a == nil {
		if t.now() < t.forgotUntil {
			t.mu.Unlock()
			return unknown(outcome.ReasonConnectionLost)
		}
		a = t.add(key)
	}
	t.mu.Unlock()
	if a.bar() {
		return notRun(outcome.ReasonWithdrawn)
	}
	return a.wait(ctx)
}

// bar keeps the attempt from starting and reports whether it did.
func (a *attempt) bar() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.started || a.answer != nil {
		return false
	}
	if !a.barred {
		a.barred = true
		close(a.withdrawn)
	}
	return true
}

// again returns the answer to an attempt that comes a second time: it has not run
// and never will if it was barred.
func (a *attempt) again() *Answer {
	if a.bar() {
		return notRun(outcome.ReasonWithdrawn)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.answer != nil && a.answer.Outcome.Kind == outcome.NotRun {
		return a.answer
	}
	return unknown(outcome.ReasonConnectionLost)
}

// start reports whether the attempt may start now.
func (a *attempt) start() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started = !a.barred
	return a.started
}

// end notes what came of the attempt.
func (a *attempt) end(answer *Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.answer == nil {
		a.answer = answer
		close(a.done)
	}
}

// trim forgets the body of an answer that has been handed over, unless it is small
// and may be asked for again.
func (a *attempt) trim(keep bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.answer == nil || a.answer.Outcome.Kind != outcome.Answered || keep && len(a.answer.Body) <= maxKeptBody {
		return
	}
	a.answer = unknown(outcome.ReasonConnectionLost)
}

// wait returns what came of the attempt, or unknown when the context ends first.
func (a *attempt) wait(ctx context.Context) *Answer {
	select {
	case <-a.done:
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.answer
	case <-ctx.Done():
		return unknown(outcome.ReasonCancelled)
	}
}
