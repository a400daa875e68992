package telemetry

import (
	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// OutcomeCounter counts outcomes by kind and reason. It is safe for concurrent use
// and allocates only for the first outcome of each kind and reason.
type OutcomeCounter struct {
	counters *BoundedMetrics[outcomeKey, tally.Counter]
}

type outcomeKey struct {
	kind   outcome.Kind
	reason outcome.Reason
}

// maxOutcomes bounds the pairs of kind and reason that have a counter of their own.
// Reasons are constants of package outcome, which has far fewer than maxOutcomes.
// Only a faulty peer can send other reasons.
const maxOutcomes = 256

// NewOutcomeCounter returns an OutcomeCounter that counts under the given name in
// scope. Nothing is counted when scope is nil.
func NewOutcomeCounter(scope tally.Scope, name string) *OutcomeCounter {
	scope = OrNoop(scope)
	overflowKey := func(k outcomeKey) outcomeKey { return outcomeKey{k.kind, "other"} }
	newCounter := func(k outcomeKey) tally.Counter {
		tags := map[string]string{"outcome": k.kind.String(), "reason": string(k.reason)}
		return scope.Tagged(tags).Counter(name)
	}
	return &OutcomeCounter{counters: NewBoundedMetrics(maxOutcomes, overflowKey, newCounter)}
}

// Count increments the counter of an outcome's kind and reason.
func (c *OutcomeCounter) Count(o outcome.Outcome) {
	c.counters.Get(outcomeKey{o.Kind, o.Reason}).Inc(1)
}
