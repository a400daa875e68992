// Package slots decides which of the requests that wait for an upstream starts next. It
// also decides which requests must not wait any longer. Requests wait at the guard, the
// proxy in front of the upstream.
//
// Requests with a lower rank start first. Within a rank, requests that can still meet
// their target latency start before those that cannot. Among the requests that can meet their
// targets, the client accounts get shares of the service time in proportion to their weights. The
// same holds among those that cannot. An account that sends many times its usual thus takes
// nothing from accounts that stay below their shares. Requests without an account count as one
// account. All requests of one route are of the same kind. The kinds of an account get equal
// shares of its service time, so that many requests of one kind do not starve the other kinds.
//
// Of one account and kind, among the requests that can meet their targets, the newest starts first.
// While the upstream has enough capacity, the order hardly matters, since all requests meet
// their targets. Under overload, most waiting requests will miss their targets in any
// order. If the oldest started first, each would complete shortly after its target. If the
// newest starts first, the requests that start meet their targets and the others are
// refused early. Among the requests that can no longer meet their targets, the one that
// should have started earliest comes first.
//
// To prevent starvation, every eighth start goes to the last rank. This is the largest rank
// among the waiting requests. With client accounts, there are more ranks, and none of them may
// starve. Instead, each account and rank is guaranteed to be served a quarter as often as all.
//
// A request that can no longer complete before its deadline is refused at once. Its response would
// come too late for its caller.
package slots

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Item is a waiting request.
type Item struct {
	// ID identifies the request within the queue.
	ID uint64
	// Rank is the priority of the request; 0 starts first.
	Rank int
	// Account identifies the client account of the request. The accounts of one rank get shares
	// of the service time in proportion to their weights.
	Account Account
	// Weight is the weight of the account; zero counts as 1.
	Weight float64
	// Kind identifies the route of the request. All kinds of one rank and account get equal shares
	// of the service time.
	Kind Kind
	// ServiceTime is the usual service time of the request.
	ServiceTime time.Duration
	// Arrived is when the request entered the queue.
	Arrived model.Instant
	// Target is when the request should complete. Zero means that it has no target.
	Target model.Instant
	// Deadline is when the request must complete.
	Deadline model.Instant
	// UsefulUntil is the latest completion time at which the request is still worth the wait. A
	// request that would complete later runs only if a slot is free when Next is called. Zero
	// means that only Deadline counts.
	UsefulUntil model.Instant
	// WaitUntil is when the queue timeout of the request expires. If the request has not
	// started by then, the guard rejects it, so that its entry can choose another
	// upstream. Zero means that there is no timeout.
	WaitUntil model.Instant
}

// DequeueReason is the reason why a request left the queue.
type DequeueReason uint8

// The possible values of a DequeueReason.
const (
	// Start means that the request starts now.
	Start DequeueReason = iota + 1
	// DeadlineUnreachable means that the request cannot complete before its deadline,
	// even in half of its expected service time.
	DeadlineUnreachable
	// QueueTimeoutExpired means that the queue timeout of the request has expired.
	QueueTimeoutExpired
	// TooLate means that the request would complete too late to be worth the wait.
	// Other requests make better use of the slot. The early rejection also leaves the
	// request's entry time to try another upstream or to refuse the request.
	TooLate
	// Revoked means that the request may no longer run, because its caller has lost the
	// right to it. Next does not return it: the owner of the queue removes the request.
	Revoked
)

// Dequeued identifies a request that leaves the queue, and says why it leaves.
type Dequeued struct {
	ID     uint64
	Reason DequeueReason
}

// Queue holds the requests that wait for one upstream, and counts those that are
// running. It is not safe for concurrent use.
type Queue struct {
	// limit is how many requests may run concurrently.
	limit int
	// running counts the requests that have started and not ended.
	running int
	// starts counts the requests started so far.
	starts int
	// items holds the waiting requests in the order in which they were added.
	items []Item
	// limiter limits the rate of starts. Nil means that only limit counts.
	limiter StartLimiter
	// sharesByRank holds the service time shares of the accounts and kinds of requests of each rank.
	sharesByRank map[int]*rankShares
	guarantees   guarantees
	// guaranteedStarts counts the requests that started before others of lower ranks because their
	// flows were owed the start.
	guaranteedStarts int
}

// StartLimiter limits the rate at which requests start, for example those at a cold upstream.
type StartLimiter interface {
	// NextStart returns the earliest instant, not before now, at which a request may start.
	NextStart(now model.Instant) model.Instant
	// Delay returns how long a request has to wait if ahead other requests start before it.
	Delay(now model.Instant, ahead int) time.Duration
	// RecordStart records that a request starts.
	RecordStart(now model.Instant)
}

// SetStartLimiter sets a limiter of the rate of starts.
func (q *Queue) SetStartLimiter(l StartLimiter) { q.limiter = l }

// StartDelay returns how long a new request has to wait because of the limiter of the rate of
// starts, if ahead waiting requests start before it.
func (q *Queue) StartDelay(now model.Instant, ahead int) time.Duration {
	if q.limiter == nil {
		return 0
	}
	return q.limiter.Delay(now, ahead)
}

// nextStart returns the earliest instant, not before now, at which the limiter of the rate of
// starts lets a request start.
func (q *Queue) nextStart(now model.Instant) model.Instant {
	if q.limiter == nil {
		return now
	}
	return q.limiter.NextStart(now)
}

// New returns a Queue that lets up to limit requests run concurrently.
func New(limit int) *Queue { return &Queue{limit: max(limit, 1), sharesByRank: map[int]*rankShares{}} }

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.items) }

// Limit returns how many requests may run concurrently.
func (q *Queue) Limit() int { return q.limit }

// SetLimit changes how many requests may run concurrently.
func (q *Queue) SetLimit(n int) { q.limit = max(n, 1) }

// Add adds a request to the queue. Next decides when the request leaves.
func (q *Queue) Add(item Item) { q.items = append(q.items, item) }

// Remove removes a waiting request. It returns false if the request is not in the
// queue.
func (q *Queue) Remove(id uint64) bool {
	for i := range q.items {
		if q.items[i].ID == id {
			q.removeAt(i)
			return true
		}
	}
	return false
}

// Finish records that a running request has ended.
func (q *Queue) Finish() { q.running = max(q.running-1, 0) }

// Next removes a request that leaves the queue now: it starts, or it must not wait any longer.
// Next returns the request and the reason, or false if no request leaves now. The caller must
// call Finish when a started request ends. slowdown is the current service time divided by the
// usual service time.
func (q *Queue) Next(now model.Instant, slowdown float64) (Dequeued, bool) {
	if len(q.items) == 0 {
		return Dequeued{}, false
	}
	blocked := q.running >= q.limit || q.nextStart(now) > now
	for i := range q.items {
		item := &q.items[i]
		if now.Add(scale(item.ServiceTime, slowdown)/2) >= item.Deadline {
			return q.dequeue(i, DeadlineUnreachable), true
		}
		if blocked && item.UsefulUntil != 0 && now.Add(scale(item.ServiceTime, slowdown)) > item.UsefulUntil {
			return q.dequeue(i, TooLate), true
		}
		if item.WaitUntil != 0 && now >= item.WaitUntil && blocked {
			return q.dequeue(i, QueueTimeoutExpired), true
		}
	}
	if blocked {
		return Dequeued{}, false
	}
	if q.limiter != nil {
		q.limiter.RecordStart(now)
	}
	return q.takeNext(now, slowdown), true
}

// NextWakeup returns when Next must be called again after it has returned false. Before that
// instant, no request leaves the queue unless a request arrives or ends. Zero means that no
// request is waiting. slowdown is the current service time divided by the usual service time.
func (q *Queue) NextWakeup(now model.Instant, slowdown float64) model.Instant {
	var wakeup model.Instant
	if next := q.nextStart(now); len(q.items) > 0 && q.running < q.limit && next > now {
		wakeup = next
	}
	for i := range q.items {
		item := &q.items[i]
		leaveBy := item.Deadline.Add(-scale(item.ServiceTime, slowdown) / 2)
		if item.WaitUntil != 0 {
			leaveBy = min(leaveBy, item.WaitUntil)
		}
		if item.UsefulUntil != 0 {
			leaveBy = min(leaveBy, item.UsefulUntil.Add(-scale(item.ServiceTime, slowdown)))
		}
		if wakeup == 0 || leaveBy < wakeup {
			wakeup = leaveBy
		}
	}
	return wakeup
}

// sharesOf returns the fair shares of a rank, creating them if necessary.
func (q *Queue) sharesOf(rank int) *rankShares {
	shares, ok := q.sharesByRank[rank]
	if !ok {
		shares = &rankShares{kindsByAccount: map[Account]*fairShares[Kind]{}}
		q.sharesByRank[rank] = shares
	}
	return shares
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// dequeue removes the i-th waiting request and returns its ID with the given reason.
func (q *Queue) dequeue(i int, reason DequeueReason) Dequeued {
	d := Dequeued{ID: q.items[i].ID, Reason: reason}
	q.removeAt(i)
	return d
}

func (q *Queue) removeAt(i int) {
	q.items = append(q.items[:i], q.items[i+1:]...)
}
