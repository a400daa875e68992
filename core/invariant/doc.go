// Package invariant reports broken invariants.
//
// An ordinary failure is a value: an outcome or an error. An invariant is a condition that the
// program itself guarantees; once one is broken, the program's state can no longer be trusted.
// Violated panics with a *Broken. No supervisor restarts any part of the program after this
// panic: the process exits, and its panic message names the invariant.
package invariant
