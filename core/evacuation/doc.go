// Package evacuation holds which availability zones are evacuated: their upstreams get no requests
// until the operator ends the evacuation.
//
// The operator starts and ends evacuations on a log. A State is what the log says up to an offset,
// so two daemons agree on which of two States is newer without comparing clocks, and a State read
// from a stale replica, or received late, never replaces a newer one. That a zone is not evacuated
// is part of a State, as the end of an evacuation leaves no record behind.
package evacuation
