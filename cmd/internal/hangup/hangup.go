// Package hangup catches SIGHUP from the start of the process on. The signal asks for the
// settings to be read again, and would end a process that does not catch it yet.
//
// In a program built with cgo the signal is ignored from before the Go runtime starts until
// the runtime catches it.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals brings the signals. One that came while another waits is dropped.
var Signals = catch()

func catch() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// RestoreInherited has the signal do again what it would have done when the process was started: end
// it, unless whoever started it ignores the signal.
func RestoreInherited() {
	signal.Reset(syscall.SIGHUP)
	restore()
}
