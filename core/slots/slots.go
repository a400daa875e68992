// Package slots decides which of the requests that wait for an upstream runs
// next, and which need not wait any longer.
//
// A lower rank goes first. Within a rank those go first that can still make their
// target latency, the kinds of requests by turns of equal work, so that a flood of one
// does not starve the others, and the newest of a kind. While there is room the order
// does not matter, as all of them do. When there is not, most of what waits will be
// late whatever is done, and the oldest first would serve each just after its target;
// the newest first serves those that it does serve in time, and lets the others know
// soon. Those that have missed their target come last, the most urgent first.
//
// So that no rank starves, every so often the last one has its turn. A request that
// can no longer end before its deadline is refused at once: running it would help
// nobody.
package slots

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Item is a waiting request.
type Item struct {
	ID uint64
	// Rank orders requests; 0 comes first.
	Rank int
	// Kind tells requests apart that share their rank's part.
	Kind Kind
	// Work is the time it usually runs where nothing slows it.
	Work time.Duration
	// Arrived, Target and Deadline are instants. A zero Target means none.
	Arrived  model.Instant
	Target   model.Instant
	Deadline model.Instant
	// Useful is when the request should have ended to be worth a wait; past that
	// it runs only where nothing else has to wait for it. Zero means its Deadline.
	UsefulUntil model.Instant
	// GiveUp is when the request is handed back if it has not started. Zero
	// means never.
	WaitUntil model.Instant
}

// Exit tells why a request left the queue.
type Exit uint8

// The exits.
const (
	// Start means that the request is to run now.
	Start Exit = iota + 1
	// Hopeless means that it cannot end before its deadline.
	Hopeless
	// Returned means that it has waited as long as its sender allowed.
	Returned
	// Overdue means that it would end too late to be worth its wait: the time is
	// better spent on others, and its sender is better off knowing.
	Overdue
)

// Decision is one request that leaves the queue.
type Decision struct {
	ID   uint64
	Exit Exit
}

const (
	// lastRankEvery is how often the last rank has its turn: one start in eight
	// leaves seven eighths of the capacity to the order of ranks.
	lastRankInterval = 8
)

// Queue holds the requests that wait for one upstream, and counts those that
// run. It is not safe for concurrent use.
type Queue struct {
	limit        int
	running      int
	starts       int
	items        []Item
	sharesByRank map[int]*fairShares
}

// New returns a Queue that lets limit requests run at once.
func New(limit int) *Queue { return &Queue{limit: max(limit, 1), sharesByRank: map[int]*fairShares{}} }

// Running returns the number of requests that run.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return len(q.items) }

// Limit returns how many may run at once.
func (q *Queue) Limit() int { return q.limit }

// SetLimit changes how many may run at once.
func (q *Queue) SetLimit(n int) { q.limit = max(n, 1) }

// Ahead returns how many requests would run or start before a new one of a rank and a
// kind: of its own rank all of its kind, and as many of each other one, as they take
// turns.
func (q *Queue) Ahead(rank int, kind Kind) int {
	n := q.running
	same := map[Kind]int{}
	for i := range q.items {
		switch it := &q.items[i]; {
		case it.Rank < rank:
			n++
		case it.Rank == rank:
			same[it.Kind]++
		}
	}
	for _, waiting := range same {
		n += min(waiting, same[kind]+1)
	}
	return n
}

// Add lets a request wait. Next decides when it leaves.
func (q *Queue) Add(i Item) { q.items = append(q.items, i) }

// Remove takes a waiting request out and reports whether it was there.
func (q *Queue) Remove(id uint64) bool {
	for i := range q.items {
		if q.items[i].ID == id {
			q.removeAt(i)
			return true
		}
	}
	return false
}

// Finish ends a request that runs.
func (q *Queue) Finish() { q.running = max(q.running-1, 0) }

// Next returns a request that leaves the queue now, if any, when work takes slow
// times as long as usual.
func (q *Queue) Next(now model.Instant, slowdown float64) (Decision, bool) {
	for i := range q.items {
		it := &q.items[i]
		if now.Add(scaled(it.Work, slowdown)/2) >= it.Deadline {
			return q.dequeue(i, Hopeless), true
		}
		if q.running >= q.limit && it.UsefulUntil != 0 && now.Add(scaled(it.Work, slowdown)) > it.UsefulUntil {
			return q.dequeue(i, Overdue), true
		}
		if it.WaitUntil != 0 && now >= it.WaitUntil && q.running >= q.limit {
			return q.dequeue(i, Returned), true
		}
	}
	if q.running >= q.limit || len(q.items) == 0 {
		return Decision{}, false
	}
	best := q.nextIndex(now, slowdown)
	q.running++
	q.starts++
	q.sharesOf(q.items[best].Rank).charge(q.items[best].Kind, q.items[best].Work)
	return q.dequeue(best, Start), true
}

// Wake returns when Next may have a decision without anything else happening.
// Zero means never.
func (q *Queue) Wake(slowdown float64) model.Instant {
	var wakeup model.Instant
	for i := range q.items {
		it := &q.items[i]
		leaveBy := it.Deadline.Add(-scaled(it.Work, slowdown) / 2)
		if it.WaitUntil != 0 {
			leaveBy = min(leaveBy, it.WaitUntil)
		}
		if it.UsefulUntil != 0 {
			leaveBy = min(leaveBy, it.UsefulUntil.Add(-scaled(it.Work, slowdown)))
		}
		if wakeup == 0 || leaveBy < wakeup {
			wakeup = leaveBy
		}
	}
	return wakeup
}

func (q *Queue) sharesOf(rank int) *fairShares {
	shares, ok := q.sharesByRank[rank]
	if !ok {
		shares = &fairShares{}
		q.sharesByRank[rank] = shares
	}
	return shares
}

func scaled(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// first returns the index of the request to start.
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
		case q.before(a, b, now, slowdown):
			best = i
		}
	}
	return best
}

// before reports whether a starts ahead of b of the same rank.
func (q *Queue) before(a, b *Item, now model.Instant, slowdown float64) bool {
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

// startBy is the last instant at which the request must start to make its target.
func (i *Item) latestStart(slowdown float64) model.Instant {
	end := i.Target
	if end == 0 {
		end = i.Deadline
	}
	return end.Add(-scaled(i.Work, slowdown))
}

func (q *Queue) dequeue(i int, e Exit) Decision {
	d := Decision{ID: q.items[i].ID, Exit: e}
	q.removeAt(i)
	return d
}

func (q *Queue) removeAt(i int) {
	q.items = append(q.items[:i], q.items[i+1:]...)
}
