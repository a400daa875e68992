package fairqueue

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// ID identifies one request in a Queue. No two requests may have the same ID.
type ID uint64

// Item is a request as it is passed to Push and returned by Pop.
type Item struct {
	ID       ID
	Group    model.GroupName
	Caller   model.CallerName
	Deadline model.Instant
}

// Queue orders requests by weighted fair queueing. It is not safe for concurrent
// use.
type Queue struct {
	opts   Options
	groups map[model.GroupName]*group
	// unconfiguredCount is the number of groups without a GroupConfig.
	unconfiguredCount int

	// foreground holds the groups with a weight above zero.
	foreground *priorityClass
	// background holds the groups of weight zero.
	background *priorityClass
	// byBacklog holds the groups with waiting requests, largest backlog first.
	byBacklog indexHeap[*group]
	// byDeadline holds the waiting requests, earliest deadline first.
	byDeadline indexHeap[*entry]
	// byNextCharge holds the running requests. The request that must be charged
	// again at the earliest instant comes first.
	byNextCharge indexHeap[*entry]

	// entries holds all waiting and running requests.
	entries map[ID]*entry
	// waiting is the number of waiting requests.
	waiting int
	// running is the number of running requests.
	running int
	// lastSeq is the last sequence number given to a caller or group.
	lastSeq uint64
	// slotTimeEstimator estimates the slot time of the requests of all groups.
	slotTimeEstimator estimator
	// minWeight is the smallest effective weight of the configured groups. It is
	// also the weight of groups without a GroupConfig.
	minWeight float64

	// freeEntries and freeCallers hold unused structs for reuse, to avoid
	// allocations.
	freeEntries []*entry
	freeCallers []*caller
}

// Options configure a Queue.
type Options struct {
	// QueueBound is the largest number of waiting requests of a group that has no
	// GroupConfig or whose GroupConfig sets no bound. Default: 128.
	QueueBound int
}

const defaultQueueBound = 128

// New returns an empty Queue.
func New(opts Options) *Queue {
	if opts.QueueBound <= 0 {
		opts.QueueBound = defaultQueueBound
	}
	return &Queue{
		opts:       opts,
		groups:     make(map[model.GroupName]*group),
		foreground: newPriorityClass(),
		background: newPriorityClass(),
		entries:    make(map[ID]*entry),
		minWeight:  1,
		byBacklog: indexHeap[*group]{
			less:  func(a, b *group) bool { return a.backlog > b.backlog },
			index: func(g *group) *int { return &g.backlogIndex },
		},
		byDeadline: indexHeap[*entry]{
			less:  func(a, b *entry) bool { return a.deadline < b.deadline },
			index: func(e *entry) *int { return &e.deadlineIndex },
		},
		byNextCharge: indexHeap[*entry]{
			less:  func(a, b *entry) bool { return a.nextCharge() < b.nextCharge() },
			index: func(e *entry) *int { return &e.nextChargeIndex },
		},
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }

// Running returns the number of started requests that have not ended.
func (q *Queue) Running() int { return q.running }

// Push adds a waiting request.
func (q *Queue) Push(item Item) {
	c := q.findOrAddCaller(q.findOrAddGroup(item.Group), item.Caller)
	e := q.newEntry()
	e.id, e.caller, e.deadline = item.ID, c, item.Deadline
	q.entries[item.ID] = e
	q.byDeadline.push(e)
	q.enqueue(e)
}

// Pop starts the next request and returns it. It charges the estimated slot time to
// the request's group. It reports false when no request may start.
func (q *Queue) Pop(now model.Instant) (Item, bool) {
	q.ChargeRunning(now)
	class := q.foreground
	if class.ready.len() == 0 {
		class = q.background
	}
	if class.ready.len() == 0 {
		return Item{}, false
	}
	g := class.ready.top()
	class.systemVirtualTime = max(class.systemVirtualTime, g.virtualTime)
	c := g.byVirtualTime.top()
	g.systemVirtualTime = max(g.systemVirtualTime, c.virtualTime)
	e := c.head
	q.dequeue(e)
	q.start(now, e)
	return Item{ID: e.id, Group: g.name, Caller: c.name, Deadline: e.deadline}, true
}

// Done ends a started request and corrects its charge to slotTime, the time that it
// held its slot. It reports false when no running request has this ID.
func (q *Queue) Done(now model.Instant, id ID, slotTime time.Duration) bool {
	e := q.entries[id]
	if e == nil || !e.running {
		return false
	}
	slotTime = max(slotTime, 0)
	e.caller.group.slotTimeEstimator.observe(now, slotTime)
	q.slotTimeEstimator.observe(now, slotTime)
	q.finish(e, slotTime)
	return true
}

// CancelStart ends a request that Pop returned but that was not run. It undoes the
// charge for the request. It does nothing when no running request has this ID.
func (q *Queue) CancelStart(id ID) {
	if e := q.entries[id]; e != nil && e.running {
		q.finish(e, 0)
	}
}

// Remove removes a waiting request. It reports false when no request with this
// ID waits.
func (q *Queue) Remove(id ID) bool {
	e := q.entries[id]
	if e == nil || e.running {
		return false
	}
	q.discard(e)
	return true
}

// RemoveExpired removes one waiting request whose deadline has passed. It
// reports false when there is no such request.
func (q *Queue) RemoveExpired(now model.Instant) (ID, bool) {
	if q.byDeadline.len() == 0 || q.byDeadline.top().deadline > now {
		return 0, false
	}
	return q.discard(q.byDeadline.top()), true
}

// RemoveAny removes one waiting request. It reports false when none waits.
func (q *Queue) RemoveAny() (ID, bool) {
	if q.byDeadline.len() == 0 {
		return 0, false
	}
	return q.discard(q.byDeadline.top()), true
}

// OverBound reports whether a group has more waiting requests than its queue bound.
func (q *Queue) OverBound(name model.GroupName) bool {
	g := q.findGroup(name)
	return g != nil && g.waiting > g.queueBound
}

// DropOldest selects the group's caller with the most waiting requests, and removes the
// oldest of these. The caller that sends most therefore loses a request, and its oldest
// request usually has the least time left until its deadline. DropOldest reports false
// when the group has no waiting requests.
func (q *Queue) DropOldest(name model.GroupName) (ID, bool) {
	g := q.findGroup(name)
	if g == nil || g.waiting == 0 {
		return 0, false
	}
	return q.discard(g.byLength.top().head), true
}

// DropFromLargestBacklog does the same as DropOldest in the group with the largest
// backlog. The backlog is the expected slot time of the group's waiting requests
// divided by the group's weight. Groups of weight zero have a larger backlog than all
// other groups. DropFromLargestBacklog reports false when no request waits.
func (q *Queue) DropFromLargestBacklog() (ID, bool) {
	if q.byBacklog.len() == 0 {
		return 0, false
	}
	return q.discard(q.byBacklog.top().byLength.top().head), true
}

// Charged returns the slot time charged to a group so far.
func (q *Queue) Charged(name model.GroupName) time.Duration {
	if g := q.findGroup(name); g != nil {
		return g.charged
	}
	return 0
}

func (q *Queue) newEntry() *entry {
	if n := len(q.freeEntries); n > 0 {
		e := q.freeEntries[n-1]
		q.freeEntries = q.freeEntries[:n-1]
		return e
	}
	return &entry{deadlineIndex: notInHeap, nextChargeIndex: notInHeap}
}

func (q *Queue) freeEntry(e *entry) {
	delete(q.entries, e.id)
	*e = entry{deadlineIndex: notInHeap, nextChargeIndex: notInHeap}
	q.freeEntries = append(q.freeEntries, e)
}
