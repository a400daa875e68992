// Package proctest contains tests that run real daemon processes over TCP, on
// separate loopback addresses, while they kill, pause and drain processes and make
// the record log unavailable. The tests check the invariants of the system from
// histories: callers record the results of their requests, and upstreams count the
// executions of each request.
//
// The package consists of tests only.
package proctest
