// Package bubble runs tests in virtual time.
//
// It is testing/synctest on one processor. The race detector of Go 1.26 keeps
// one context for all timers of a bubble. A channel timer that comes due while
// no goroutine blocks on it fires in whichever goroutine receives from it next,
// so two such goroutines that run at once corrupt the context, and the process
// dies in the detector. One processor keeps them apart; goroutines still
// interleave, and races are still found, since the detector goes by the order
// of events and not by the clock.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Run calls f in a new bubble and waits for the bubble's goroutines to end, as
// synctest.Test does. The whole process has one processor meanwhile, so callers
// must not run in parallel with each other.
func Run(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	processors := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(processors)
	synctest.Test(t, f)
}
