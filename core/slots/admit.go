package slots

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/placement"
)

const (
	// slowerFactor is part of the bound above which a request is rejected as SlowerHere. The
	// bound on its expected time at this upstream is slowerFactor times its expected time at
	// the best other upstream, plus slowerMargin. A small advantage of the other upstream is
	// not enough: the rejection costs a round trip, and the load of the other upstream is older
	// than the load known here.
	slowerFactor = 1.25
	// slowerMargin is added to the bound for SlowerHere.
	slowerMargin = 10 * time.Millisecond
	// deadlineShare is the share of the time until its deadline that a request may take if it
	// cannot meet its target. If it is expected to take longer and no slot is free, it is
	// rejected as Full, because its caller is better off retrying later.
	deadlineShare = 0.5
	// urgentDeadlineShare replaces deadlineShare for requests of all ranks but the last. Nested
	// calls are an example: their parent fails without them. Refusing a nested call wastes the
	// work already done for its parent. The larger share increased the value of the completed
	// requests by a tenth in a mesh whose nested calls were short of slots. In that mesh,
	// parents took 60 ms and nested calls 15 ms.
	urgentDeadlineShare = 0.85
)

// Arrival is a request that arrives at an upstream's guard.
type Arrival struct {
	// Rank is the priority of the request; see Item.Rank.
	Rank int
	// Account and Weight are the client account of the request and its weight; see Item.
	Account Account
	Weight  float64
	// Kind identifies the route of the request; see Item.Kind.
	Kind Kind
	// Urgent is set if some route has a lower priority than the request, that is, if the
	// request does not have the last rank.
	Urgent bool
	// ServiceTime is the usual service time of the request.
	ServiceTime time.Duration
	// UntilTarget is the time left until the target of the request. It is zero if the request
	// has no target, and negative if the target has already been missed.
	UntilTarget time.Duration
	// UntilDeadline is the time left until the deadline of the request.
	UntilDeadline time.Duration
	// Alternative is the expected time until the request would complete at the best other
	// upstream. Zero means that no other upstream can take the request.
	Alternative time.Duration
}

// Performance is the current speed and reliability of the upstream.
type Performance struct {
	// Slowdown is the current service time divided by the usual service time.
	Slowdown float64
	// FailureRate is the share of recent requests that failed, from 0 to 1.
	FailureRate float64
}

// Admission is the result of Queue.Admit.
type Admission uint8

// The possible values of an Admission.
const (
	// Admitted means that the request may enter the queue.
	Admitted Admission = iota
	// SlowerHere means that the request would complete clearly sooner at another upstream.
	SlowerHere
	// Full means that the request would complete too late to be worth the wait.
	Full
)

// Admit decides whether a request may enter the queue. If it may, Admit returns the Item that
// the caller must pass to Add after setting its ID. In every case, the duration is the expected
// time until the request would complete here.
func (q *Queue) Admit(now model.Instant, a Arrival, p Performance) (Item, Admission, time.Duration) {
	ahead := q.Ahead(Position{Rank: a.Rank, Kind: a.Kind, Account: a.Account, Weight: a.Weight})
	startDelay := q.StartDelay(now, ahead-q.running)
	expected := placement.ExpectedTime(a.ServiceTime, p.Slowdown, ahead, q.limit, startDelay, p.FailureRate)
	if a.Alternative > 0 && expected > time.Duration(slowerFactor*float64(a.Alternative))+slowerMargin {
		return Item{}, SlowerHere, expected
	}
	q.guarantees.offer(now, flow{account: a.Account, rank: a.Rank})
	share := deadlineShare
	if a.Urgent {
		share = urgentDeadlineShare
	}
	usefulTime := max(a.UntilTarget, time.Duration(share*float64(a.UntilDeadline)))
	if (q.running >= q.limit || startDelay > 0) && expected > usefulTime {
		return Item{}, Full, expected
	}
	item := Item{
		Rank: a.Rank, Account: a.Account, Weight: a.Weight, Kind: a.Kind, ServiceTime: a.ServiceTime,
		Arrived: now, Deadline: now.Add(a.UntilDeadline), UsefulUntil: now.Add(usefulTime),
	}
	if a.UntilTarget != 0 {
		item.Target = now.Add(a.UntilTarget)
	}
	if a.Alternative > 0 {
		item.WaitUntil = now.Add(a.Alternative/2 + slowerMargin)
	}
	return item, Admitted, expected
}
