package owner

import (
	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/claims"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// metrics are the counters and gauges of a Service.
type metrics struct {
	scope tally.Scope
	// appends counts the successful appends of grants and checkpoints.
	appends tally.Counter
	// failedAppends counts the failed appends of grants, checkpoints and transfers.
	failedAppends tally.Counter
	// failedReads counts the reads of the grants that ended with an error.
	failedReads tally.Counter
	// trimmedReads counts the reads of records that the log no longer keeps.
	trimmedReads tally.Counter
	// unreadableRecords counts the records that cannot be decoded.
	unreadableRecords tally.Counter
	// resubmissions counts the retries of submissions by the routing side.
	resubmissions tally.Counter
	// handovers counts the drains that handed the claims over.
	handovers tally.Counter
	// failedHandovers counts the drains that failed to hand the claims over.
	failedHandovers tally.Counter
	// claims is the number of claims in the table.
	claims tally.Gauge
	// responseBytes is the total size of the retained responses.
	responseBytes tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		scope:             scope,
		appends:           scope.Counter("appends"),
		failedAppends:     scope.Counter("appends_failed"),
		failedReads:       scope.Counter("reads_failed"),
		trimmedReads:      scope.Counter("reads_trimmed"),
		unreadableRecords: scope.Counter("records_unreadable"),
		resubmissions:     scope.Counter("resent_to_owner"),
		handovers:         scope.Counter("handovers"),
		failedHandovers:   scope.Counter("handovers_failed"),
		claims:            scope.Gauge("claims"),
		responseBytes:     scope.Gauge("answer_bytes"),
	}
}

// countDecision counts a submission to this owner by the decision on it.
func (m metrics) countDecision(v claims.Decision) {
	m.scope.Tagged(map[string]string{"verdict": v.String()}).Counter("submissions").Inc(1)
}

// countUnresolved counts, by its reason, a submission for which the routing side got no
// final outcome.
func (m metrics) countUnresolved(r outcome.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(r)}).Counter("unsettled").Inc(1)
}
