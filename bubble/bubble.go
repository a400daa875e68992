// Package bubble runs tests in virtual time, in a bubble: a group of goroutines with a clock of its
// own, which advances only while all of them are blocked.
//
// It uses testing/synctest with GOMAXPROCS set to 1, to work around a bug. The race detector of Go
// 1.26 keeps a context for each goroutine, but only one context for all timers of a bubble. If a
// channel timer expires while no goroutine is blocked on it, it fires in the goroutine that receives
// from the timer next. Two such goroutines that run in parallel corrupt the context, and the race
// detector crashes the process. With one processor goroutines cannot run in parallel. They still
// interleave, and the detector still finds races, because it uses the order of events and not the
// time.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Run calls f in a new bubble and waits for the bubble's goroutines to end, as
// synctest.Test does. GOMAXPROCS of the whole process is 1 during the call, so
// calls must not run in parallel.
func Run(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	previousProcs := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(previousProcs)
	synctest.Test(t, f)
}
