// Package hangup catches SIGHUP from the start of the process on. On the platform, SIGHUP
// requests a reload of the settings. The default action of SIGHUP would end a process that does not
// catch SIGHUP yet.
//
// The Go runtime can catch a signal only after the runtime has started. A program built with cgo
// ignores SIGHUP from before the start of the runtime until the runtime catches the signal.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives a value for each SIGHUP. It holds one value: while the value of an earlier signal
// has not been received, further signals are dropped.
var Signals = catch()

func catch() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// RestoreInherited stops catching SIGHUP and restores the action that the process inherited when it
// was started. The inherited action is either the default action, which ends the process, or to
// ignore the signal.
func RestoreInherited() {
	signal.Reset(syscall.SIGHUP)
	restore()
}
