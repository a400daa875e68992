// Package demo runs a demonstration deployment, a parcel co-operative, in one
// process on loopback: an in-memory record log, three availability zones with
// daemons and stand-in upstreams, a published sharing policy, and a bounded mixed
// load in which one group sends more than its service can handle. It checks the
// invariants of the system by comparing the responses to callers with the
// executions at the upstreams.
package demo
