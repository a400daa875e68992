// Package proctest contains tests that run real daemon processes over TCP, on
// separate loopback addresses. The tests kill, pause and drain processes and make
// the record log unavailable. Callers record the results of their requests, and
// upstreams count the executions of each request. From these records the tests
// check the invariants of the system.
//
// The package consists of tests only.
package proctest
