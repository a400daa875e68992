// Package demo runs a demonstration deployment, a parcel co-operative, in one process on loopback.
// The deployment has an in-memory record log, and three availability zones with daemons and
// stand-in upstreams. The demonstration publishes a sharing policy and then sends requests of
// several groups of callers for a limited time. One group sends more requests than its service can
// execute.
//
// The package compares the responses to callers with the executions at the upstreams to check these
// invariants:
//   - Every response is complete and belongs to its request.
//   - Every answered request has run.
//   - No request reported as not run has run.
//   - No non-idempotent request ran more than once.
//   - No request ran that was never sent.
//   - All daemons have the same configuration version in force.
package demo
