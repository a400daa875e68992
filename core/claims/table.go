package claims

import (
	"container/heap"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// ID names a claim. Keys of different callers never meet.
type ID struct {
	Caller model.CallerName
	Key    Key
}

// Digest is the digest of a request, so that a key cannot be used for another.
type Digest [16]byte

// Request is one submission of a keyed request.
type Request struct {
	ID     ID
	Group  model.GroupName
	Digest Digest
}

// Verdict is what the owner does with a submission.
type Verdict uint8

// The verdicts. Only Run lets the request go to an upstream.
const (
	// NotOwner means that the key's stamp is not in this owner's intervals.
	NotOwner Verdict = iota
	// Sealed means that the owner hands its claims to a successor.
	Sealed
	// OwnerLost means that the claims of an earlier owner were lost.
	OwnerLost
	// Expired means that claims of this stamp may have been dropped.
	Expired
	// Full means that there is no room for one more claim. The key has not run.
	Full
	// Run means that the submission is the first one and must be run.
	Run
	// InProgress means that an earlier submission is being run.
	InProgress
	// Replay means that an earlier submission was answered and that the answer
	// is retained.
	Replay
	// AnswerGone means that an earlier submission was answered, but its answer
	// is no longer retained.
	AnswerGone
	// OutcomeUnknown means that an earlier submission ended without an answer
	// and may have run.
	OutcomeUnknown
	// Mismatch means that the key was used for a different request.
	Mismatch
)

// String names the verdict, as a tag of metrics.
func (v Verdict) String() string {
	return [...]string{
		"not-owner", "sealed", "owner-lost", "expired", "full", "run",
		"in-progress", "replay", "answer-gone", "outcome-unknown", "mismatch",
	}[v]
}

// Limits bound a Table.
type Limits struct {
	// Claims bounds the claims in all, GroupClaims those of one group.
	// Defaults: 65,536 and half of Claims.
	Claims      int
	GroupClaims int
	// AnswerBytes bounds the retained answers in all, GroupAnswerBytes those
	// of one group. Defaults: 4 MiB and half of AnswerBytes.
	AnswerBytes      int
	GroupAnswerBytes int
}

const (
	defaultClaims      = 1 << 16
	defaultAnswerBytes = 4 << 20
	groupDivisor       = 2
	// maxImported bounds the earlier owners whose claims a table holds.
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

type state uint8

const (
	running state = iota
	answered
	outcomeUnknown
)

// claim is what the owner remembers of one key.
type claim struct {
	id     ID
	group  model.GroupName
	digest Digest
	state  state
	answer *Answer
	size   int
	// place is the claim's index in the heap.
	heapIndex int
}

// Table holds the claims of one owner. It is not safe for concurrent use.
type Table struct {
	self        Owner
	limits      Limits
	claims      map[ID]*claim
	byStamp     stampHeap
	groups      map[model.GroupName]int
	answers     *answerCache
	sealed      bool
	floor       Stamp
	priorOwners map[uint64]earlier
	mutation    mutation
}

// NewTable returns the empty table of an owner.
func NewTable(self Owner, limits Limits) *Table {
	limits = limits.withDefaults()
	return &Table{
		self:        self,
		limits:      limits,
		claims:      make(map[ID]*claim),
		groups:      make(map[model.GroupName]int),
		answers:     newAnswerCache(limits.GroupAnswerBytes, limits.AnswerBytes),
		priorOwners: make(map[uint64]earlier),
	}
}

// Self returns the owner whose table it is.
func (t *Table) Self() Owner { return t.self }

// Len returns the number of claims.
func (t *Table) Len() int { return len(t.claims) }

// AnswerBytes returns the bytes of the retained answers.
func (t *Table) AnswerBytes() int { return t.answers.usedBytes }

// Begin decides on a submission. After Run the caller must call Finish once the
// request has ended. The Answer is set with Replay only.
func (t *Table) Begin(l *Ledger, r Request) (Verdict, *Answer) {
	if t.sealed && t.mutation != ignoreSeal {
		return Sealed, nil
	}
	stamp := r.ID.Key.Stamp()
	in, standing := l.Lookup(r.ID.Key.Range(l.Ranges()), stamp)
	if standing == Forgotten {
		return Expired, nil
	}
	if standing != Owned || !t.owns(in.Owner) {
		return NotOwner, nil
	}
	floor, ok := t.floorOf(in.PriorOwners)
	if !ok {
		return OwnerLost, nil
	}
	if c := t.claims[r.ID]; c != nil {
		return c.decisionFor(r.Digest)
	}
	if stamp < floor {
		return Expired, nil
	}
	if len(t.claims) >= t.limits.Claims || t.groups[r.Group] >= t.limits.GroupClaims {
		return Full, nil
	}
	t.insert(&claim{id: r.ID, group: r.Group, digest: r.Digest})
	return Run, nil
}

func (t *Table) owns(o Owner) bool {
	if t.mutation == ignoreIncarnation {
		return o.Daemon == t.self.Daemon
	}
	return o == t.self
}

// floorOf returns the stamp below which claims of an interval may have been
// dropped, by this owner or an earlier one. It returns false when the claims of
// an earlier owner are missing.
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

func (c *claim) decisionFor(d Digest) (Verdict, *Answer) {
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

// Finish records how the run of a claim ended. A request that provably did not
// run gives its claim back, so that a retry can run it. The answer may be nil
// when it is too large to retain.
func (t *Table) Finish(id ID, kind outcome.Kind, a *Answer) {
	c := t.claims[id]
	if c == nil || c.state != running {
		return
	}
	switch kind {
	case outcome.NotRun:
		t.remove(c)
	case outcome.Answered:
		c.state = answered
		if a != nil {
			t.answers.put(c, a)
		}
	default:
		c.state = outcomeUnknown
		if t.mutation == releaseUnknownOutcome {
			t.remove(c)
		}
	}
}

// Expire drops the claims of stamps below floor. Their keys, and all others
// with such stamps, are answered Expired from then on.
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
	t.claims[c.id] = c
	t.groups[c.group]++
	heap.Push(&t.byStamp, c)
}

func (t *Table) remove(c *claim) {
	delete(t.claims, c.id)
	heap.Remove(&t.byStamp, c.heapIndex)
	t.answers.discard(c)
	t.groups[c.group]--
	if t.groups[c.group] == 0 {
		delete(t.groups, c.group)
	}
}

// stampHeap orders claims by the stamps of their keys.
type stampHeap []*claim

// Len implements heap.Interface.
func (h stampHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h stampHeap) Less(i, j int) bool { return h[i].id.Key.Stamp() < h[j].id.Key.Stamp() }

// Swap implements heap.Interface.
func (h stampHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *stampHeap) Push(x any) {
	c := x.(*claim)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *stampHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return c
}
