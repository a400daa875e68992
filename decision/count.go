package decision

import (
	"log/slog"

	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/telemetry"
)

// maxCounters is the maximum number of combinations of kind and reason that have their
// own counter. When there are that many, decisions with any other combination are counted
// by kind alone.
const maxCounters = 256

// decisionCounters counts decisions by kind and reason, including decisions whose log lines
// are dropped. It is safe for concurrent use.
type decisionCounters struct {
	countersByKey *telemetry.BoundedMetrics[counterKey, tally.Counter]
}

// counterKey identifies one counter.
type counterKey struct {
	kind   Kind
	reason string
}

// newDecisionCounters returns counters that report to scope. If scope is nil, they are not
// reported.
func newDecisionCounters(scope tally.Scope) *decisionCounters {
	scope = telemetry.OrNoop(scope)
	withoutReason := func(k counterKey) counterKey { return counterKey{kind: k.kind} }
	newCounter := func(k counterKey) tally.Counter {
		return scope.Tagged(map[string]string{"kind": string(k.kind), "reason": k.reason}).Counter("decisions")
	}
	return &decisionCounters{countersByKey: telemetry.NewBoundedMetrics(maxCounters, withoutReason, newCounter)}
}

// reasonKey is the name of the attribute that holds the reason of a decision.
const reasonKey = "reason"

// add counts a decision of kind k. The reason is the value of the attribute reasonKey in
// attrs, or empty if there is none.
func (c *decisionCounters) add(k Kind, attrs []slog.Attr) {
	key := counterKey{kind: k}
	for i := range attrs {
		if attrs[i].Key == reasonKey {
			key.reason = attrs[i].Value.String()
			break
		}
	}
	c.countersByKey.Get(key).Inc(1)
}
