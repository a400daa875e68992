package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/telemetry"
)

// metrics counts the outcomes of requests and attempts and records latencies.
type metrics struct {
	// refused counts the requests that classify refused or that ask for an upgrade.
	refused *telemetry.OutcomeCounter
	// attempts counts the outcomes of attempts, including hedges.
	attempts *telemetry.OutcomeCounter
	// groups holds the metrics of classified requests by service and group.
	groups *telemetry.BoundedMetrics[groupKey, *groupMetrics]
}

type groupKey struct {
	service model.ServiceName
	group   model.GroupName
}

// groupMetrics are the metrics of one group at one service.
type groupMetrics struct {
	requests *telemetry.OutcomeCounter
	latency  tally.Timer
}

// maxGroupMetrics is the largest number of groups that have metrics of their own
// during the lifetime of the process. Further groups are counted together as "other".
const maxGroupMetrics = 4096

func newMetrics(scope tally.Scope) *metrics {
	scope = telemetry.OrNoop(scope)
	overflowKey := func(groupKey) groupKey { return groupKey{"other", "other"} }
	newGroupMetrics := func(k groupKey) *groupMetrics {
		scope := scope.Tagged(map[string]string{"service": string(k.service), "group": string(k.group)})
		return &groupMetrics{
			requests: telemetry.NewOutcomeCounter(scope, "requests"),
			latency:  scope.Timer("latency"),
		}
	}
	return &metrics{
		refused:  telemetry.NewOutcomeCounter(scope, "refused"),
		attempts: telemetry.NewOutcomeCounter(scope, "attempts"),
		groups:   telemetry.NewBoundedMetrics(maxGroupMetrics, overflowKey, newGroupMetrics),
	}
}

// recordRequest records the outcome and latency of a classified request.
func (m *metrics) recordRequest(req *request, o outcome.Outcome, latency time.Duration) {
	g := m.groups.Get(groupKey{req.service.Name, req.group})
	g.requests.Count(o)
	g.latency.Record(latency)
}
