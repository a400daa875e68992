package sidecar

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/telemetry"
)

// metrics are the figures of a daemon.
type metrics struct {
	givenBack   tally.Counter
	probes      tally.Counter
	connsOpened tally.Counter
	resent      tally.Counter
	hedged      tally.Counter
	denied      tally.Counter
	settled     tally.Counter
	// cut counts the requests whose connection this daemon closed before the answer.
	cut tally.Counter
	// aborted counts panics while requests were served, of handlers and beside them.
	panics   tally.Counter
	outcomes *telemetry.OutcomeCounter
	traffic  *traffic

	// latencies holds a histogram for each route, stages one for each stage of a
	// request and each service.
	latencies *timers
	stages    *timers
}

// The stages of a request, which name their histograms.
const (
	// stageChoose ends with the first send.
	stageChoose = "choose"
	// stageSend lasts from a send until its answer is back.
	stageSend = "send"
	// stageGuard is the wait at the guard, stageUpstream the run in the upstream.
	stageGuard    = "guard_wait"
	stageUpstream = "upstream_run"
	// stageLoadAge is no stage: how old the figures of load were that decided where
	// a request went.
	stageLoadAge = "load_age"
)

// maxTimers bounds the histograms of one set; what is beyond shares one for each
// name.
const maxTimers = 256

func newMetrics(scope tally.Scope) *metrics {
	scope = telemetry.OrNoop(scope)
	return &metrics{
		givenBack:   scope.Counter("given_back"),
		probes:      scope.Counter("probes"),
		connsOpened: scope.Counter("upstream_connections"),
		resent:      scope.Counter("resent"),
		hedged:      scope.Counter("hedged"),
		denied:      scope.Counter("resend_budget_empty"),
		settled:     scope.Counter("settled"),
		cut:         scope.Counter("requests_cut"),
		panics:      scope.Counter("handlers_panicked"),
		outcomes:    telemetry.NewOutcomeCounter(scope, "requests"),
		traffic:     newTraffic(scope),
		latencies:   newTimers(scope),
		stages:      newTimers(scope),
	}
}

func (m *metrics) upstreamConns() { m.connsOpened.Inc(1) }

// answered records how long a request took.
func (m *metrics) answered(service, route string, o outcome.Outcome, took time.Duration) {
	m.outcomes.Count(o)
	m.latencies.Of(timerKey{"latency", service, route}).Record(took)
}

// stage records how long a stage of a request to a service took.
func (m *metrics) stage(name string, service model.ServiceName, took time.Duration) {
	m.stages.Of(timerKey{name: name, service: string(service)}).Record(took)
}

// timers is a bounded set of histograms.
type timers = telemetry.Bounded[timerKey, tally.Timer]

// timerKey names a histogram. One without a route covers all of a service.
type timerKey struct{ name, service, route string }

func newTimers(scope tally.Scope) *timers {
	return telemetry.NewBounded(maxTimers, timerKey.other, func(k timerKey) tally.Timer {
		tags := map[string]string{"service": k.service}
		if k.route != "" {
			tags["route"] = k.route
		}
		return scope.Tagged(tags).Timer(k.name)
	})
}

// other is the key of all that have no histogram of their own.
func (k timerKey) other() timerKey {
	const other = "other"
	k.service = other
	if k.route != "" {
		k.route = other
	}
	return k
}
