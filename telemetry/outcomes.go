package telemetry

import (
	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// OutcomeCounter counts outcomes by their kind and reason. It is safe for
// concurrent use and allocates nothing once an outcome has been seen.
type OutcomeCounter struct {
	counters *BoundedMetrics[outcomeKey, tally.Counter]
}

type outcomeKey struct {
	kind   outcome.Kind
	reason outcome.Reason
}

// maxOutcomes bounds the reasons that are told apart. Reasons are constants of
// package outcome; more can only come from a faulty peer.
const maxOutcomes = 256

// NewOutcomeCounter returns a counter of a name in a scope; nil counts nothing.
func NewOutcomeCounter(scope tally.Scope, name string) *OutcomeCounter {
	scope = OrNoop(scope)
	other := func(k outcomeKey) outcomeKey { return outcomeKey{k.kind, "other"} }
	add := func(k outcomeKey) tally.Counter {
		tags := map[string]string{"outcome": k.kind.String(), "reason": string(k.reason)}
		return scope.Tagged(tags).Counter(name)
	}
	return &OutcomeCounter{counters: NewBoundedMetrics(maxOutcomes, other, add)}
}

// Count counts one outcome.
func (c *OutcomeCounter) Count(o outcome.Outcome) {
	c.counters.Get(outcomeKey{o.Kind, o.Reason}).Inc(1)
}
