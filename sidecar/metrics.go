package sidecar

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/telemetry"
)

// metrics are the figures of a daemon.
type metrics struct {
	scope     tally.Scope
	givenBack tally.Counter
	probes    tally.Counter
	conns     tally.Counter
	resent    tally.Counter
	hedged    tally.Counter
	denied    tally.Counter
	settled   tally.Counter
	outcomes  *telemetry.OutcomeCounter
	// waited and ran are the hops of a request at its guard.
	waited tally.Timer
	ran    tally.Timer

	mu sync.Mutex
	// latencies holds a histogram for each route.
	latencies map[string]tally.Timer
}

// maxRoutes bounds the routes with a histogram of their own; the others share one.
const maxRoutes = 256

func newMetrics(scope tally.Scope) *metrics {
	scope = telemetry.OrNoop(scope)
	return &metrics{
		scope:     scope,
		givenBack: scope.Counter("given_back"),
		probes:    scope.Counter("probes"),
		conns:     scope.Counter("upstream_connections"),
		resent:    scope.Counter("resent"),
		hedged:    scope.Counter("hedged"),
		denied:    scope.Counter("resend_budget_empty"),
		settled:   scope.Counter("settled"),
		outcomes:  telemetry.NewOutcomeCounter(scope, "requests"),
		waited:    scope.Timer("guard_wait"),
		ran:       scope.Timer("upstream_run"),
		latencies: make(map[string]tally.Timer),
	}
}

func (m *metrics) upstreamConns() { m.conns.Inc(1) }

// answered records how long a request took.
func (m *metrics) answered(route string, o outcome.Outcome, took time.Duration) {
	m.outcomes.Count(o)
	m.latency(route).Record(took)
}

func (m *metrics) latency(route string) tally.Timer {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t := m.latencies[route]; t != nil {
		return t
	}
	if len(m.latencies) >= maxRoutes {
		route = "other"
	}
	t := m.scope.Tagged(map[string]string{"route": route}).Timer("latency")
	m.latencies[route] = t
	return t
}
