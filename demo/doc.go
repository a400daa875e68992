// Package demo runs a demonstration deployment, a parcel co-operative, in one
// process on loopback. The deployment has an in-memory record log, and three
// availability zones with daemons and stand-in upstreams. The demonstration
// publishes a sharing policy and then sends a mixed load for a limited time. One
// group sends more requests than its service can execute. The package compares the
// responses to callers with the executions at the upstreams to check the invariants
// of the system.
package demo
