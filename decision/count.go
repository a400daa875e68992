package decision

import (
	"log/slog"

	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/telemetry"
)

// maxCounters bounds the counters; what is beyond is counted without its reason.
const maxCounters = 256

// decisionCounters counts decisions by kind and reason, whether or not their lines are kept. It
// is safe for concurrent use.
type decisionCounters struct {
	byKey *telemetry.BoundedMetrics[counterKey, tally.Counter]
}

type counterKey struct {
	kind   Kind
	reason string
}

// newDecisionCounters returns counts in a scope; nil counts nothing.
func newDecisionCounters(scope tally.Scope) *decisionCounters {
	scope = telemetry.OrNoop(scope)
	other := func(k counterKey) counterKey { return counterKey{kind: k.kind} }
	add := func(k counterKey) tally.Counter {
		return scope.Tagged(map[string]string{"kind": string(k.kind), "reason": k.reason}).Counter("decisions")
	}
	return &decisionCounters{byKey: telemetry.NewBoundedMetrics(maxCounters, other, add)}
}

// reasonKey is the field that tells the reason of a decision.
const reasonKey = "reason"

// add counts a decision.
func (c *decisionCounters) add(k Kind, attrs []slog.Attr) {
	key := counterKey{kind: k}
	for i := range attrs {
		if attrs[i].Key == reasonKey {
			key.reason = attrs[i].Value.String()
			break
		}
	}
	c.byKey.Get(key).Inc(1)
}
