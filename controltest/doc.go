// Package controltest provides, for tests and benchmarks of the control plane, an
// in-process network between daemons and a connection to the log. Both can be
// interrupted. The package does not simulate the daemons: their components run
// unchanged, on goroutines. Time is virtual if the caller runs them under
// testing/synctest.
package controltest
