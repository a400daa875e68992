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
	// expiryAt is the index in the heap of deadlines while the request waits.
	deadlineIndex int

	running bool
	started model.Instant
	charged time.Duration
	// overrunAt is the index in the heap of running requests.
	nextChargeIndex int
}

// overrun is the instant at which the running time reaches the charge.
func (e *entry) nextCharge() model.Instant { return e.started.Add(e.charged) }

// caller is one caller's part of a group.
type caller struct {
	name  model.CallerName
	group *group

	virtualTime      float64
	virtualTimeIndex int
	lengthIndex      int
	seq              uint64

	head, tail *entry
	waiting    int
	running    int

	// idlePrev and idleNext link idle callers that owe, longest idle first.
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

// group is one group's part of the queue.
type group struct {
	name  model.GroupName
	class *priorityClass
	// weight is the effective weight, relative to the heaviest group.
	weight     float64
	bound      int
	configured bool
	// maxRunning is Share.MaxRunning.
	maxRunning int

	virtualTime float64
	// readyAt is the index in the level's heap while a request may start.
	readyIndex int
	seq        uint64
	// over says how far the group's queue exceeds its share; overAt is its
	// index in the heap by that figure.
	backlog      float64
	backlogIndex int

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

// ready reports whether the group is in its level's heap.
func (g *group) ready() bool { return g.readyIndex != notInHeap }

// mayStart reports whether one of the group's requests may start.
func (g *group) mayStart() bool {
	return g.waiting > 0 && (g.maxRunning <= 0 || g.running < g.maxRunning)
}

// level is a set of groups that are served in order of virtual time.
type priorityClass struct {
	ready             indexHeap[*group]
	systemVirtualTime float64
	// weight is the sum of the weights of the groups that wait, waiting the
	// number of their requests.
	weight  float64
	waiting int
}

func newPriorityClass() *priorityClass {
	return &priorityClass{ready: indexHeap[*group]{
		less:  func(a, b *group) bool { return servedBefore(a.virtualTime, b.virtualTime, a.seq, b.seq) },
		index: func(g *group) *int { return &g.readyIndex },
	}}
}

func servedBefore(virtualTimeA, virtualTimeB float64, seqA, seqB uint64) bool {
	if virtualTimeA != virtualTimeB {
		return virtualTimeA < virtualTimeB
	}
	return seqA < seqB
}

func (l *priorityClass) add(g *group, seq uint64) {
	g.virtualTime = max(g.virtualTime, l.systemVirtualTime)
	g.seq = seq
	l.ready.push(g)
	l.weight += g.weight
}

func (l *priorityClass) remove(g *group) {
	l.ready.remove(g)
	l.weight -= g.weight
	if l.ready.len() == 0 {
		l.weight = 0
	}
}
