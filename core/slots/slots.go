// Package slots decides which of the requests that wait for an upstream starts next. It
// also decides which requests must not wait any longer. Requests wait at the guard, the
// proxy in front of the upstream.
//
// Requests with a lower rank start first. Within a rank, requests that can still meet
// their target latency start before those that cannot. All requests of one route are of
// the same kind. Among the requests that can meet their targets, the kinds get equal shares
// of the service time. The same holds among those that cannot. Many requests of one kind
// thus do not starve the other kinds.
//
// Of one kind, among the requests that can meet their targets, the newest starts first.
// While the upstream has enough capacity, the order hardly matters, since all requests meet
// their targets. Under overload, most waiting requests will miss their targets in any
// order. If the oldest started first, each would complete shortly after its target. If the
// newest starts first, the requests that start meet their targets and the others are
// refused early. Among the requests that can no longer meet their targets, the one that
// should have started earliest comes first.
//
// To prevent starvation, every eighth start goes to the last rank. This is the largest rank
// among the waiting requests. A request that can no longer complete before its deadline is
// refused at once. Its response would come too late for its caller.
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
	// Kind identifies the route of the request. All kinds of one rank get equal shares
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

const (
	// lastRankInterval sets how often the last rank comes first. One of every lastRankInterval
	// starts goes to the last rank, even if requests of lower ranks wait. With one in eight,
	// seven eighths of the capacity follow the regular order of ranks.
	lastRankInterval = 8
)

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
	// sharesByRank holds the service time shares of the kinds of requests of each rank.
	sharesByRank map[int]*fairShares
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
func New(limit int) *Queue { return &Queue{limit: max(limit, 1), sharesByRank: map[int]*fairShares{}} }

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.items) }

// Limit returns how many requests may run concurrently.
func (q *Queue) Limit() int { return q.limit }

// SetLimit changes how many requests may run concurrently.
func (q *Queue) SetLimit(n int) { q.limit = max(n, 1) }

// Ahead returns how many requests run now or would start before a new request of the
// given rank and kind. It counts:
//   - the running requests;
//   - the waiting requests of lower ranks;
//   - the n waiting requests of the same rank and kind;
//   - at most n+1 waiting requests of each other kind of the same rank, since the kinds
//     take turns.
func (q *Queue) Ahead(rank int, kind Kind) int {
	n := q.running
	waitingByKind := map[Kind]int{}
	for i := range q.items {
		switch item := &q.items[i]; {
		case item.Rank < rank:
			n++
		case item.Rank == rank:
			waitingByKind[item.Kind]++
		}
	}
	for _, waiting := range waitingByKind {
		n += min(waiting, waitingByKind[kind]+1)
	}
	return n
}

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
	best := q.nextIndex(now, slowdown)
	q.running++
	q.starts++
	q.sharesOf(q.items[best].Rank).charge(q.items[best].Kind, q.items[best].ServiceTime)
	return q.dequeue(best, Start), true
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
func (q *Queue) sharesOf(rank int) *fairShares {
	shares, ok := q.sharesByRank[rank]
	if !ok {
		shares = &fairShares{}
		q.sharesByRank[rank] = shares
	}
	return shares
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// nextIndex returns the index of the waiting request to start next. At least one request must
// be waiting.
func (q *Queue) nextIndex(now model.Instant, slowdown float64) int {
	lastRankFirst := q.starts%lastRankInterval == lastRankInterval-1
	best := 0
	for i := 1; i < len(q.items); i++ {
		a, b := &q.items[i], &q.items[best]
		switch {
		case a.Rank != b.Rank:
			if a.Rank > b.Rank == lastRankFirst {
				best = i
			}
		case q.startsBefore(a, b, now, slowdown):
			best = i
		}
	}
	return best
}

// startsBefore reports whether a starts before b. The two must have the same rank.
func (q *Queue) startsBefore(a, b *Item, now model.Instant, slowdown float64) bool {
	aStart, bStart := a.latestStart(slowdown), b.latestStart(slowdown)
	aLate, bLate := aStart < now, bStart < now
	shares := q.sharesOf(a.Rank)
	aTag, bTag := shares.startTag(a.Kind), shares.startTag(b.Kind)
	switch {
	case aLate != bLate:
		return bLate
	case aTag != bTag:
		return aTag < bTag
	case !aLate && a.Arrived != b.Arrived:
		return a.Arrived > b.Arrived
	default:
		return aStart < bStart
	}
}

// latestStart returns the last instant at which the request can start and still meet its
// target. For a request without a target, the deadline counts instead.
func (i *Item) latestStart(slowdown float64) model.Instant {
	completeBy := i.Target
	if completeBy == 0 {
		completeBy = i.Deadline
	}
	return completeBy.Add(-scale(i.ServiceTime, slowdown))
}

// dequeue removes the i-th waiting request and returns its ID with the given reason.
func (q *Queue) dequeue(i int, reason DequeueReason) Dequeued {
	d := Dequeued{ID: q.items[i].ID, Reason: reason}
	q.removeAt(i)
	return d
}

func (q *Queue) removeAt(i int) {
	q.items = append(q.items[:i], q.items[i+1:]...)
}
