// Package hangup catches SIGHUP from the start of the process on. On the platform, SIGHUP
// requests a reload of the settings; its default action would end a process that does not
// catch it yet.
//
// In a program built with cgo the signal is ignored from before the Go runtime starts until
// the runtime catches it.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives a value for each SIGHUP. A signal that arrives while another one has not
// been received yet is dropped.
var Signals = catch()

func catch() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// RestoreInherited stops catching SIGHUP and restores the action that the process inherited
// when it was started: the default action, which ends the process, or to ignore the signal.
func RestoreInherited() {
	signal.Reset(syscall.SIGHUP)
	restore()
}
