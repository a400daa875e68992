package claims

import (
	"container/heap"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// ID identifies a claim. It includes the caller, so that equal keys of different
// callers are independent.
type ID struct {
	Caller model.CallerName
	Key    Key
}

// Digest is a hash of the content of a request. The owner compares digests to
// detect that a key is reused for a different request.
type Digest [16]byte

// Request is one submission of a request with an idempotency key. A retry with
// the same key is another submission of the same request.
type Request struct {
	ID     ID
	Group  model.GroupName
	Digest Digest
}

// Decision is the owner's decision on a submission.
type Decision uint8

// The decisions. Only after Run may the request be sent to an upstream.
const (
	// NotOwner means that the key's timestamp is not in an interval of this owner.
	NotOwner Decision = iota
	// Sealed means that the owner is handing its claims over to a successor.
	Sealed
	// OwnerLost means that the claims of an earlier owner are missing.
	OwnerLost
	// Expired means that claims with this timestamp may have been deleted.
	Expired
	// Full means that the limit on the claims of the table or of the group is
	// reached. The request was not run.
	Full
	// Run means that this is the first submission and the request must be run.
	Run
	// InProgress means that an earlier submission is still running.
	InProgress
	// Replay means that an earlier submission was answered and that the response
	// is retained.
	Replay
	// AnswerGone means that an earlier submission was answered, but that the
	// response is no longer retained.
	AnswerGone
	// OutcomeUnknown means that an earlier submission ended without a response
	// and may have run.
	OutcomeUnknown
	// Mismatch means that the key was already used for a different request.
	Mismatch
)

// String returns the name of the decision, used as a metric tag.
func (d Decision) String() string {
	return [...]string{
		"not-owner", "sealed", "owner-lost", "expired", "full", "run",
		"in-progress", "replay", "answer-gone", "outcome-unknown", "mismatch",
	}[d]
}

// Limits are the size limits of a Table.
type Limits struct {
	// Claims is the maximum number of claims in total. Default: 65,536.
	Claims int
	// GroupClaims is the maximum number of claims per group. Default: half of
	// Claims.
	GroupClaims int
	// AnswerBytes is the maximum total size of the retained answers. Default:
	// 4 MiB.
	AnswerBytes int
	// GroupAnswerBytes is the maximum size of the retained answers of a group.
	// Default: half of AnswerBytes.
	GroupAnswerBytes int
}

const (
	defaultClaims      = 1 << 16
	defaultAnswerBytes = 4 << 20
	// groupDivisor sets the default limits per group. They are the total limits
	// divided by groupDivisor.
	groupDivisor = 2
	// maxPriorOwners is the maximum number of earlier owners whose claims a table
	// holds.
	maxPriorOwners = 1024
)

func (l Limits) withDefaults() Limits {
	if l.Claims <= 0 {
		l.Claims = defaultClaims
	}
	if l.GroupClaims <= 0 {
		l.GroupClaims = max(1, l.Claims/groupDivisor)
	}
	if l.AnswerBytes <= 0 {
		l.AnswerBytes = defaultAnswerBytes
	}
	if l.GroupAnswerBytes <= 0 {
		l.GroupAnswerBytes = l.AnswerBytes / groupDivisor
	}
	return l
}

// state is the state of a claim.
type state uint8

const (
	running state = iota
	answered
	outcomeUnknown
)

// claim records that a key was used, and the outcome of its request.
type claim struct {
	id     ID
	group  model.GroupName
	digest Digest
	state  state
	// answer is the retained answer, or nil.
	answer *Answer
	// answerSize is the size of the answer in bytes.
	answerSize int
	// heapIndex is the claim's index in Table.byStamp.
	heapIndex int
}

// Table holds the claims of one owner. It is not safe for concurrent use.
type Table struct {
	self       Owner
	limits     Limits
	claimsByID map[ID]*claim
	byStamp    claimHeap
	// claimsPerGroup is the number of claims of each group.
	claimsPerGroup map[model.GroupName]int
	answers        *answerCache
	sealed         bool
	// floor is the timestamp below which claims have been deleted.
	floor Stamp
	// priorOwners holds the earlier owners whose claims were imported completely.
	// Its keys are the incarnations of these owners.
	priorOwners map[uint64]earlier
	mutation    mutation
}

// NewTable returns an empty table for an owner.
func NewTable(self Owner, limits Limits) *Table {
	limits = limits.withDefaults()
	return &Table{
		self:           self,
		limits:         limits,
		claimsByID:     make(map[ID]*claim),
		claimsPerGroup: make(map[model.GroupName]int),
		answers:        newAnswerCache(limits.GroupAnswerBytes, limits.AnswerBytes),
		priorOwners:    make(map[uint64]earlier),
	}
}

// Self returns the owner of the table.
func (t *Table) Self() Owner { return t.self }

// Len returns the number of claims.
func (t *Table) Len() int { return len(t.claimsByID) }

// AnswerBytes returns the total size of the retained answers in bytes.
func (t *Table) AnswerBytes() int { return t.answers.usedBytes }

// Begin decides on a submission. If the decision is Run, the caller must run the
// request and call Finish when the request has ended. If the decision is Replay,
// Begin also returns the retained Answer. Otherwise the Answer is nil.
func (t *Table) Begin(l *Ledger, r Request) (Decision, *Answer) {
	if t.sealed && t.mutation != ignoreSeal {
		return Sealed, nil
	}
	stamp := r.ID.Key.Stamp()
	interval, ownership := l.Lookup(r.ID.Key.Range(l.RangeCount()), stamp)
	if ownership == Pruned {
		return Expired, nil
	}
	if ownership != Owned || !t.owns(interval.Owner) {
		return NotOwner, nil
	}
	floor, ok := t.floorOf(interval.PriorOwners)
	if !ok {
		return OwnerLost, nil
	}
	if c := t.claimsByID[r.ID]; c != nil {
		return c.decisionFor(r.Digest)
	}
	if stamp < floor {
		return Expired, nil
	}
	if len(t.claimsByID) >= t.limits.Claims || t.claimsPerGroup[r.Group] >= t.limits.GroupClaims {
		return Full, nil
	}
	t.insert(&claim{id: r.ID, group: r.Group, digest: r.Digest})
	return Run, nil
}

// owns reports whether the given owner is the owner of this table.
func (t *Table) owns(o Owner) bool {
	if t.mutation == ignoreIncarnation {
		return o.Daemon == t.self.Daemon
	}
	return o == t.self
}

// floorOf returns the floor of an interval. Below this timestamp, claims of the
// interval may have been deleted, either by this owner or by an earlier one. The
// argument holds the incarnations that owned the interval before. If the claims of
// any of these incarnations are missing, floorOf returns false.
func (t *Table) floorOf(incarnations []uint64) (Stamp, bool) {
	floor := t.floor
	if t.mutation == ignoreFloor {
		return 0, true
	}
	if t.mutation == checkLastPriorOwnerOnly && len(incarnations) > 1 {
		incarnations = incarnations[len(incarnations)-1:]
	}
	for _, incarnation := range incarnations {
		e, ok := t.priorOwners[incarnation]
		if !ok && t.mutation != skipPriorOwnerCheck {
			return 0, false
		}
		floor = max(floor, e.Floor)
	}
	return floor, true
}

// decisionFor returns the decision on another submission of the key that has the
// claim. The argument is the digest of the submitted request. For Replay, decisionFor
// also returns the retained answer.
func (c *claim) decisionFor(d Digest) (Decision, *Answer) {
	switch {
	case c.digest != d:
		return Mismatch, nil
	case c.state == running:
		return InProgress, nil
	case c.state == outcomeUnknown:
		return OutcomeUnknown, nil
	case c.answer == nil:
		return AnswerGone, nil
	default:
		return Replay, c.answer
	}
}

// Finish records the outcome of a request for which Begin returned Run. If the kind of
// outcome is NotRun, the request certainly did not run. Its claim is then deleted, so
// that a retry can run the request. Any kind other than NotRun and Answered counts as
// an unknown outcome. The answer is nil if there is none or if it is too large to
// retain. Finish does nothing if the claim has been deleted or has an outcome already.
func (t *Table) Finish(id ID, kind outcome.Kind, a *Answer) {
	c := t.claimsByID[id]
	if c == nil || c.state != running {
		return
	}
	switch kind {
	case outcome.NotRun:
		t.remove(c)
	case outcome.Answered:
		c.state = answered
		if a != nil {
			t.answers.retain(c, a)
		}
	default:
		c.state = outcomeUnknown
		if t.mutation == releaseUnknownOutcome {
			t.remove(c)
		}
	}
}

// Expire deletes the claims with timestamps below floor. From then on, Begin returns
// Expired instead of Run or Full for keys with such timestamps. Expire also forgets
// the earlier owners whose intervals end at or below floor. It does nothing if floor
// is not higher than in an earlier call.
func (t *Table) Expire(floor Stamp) {
	if floor <= t.floor {
		return
	}
	t.floor = floor
	for len(t.byStamp) > 0 && t.byStamp[0].id.Key.Stamp() < floor {
		t.remove(t.byStamp[0])
	}
	for incarnation, e := range t.priorOwners {
		if e.Until <= floor {
			delete(t.priorOwners, incarnation)
		}
	}
}

func (t *Table) insert(c *claim) {
	t.claimsByID[c.id] = c
	t.claimsPerGroup[c.group]++
	heap.Push(&t.byStamp, c)
}

func (t *Table) remove(c *claim) {
	delete(t.claimsByID, c.id)
	heap.Remove(&t.byStamp, c.heapIndex)
	t.answers.discard(c)
	t.claimsPerGroup[c.group]--
	if t.claimsPerGroup[c.group] == 0 {
		delete(t.claimsPerGroup, c.group)
	}
}

// claimHeap is a min-heap of claims, ordered by the timestamps of their keys.
type claimHeap []*claim

// Len implements heap.Interface.
func (h claimHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h claimHeap) Less(i, j int) bool { return h[i].id.Key.Stamp() < h[j].id.Key.Stamp() }

// Swap implements heap.Interface.
func (h claimHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *claimHeap) Push(x any) {
	c := x.(*claim)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *claimHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return c
}
