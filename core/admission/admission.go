package admission

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// ID names one request at one Controller. The caller never uses an ID twice.
type ID uint64

// Arrival is a request that reaches the guard.
type Arrival struct {
	ID      ID
	Request model.Request
}

// EffectKind tells what the caller of the Controller has to do.
type EffectKind uint8

// The effects.
const (
	// Start sends the request to the upstream now.
	Start EffectKind = iota + 1
	// Refuse answers the request with Effect.Outcome; it did not run.
	Refuse
)

// Effect is one instruction to the caller of the Controller.
type Effect struct {
	ID      ID
	Kind    EffectKind
	Outcome outcome.Outcome
}

// Result tells how a started request ended.
type Result struct {
	Outcome outcome.Outcome
	// Used is the slot time that the request held, in wall time.
	Used time.Duration
	// Failed is set when the upstream answered with a server error.
	Failed bool
}

// Group is the share of one group at this upstream.
type Group struct {
	Name model.GroupName
	// Weight is the relative share, at least 0. A group of weight 0 runs only
	// when nothing else waits.
	Weight float64
	// QueueBound is the largest number of waiting requests of the group.
	QueueBound int
	// MaxRunning is the largest number of the group's requests that run at
	// once here. Zero means no such limit.
	MaxRunning int
}

// Limiter finds how many requests the upstream can run at once.
type Limiter interface {
	// Limit returns the number of requests that may run at once, at least 1.
	Limit() int
	// Observe takes in a request that ended after holding a slot for used,
	// while running requests ran, itself among them. Requests that were cut
	// short without a failure are not observed: their time says nothing.
	Observe(now model.Instant, slotTime time.Duration, running int, failed bool)
}
