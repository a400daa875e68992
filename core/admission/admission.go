package admission

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// ID identifies one request in a Controller. No two requests may have the same ID.
type ID uint64

// Arrival is a request that is passed to Controller.Arrive.
type Arrival struct {
	ID      ID
	Request model.Request
}

// EffectKind says what the caller of the Controller must do with a request.
type EffectKind uint8

// The kinds of Effect.
const (
	// Start sends the request to the upstream now.
	Start EffectKind = iota + 1
	// Refuse refuses the request with Effect.Outcome. The request did not run.
	Refuse
)

// Effect tells the caller of the Controller to start or to refuse a request.
// Outcome is set only when the request is refused.
type Effect struct {
	ID      ID
	Kind    EffectKind
	Outcome outcome.Outcome
}

// Result describes how a started request ended.
type Result struct {
	Outcome outcome.Outcome
	// SlotTime is how long the request held its slot, in wall-clock time.
	SlotTime time.Duration
	// Failed is set when the upstream answered with a server error. It is also set
	// when the attempt failed for any reason other than a cancellation.
	Failed bool
}

// Group is the configuration of one group at the upstream. A group is a set of
// callers that share the upstream's slots with other groups by weight.
type Group struct {
	Name model.GroupName
	// Weight is the group's share of slot time relative to the other groups: while all
	// groups have waiting requests, each gets slot time in proportion to its weight.
	// Slot time is the time that requests hold slots. Groups of weight 0 come last.
	// Their requests start only when no group with a weight above 0 has a request that
	// may start. Very small weights count as more; see fairqueue.MinWeightRatio.
	Weight float64
	// QueueBound is the largest number of waiting requests of the group.
	QueueBound int
	// MaxRunning is the largest number of the group's requests that run at once
	// at the upstream. Zero means no limit.
	MaxRunning int
}

// Limiter is an adaptive concurrency limit for the upstream.
type Limiter interface {
	// Limit returns the number of requests that may run at once, at least 1.
	Limit() int
	// Observe records the end of a request. slotTime is how long the request held its
	// slot. running is the number of requests that were running just before this request
	// ended, including this request. Observe is not called for a request that was cut
	// short without a failure, for example because the caller cancelled it. The slot time
	// of such a request is not representative.
	Observe(now model.Instant, slotTime time.Duration, running int, failed bool)
}
