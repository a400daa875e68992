package owner

import (
	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/claims"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// metrics are the counters and gauges of a Service.
type metrics struct {
	scope tally.Scope
	// appended counts the appended grants and checkpoints.
	appended tally.Counter
	// appendFailed counts the failed appends of grants, checkpoints and transfers.
	appendFailed tally.Counter
	// readFailed counts the reads of the grants that ended with an error.
	readFailed tally.Counter
	// trimmedReads counts the reads of records that the log no longer keeps.
	trimmedReads tally.Counter
	// unreadableRecords counts the records that cannot be decoded.
	unreadableRecords tally.Counter
	// resubmitted counts the retries of submissions by the routing side.
	resubmitted tally.Counter
	// handedOver counts the drains that handed the claims over.
	handedOver tally.Counter
	// handoverFailed counts the drains that failed to do so.
	handoverFailed tally.Counter
	// claims is the number of claims in the table.
	claims tally.Gauge
	// responseBytes is the total size of the retained responses.
	responseBytes tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		scope:             scope,
		appended:          scope.Counter("appends"),
		appendFailed:      scope.Counter("appends_failed"),
		readFailed:        scope.Counter("reads_failed"),
		trimmedReads:      scope.Counter("reads_trimmed"),
		unreadableRecords: scope.Counter("records_unreadable"),
		resubmitted:       scope.Counter("resent_to_owner"),
		handedOver:        scope.Counter("handovers"),
		handoverFailed:    scope.Counter("handovers_failed"),
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
