// Package demo runs a demonstration deployment, a parcel co-operative, in one process on loopback.
// The deployment has an in-memory record log, and three availability zones with daemons and
// stand-in upstreams. The demonstration publishes a sharing policy and then sends requests of
// several groups of callers for a limited time. One group sends more requests than its service can
// execute.
//
// The package compares the responses to callers with the executions at the upstreams to check these
// invariants: every response is complete and belongs to its request, no request reported as not run
// has run, no non-idempotent request ran twice, and all daemons have the same configuration version
// in force.
package demo
