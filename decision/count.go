package decision

import (
	"log/slog"
	"sync"

	"github.com/uber-go/tally/v4"
)

// maxCounters bounds the counters; what is beyond is counted without its reason.
const maxCounters = 256

// counts counts decisions by kind and reason, whether or not their lines are kept. It
// is safe for concurrent use.
type counts struct {
	scope tally.Scope

	mu  sync.Mutex
	all map[counted]tally.Counter
}

type counted struct {
	kind   Kind
	reason string
}

func newCounts(s tally.Scope) *counts {
	if s == nil {
		s = tally.NoopScope
	}
	return &counts{scope: s, all: make(map[counted]tally.Counter)}
}

// add counts a decision.
func (c *counts) add(k Kind, attrs []slog.Attr) {
	key := counted{kind: k}
	for i := range attrs {
		if attrs[i].Key == reasonKey {
			key.reason = attrs[i].Value.String()
			break
		}
	}
	c.counter(key).Inc(1)
}

// reasonKey is the field that tells the reason of a decision.
const reasonKey = "reason"

func (c *counts) counter(k counted) tally.Counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.all[k]; n != nil {
		return n
	}
	if len(c.all) >= maxCounters {
		k.reason = ""
		if n := c.all[k]; n != nil {
			return n
		}
	}
	n := c.scope.Tagged(map[string]string{"kind": string(k.kind), "reason": k.reason}).Counter("decisions")
	c.all[k] = n
	return n
}
