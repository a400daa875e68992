package demo

import (
	"fmt"
	"net/http"
	"sort"
	"sync"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/load"
)

// observer records the outcome of each request as its caller received it.
type observer struct {
	mu sync.Mutex
	// outcomes holds the outcomes by request name.
	outcomes map[string]callerOutcome
}

// callerOutcome is the outcome that the caller of a request received.
type callerOutcome struct {
	kind       outcome.Kind
	idempotent bool
}

func newObserver() *observer { return &observer{outcomes: make(map[string]callerOutcome)} }

// observe records the reply to a request.
func (o *observer) observe(r *load.Request, reply load.Reply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outcomes[r.Name] = callerOutcome{kind: reply.Kind, idempotent: r.Method != http.MethodPost}
}

// violations compares the recorded outcomes with runsByRequest, which holds the number of
// executions by request name. It returns a sorted list with a message for each violation of an
// invariant.
func (o *observer) violations(runsByRequest map[string]int) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for name, received := range o.outcomes {
		runs := runsByRequest[name]
		switch {
		case !received.idempotent && runs > 1:
			out = append(out, fmt.Sprintf("non-idempotent request %s ran %d times", name, runs))
		case received.kind == outcome.NotRun && runs > 0:
			out = append(out, fmt.Sprintf("request %s ran although its caller was told it did not", name))
		case received.kind == outcome.Answered && runs == 0:
			out = append(out, fmt.Sprintf("request %s was answered but never ran", name))
		}
	}
	for name := range runsByRequest {
		if _, ok := o.outcomes[name]; !ok {
			out = append(out, fmt.Sprintf("request %s ran but was never sent", name))
		}
	}
	sort.Strings(out)
	return out
}
