// Package controltest provides an in-process network between daemons and a
// connection to the log that can be interrupted, for tests and benchmarks of
// the control plane. It does not simulate the daemons: their components run
// unchanged, on goroutines. Time is virtual when the caller runs them under
// testing/synctest.
package controltest
