// Package telemetry sets up the metrics and the log of a daemon.
//
// Components count their decisions by reason. Each component gets a tally.Scope in its
// options and counts there; Metrics serves all scopes to Prometheus. Spans are
// recorded by package trace. The log has lines only for changes of state.
// Operators on call therefore look at metrics first, then at spans, then at the
// log.
package telemetry
