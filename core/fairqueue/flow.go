package fairqueue

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// entry is one request, waiting or running.
type entry struct {
	id       ID
	caller   *caller
	deadline model.Instant

	// prev and next link the waiting requests of one caller, oldest first.
	prev, next *entry
	// deadlineIndex is the position in Queue.byDeadline while the request waits.
	deadlineIndex int

	running   bool
	startedAt model.Instant
	// charged is the slot time charged for the request so far.
	charged time.Duration
	// nextChargeIndex is the position in Queue.byNextCharge while the request
	// runs.
	nextChargeIndex int
}

// nextCharge returns the instant at which the request will have run for as long as
// it has been charged for. The request must be charged again then.
func (e *entry) nextCharge() model.Instant { return e.startedAt.Add(e.charged) }

// caller is the queue of one caller within a group.
type caller struct {
	name  model.CallerName
	group *group

	// virtualTime is the slot time charged to the caller, in nanoseconds. It is
	// raised to the system virtual time of the group when the caller gets its first
	// waiting request.
	virtualTime float64
	// virtualTimeIndex is the position in group.byVirtualTime.
	virtualTimeIndex int
	// lengthIndex is the position in group.byLength.
	lengthIndex int
	// seq breaks ties between equal virtual times.
	seq uint64

	// head and tail are the oldest and the newest waiting request.
	head, tail *entry
	// waiting is the number of waiting requests.
	waiting int
	// running is the number of running requests.
	running int

	// idlePrev and idleNext link the callers in the group's idle list, longest idle
	// first. The list holds the idle callers whose virtual time is ahead of the
	// group's system virtual time.
	idlePrev, idleNext *caller
	inIdleList         bool
}

// append adds a waiting request at the end of the caller's queue.
func (c *caller) append(e *entry) {
	e.prev, e.next = c.tail, nil
	if c.tail == nil {
		c.head = e
	} else {
		c.tail.next = e
	}
	c.tail = e
	c.waiting++
}

// unlink removes a waiting request from the caller's queue.
func (c *caller) unlink(e *entry) {
	if e.prev == nil {
		c.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		c.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
	c.waiting--
}

// group holds the waiting requests and the accounting of one group.
type group struct {
	name  model.GroupName
	class *priorityClass
	// weight is the effective weight as a fraction of the largest weight. It is 1
	// for groups of the background class.
	weight float64
	// queueBound is the largest number of waiting requests of the group.
	queueBound int
	// configured reports whether the group has a GroupConfig.
	configured bool
	// maxRunning is GroupConfig.MaxRunning.
	maxRunning int

	// virtualTime is the slot time charged to the group, in nanoseconds, divided by
	// the weight. It is raised to the system virtual time of the class when the
	// group becomes ready.
	virtualTime float64
	// readyIndex is the position in priorityClass.ready while one of the group's
	// requests may start, and notInHeap otherwise.
	readyIndex int
	// seq breaks ties between equal virtual times.
	seq uint64
	// backlog is the group's backlog; see updateBacklog.
	backlog float64
	// backlogIndex is the position in Queue.byBacklog.
	backlogIndex int

	callers map[model.CallerName]*caller
	// byVirtualTime holds the callers with waiting requests, lowest virtual time
	// first.
	byVirtualTime indexHeap[*caller]
	// byLength holds the callers with waiting requests, most waiting requests
	// first.
	byLength indexHeap[*caller]
	// systemVirtualTime is the virtual time of the caller served last. It never
	// decreases.
	systemVirtualTime float64
	// idleHead and idleTail are the ends of the idle list; see caller.idleNext.
	idleHead  *caller
	idleTail  *caller
	idleCount int

	// waiting is the number of waiting requests.
	waiting int
	// running is the number of running requests.
	running int
	// slotTimeEstimator estimates the slot time of the group's requests.
	slotTimeEstimator estimator
	// charged is the slot time charged to the group so far.
	charged time.Duration
}

func newGroup(name model.GroupName) *group {
	return &group{
		name:         name,
		readyIndex:   notInHeap,
		backlogIndex: notInHeap,
		callers:      make(map[model.CallerName]*caller),
		byVirtualTime: indexHeap[*caller]{
			less:  func(a, b *caller) bool { return servedBefore(a.virtualTime, b.virtualTime, a.seq, b.seq) },
			index: func(c *caller) *int { return &c.virtualTimeIndex },
		},
		byLength: indexHeap[*caller]{
			less:  func(a, b *caller) bool { return a.waiting > b.waiting },
			index: func(c *caller) *int { return &c.lengthIndex },
		},
	}
}

// ready reports whether the group is in the ready heap of its class.
func (g *group) ready() bool { return g.readyIndex != notInHeap }

// mayStart reports whether one of the group's requests may start.
func (g *group) mayStart() bool {
	return g.waiting > 0 && (g.maxRunning <= 0 || g.running < g.maxRunning)
}

// priorityClass is a set of groups that are served in order of virtual time. A
// Queue has two classes: the foreground holds the groups with a weight above
// zero, the background those of weight zero.
type priorityClass struct {
	// ready holds the groups with a request that may start, lowest virtual time
	// first.
	ready indexHeap[*group]
	// systemVirtualTime is the virtual time of the group served last. It never
	// decreases.
	systemVirtualTime float64
	// weight is the sum of the weights of the groups in the ready heap.
	weight float64
	// waiting is the number of waiting requests of all groups of the class.
	waiting int
}

func newPriorityClass() *priorityClass {
	return &priorityClass{ready: indexHeap[*group]{
		less:  func(a, b *group) bool { return servedBefore(a.virtualTime, b.virtualTime, a.seq, b.seq) },
		index: func(g *group) *int { return &g.readyIndex },
	}}
}

// servedBefore reports whether A is served before B. The lower virtual time comes
// first. If both are equal, the lower sequence number comes first.
func servedBefore(virtualTimeA, virtualTimeB float64, seqA, seqB uint64) bool {
	if virtualTimeA != virtualTimeB {
		return virtualTimeA < virtualTimeB
	}
	return seqA < seqB
}

// add puts a group into the ready heap. It raises the group's virtual time to the
// system virtual time if the group's is lower. The group therefore gets no credit
// for the time during which it was not in the heap.
func (c *priorityClass) add(g *group, seq uint64) {
	g.virtualTime = max(g.virtualTime, c.systemVirtualTime)
	g.seq = seq
	c.ready.push(g)
	c.weight += g.weight
}

// remove takes a group out of the ready heap.
func (c *priorityClass) remove(g *group) {
	c.ready.remove(g)
	c.weight -= g.weight
	if c.ready.len() == 0 {
		c.weight = 0 // discards the rounding errors of the sum
	}
}
