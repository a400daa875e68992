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

	running bool
	started model.Instant
	charged time.Duration
	// nextChargeIndex is the position in Queue.byNextCharge while the request
	// runs.
	nextChargeIndex int
}

// nextCharge returns the instant at which the running time reaches the charge,
// so that the request must be charged again.
func (e *entry) nextCharge() model.Instant { return e.started.Add(e.charged) }

// caller is the queue of one caller within a group.
type caller struct {
	name  model.CallerName
	group *group

	// virtualTime is the slot time charged to the caller. virtualTimeIndex and
	// lengthIndex are the positions in group.byVirtualTime and group.byLength.
	// seq breaks ties between equal virtual times.
	virtualTime      float64
	virtualTimeIndex int
	lengthIndex      int
	seq              uint64

	head, tail *entry
	waiting    int
	running    int

	// idlePrev and idleNext link the group's idle callers whose virtual time is
	// ahead of the group's system virtual time, longest idle first.
	idlePrev, idleNext *caller
	inIdleList         bool
}

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
	// weight is the effective weight as a fraction of the largest weight.
	weight     float64
	bound      int
	configured bool
	// maxRunning is GroupConfig.MaxRunning.
	maxRunning int

	// virtualTime is the slot time charged to the group divided by its weight.
	virtualTime float64
	// readyIndex is the position in the heap of the group's class while one of
	// its requests may start. seq breaks ties between equal virtual times.
	readyIndex int
	seq        uint64
	// backlog is the expected slot time of the waiting requests divided by the
	// weight; backlogIndex is the group's position in Queue.byBacklog.
	backlog      float64
	backlogIndex int

	// byVirtualTime and byLength hold the callers with waiting requests, the
	// first ordered by virtual time, the second by number of waiting requests.
	// systemVirtualTime is the virtual time of the caller served last.
	callers           map[model.CallerName]*caller
	byVirtualTime     indexHeap[*caller]
	byLength          indexHeap[*caller]
	systemVirtualTime float64
	idleHead          *caller
	idleTail          *caller
	idleCount         int

	waiting  int
	running  int
	slotTime estimator
	charged  time.Duration
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

// ready reports whether the group is in the heap of its class.
func (g *group) ready() bool { return g.readyIndex != notInHeap }

// mayStart reports whether one of the group's requests may start.
func (g *group) mayStart() bool {
	return g.waiting > 0 && (g.maxRunning <= 0 || g.running < g.maxRunning)
}

// priorityClass is a set of groups that are served in order of virtual time. A
// Queue has two classes: the foreground holds the groups with a weight above
// zero, the background those of weight zero.
type priorityClass struct {
	// ready holds the groups with a request that may start, ordered by virtual
	// time. systemVirtualTime is the virtual time of the group served last.
	ready             indexHeap[*group]
	systemVirtualTime float64
	// weight is the sum of the weights of the groups in the ready heap. waiting
	// is the number of waiting requests of all groups of the class.
	weight  float64
	waiting int
}

func newPriorityClass() *priorityClass {
	return &priorityClass{ready: indexHeap[*group]{
		less:  func(a, b *group) bool { return servedBefore(a.virtualTime, b.virtualTime, a.seq, b.seq) },
		index: func(g *group) *int { return &g.readyIndex },
	}}
}

// servedBefore orders by virtual time and breaks ties by sequence number.
func servedBefore(virtualTimeA, virtualTimeB float64, seqA, seqB uint64) bool {
	if virtualTimeA != virtualTimeB {
		return virtualTimeA < virtualTimeB
	}
	return seqA < seqB
}

func (c *priorityClass) add(g *group, seq uint64) {
	g.virtualTime = max(g.virtualTime, c.systemVirtualTime)
	g.seq = seq
	c.ready.push(g)
	c.weight += g.weight
}

func (c *priorityClass) remove(g *group) {
	c.ready.remove(g)
	c.weight -= g.weight
	if c.ready.len() == 0 {
		c.weight = 0 // discards the rounding errors of the sum
	}
}
