// Package controltest simulates the network between daemons and their connections to
// the log, for tests and benchmarks of the control plane. Both the network and the
// connections can be interrupted. The package does not simulate the daemons
// themselves: a test runs their real components on goroutines. Time is virtual if the
// test runs under testing/synctest.
package controltest
