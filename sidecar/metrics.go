package sidecar

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/telemetry"
)

// metrics holds the metrics of a daemon.
type metrics struct {
	rejected     tally.Counter
	healthChecks tally.Counter
	// connsOpened counts the new connections to the local upstream.
	connsOpened tally.Counter
	retried     tally.Counter
	hedged      tally.Counter
	// sentToOtherZone counts the attempts that were sent to another availability zone.
	sentToOtherZone tally.Counter
	// retriesDenied counts the retries that the retry budget did not allow.
	retriesDenied tally.Counter
	// keyRefusals counts the requests that were refused for their keys, by cause.
	keyRefusals map[string]tally.Counter
	// keyChecks counts the checks for newer keys, by whether they came to a result.
	keyChecks map[bool]tally.Counter
	// retriesHeldBack counts those of them that the budget of the service had room for, which was
	// kept for retries that achieve more.
	retriesHeldBack tally.Counter
	// resolved counts the resolveRequests that this daemon sent.
	resolved tally.Counter
	// closedUnanswered counts the requests whose connection this daemon closed before it had
	// responded.
	closedUnanswered tally.Counter
	// endedInFlight counts the requests that this daemon ended with a response of its own while an
	// attempt was in flight, so that an upstream may have been running them. Callers that left are
	// not counted.
	endedInFlight tally.Counter
	// rateLimited counts the responses of the local upstream that limit the rate of its requests.
	// leaving counts those that state that the upstream is leaving.
	rateLimited tally.Counter
	leaving     tally.Counter
	// panics counts panics while requests were served, in handlers and in the goroutines that
	// handlers start.
	panics   tally.Counter
	outcomes *telemetry.OutcomeCounter
	traffic  *controlTraffic

	// latencies holds a histogram of the durations of requests for each route.
	latencies *timers
	// stages holds a histogram for each pair of a service and a stage of a request.
	stages *timers
}

// The stages of a request. Each name is also the name of a histogram.
const (
	// stageChoose lasts from the arrival of a request until it is sent for the first time.
	stageChoose = "choose"
	// stageSend lasts from the start of an attempt until its result arrives.
	stageSend = "send"
	// stageGuardWait lasts while a request is in the queue of the guard.
	stageGuardWait = "guard_wait"
	// stageUpstreamRun lasts while a request runs in the upstream.
	stageUpstreamRun = "upstream_run"
	// stageLoadAge is not a stage, but it is recorded in the same histograms. It is the age of
	// the load values by which the upstream was chosen.
	stageLoadAge = "load_age"
)

// maxTimers bounds the number of histograms in a set, not counting the shared ones. Once a set is
// full, all new combinations of service and route share one histogram for each name. See
// overflowKey.
const maxTimers = 256

func newMetrics(scope tally.Scope) *metrics {
	scope = telemetry.OrNoop(scope)
	return &metrics{
		rejected:         scope.Counter("given_back"),
		healthChecks:     scope.Counter("probes"),
		connsOpened:      scope.Counter("upstream_connections"),
		retried:          scope.Counter("resent"),
		hedged:           scope.Counter("hedged"),
		sentToOtherZone:  scope.Counter("sent_to_other_zone"),
		retriesDenied:    scope.Counter("resend_budget_empty"),
		retriesHeldBack:  scope.Counter("resend_held_back"),
		resolved:         scope.Counter("settled"),
		closedUnanswered: scope.Counter("requests_cut"),
		endedInFlight:    scope.Counter("requests_ended_in_flight"),
		rateLimited:      scope.Counter("upstream_limit_responses"),
		leaving:          scope.Counter("upstream_leaving_responses"),
		panics:           scope.Counter("handlers_panicked"),
		keyRefusals:      newKeyRefusals(scope),
		keyChecks: map[bool]tally.Counter{
			true:  scope.Tagged(map[string]string{"result": "confirmed"}).Counter("key_checks"),
			false: scope.Tagged(map[string]string{"result": "unanswered"}).Counter("key_checks"),
		},
		outcomes:  telemetry.NewOutcomeCounter(scope, "requests"),
		traffic:   newControlTraffic(scope),
		latencies: newTimers(scope),
		stages:    newTimers(scope),
	}
}

// The causes of refusals for keys.
const (
	causeNoKey      = "no-key"
	causeUnknownKey = "unknown-key"
	// causeUnconfirmed means that the key is unknown to a daemon that may be outdated.
	causeUnconfirmed = "unconfirmed"
	// causeKeyRemoved means that the key was removed after the request had arrived.
	causeKeyRemoved = "key-removed"
)

func newKeyRefusals(scope tally.Scope) map[string]tally.Counter {
	counters := make(map[string]tally.Counter)
	for _, cause := range []string{causeNoKey, causeUnknownKey, causeUnconfirmed, causeKeyRemoved} {
		counters[cause] = scope.Tagged(map[string]string{"cause": cause}).Counter("keys_refused")
	}
	return counters
}

// countKeyRefusal counts a request that was refused for its key. For other requests, it does nothing.
func (m *metrics) countKeyRefusal(cause string) {
	if c, ok := m.keyRefusals[cause]; ok {
		c.Inc(1)
	}
}

func (m *metrics) countKeyCheck(confirmed bool) { m.keyChecks[confirmed].Inc(1) }

func (m *metrics) countUpstreamConn() { m.connsOpened.Inc(1) }

func (m *metrics) recordResponse(service, route string, o outcome.Outcome, took time.Duration) {
	m.outcomes.Count(o)
	m.latencies.Get(timerKey{"latency", service, route}).Record(took)
}

func (m *metrics) recordStage(name string, service model.ServiceName, took time.Duration) {
	m.stages.Get(timerKey{name: name, service: string(service)}).Record(took)
}

// timers is a bounded set of histograms.
type timers = telemetry.BoundedMetrics[timerKey, tally.Timer]

// timerKey identifies a histogram. Without a route, the histogram covers the whole service.
type timerKey struct{ name, service, route string }

func newTimers(scope tally.Scope) *timers {
	return telemetry.NewBoundedMetrics(maxTimers, timerKey.overflowKey, func(k timerKey) tally.Timer {
		tags := map[string]string{"service": k.service}
		if k.route != "" {
			tags["route"] = k.route
		}
		return scope.Tagged(tags).Timer(k.name)
	})
}

// overflowKey returns the key of the histogram that k shares with other keys once the set is full.
func (k timerKey) overflowKey() timerKey {
	const other = "other"
	k.service = other
	if k.route != "" {
		k.route = other
	}
	return k
}
