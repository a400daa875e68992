// Package proctest contains tests that run real daemon processes over TCP, on
// separate loopback addresses. The tests kill, pause and drain processes and make
// the record log unavailable, and then check the invariants of the system from
// histories: callers record the results of their requests, and upstreams count the
// executions of each request.
//
// The package consists of tests only.
package proctest
