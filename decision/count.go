package decision

import (
	"log/slog"

	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/telemetry"
)

// maxCounters bounds the counters; what is beyond is counted without its reason.
const maxCounters = 256

// counts counts decisions by kind and reason, whether or not their lines are kept. It
// is safe for concurrent use.
type counts struct {
	counters *telemetry.BoundedMetrics[counted, tally.Counter]
}

type counted struct {
	kind   Kind
	reason string
}

// newCounts returns counts in a scope; nil counts nothing.
func newCounts(scope tally.Scope) *counts {
	scope = telemetry.OrNoop(scope)
	other := func(k counted) counted { return counted{kind: k.kind} }
	add := func(k counted) tally.Counter {
		return scope.Tagged(map[string]string{"kind": string(k.kind), "reason": k.reason}).Counter("decisions")
	}
	return &counts{counters: telemetry.NewBoundedMetrics(maxCounters, other, add)}
}

// reasonKey is the field that tells the reason of a decision.
const reasonKey = "reason"

// add counts a decision.
func (c *counts) add(k Kind, attrs []slog.Attr) {
	key := counted{kind: k}
	for i := range attrs {
		if attrs[i].Key == reasonKey {
			key.reason = attrs[i].Value.String()
			break
		}
	}
	c.counters.Get(key).Inc(1)
}
