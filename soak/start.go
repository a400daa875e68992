package soak

import (
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
)

// startMutex serializes the starts of programs. A program inherits the signals that this
// process ignores, and startIgnoringHangup changes them for the time of a start.
var startMutex sync.Mutex

// startDefault starts a program with the current signal dispositions of this process.
func startDefault(cmd *exec.Cmd) error {
	startMutex.Lock()
	defer startMutex.Unlock()
	return cmd.Start()
}

// startIgnoringHangup starts a program that ignores SIGHUP until it installs its handler. A
// reload fault may send SIGHUP to a daemon that has just been restarted and has no handler
// yet. A SIGHUP to this process during the start is lost.
func startIgnoringHangup(cmd *exec.Cmd) error {
	startMutex.Lock()
	defer startMutex.Unlock()
	if !signal.Ignored(syscall.SIGHUP) {
		signal.Ignore(syscall.SIGHUP)
		defer signal.Notify(hangupChannel(), syscall.SIGHUP)
	}
	return cmd.Start()
}

// hangupChannel returns a channel for signal.Notify; a SIGHUP on it ends this process. It
// stands in for the default action, which neither signal.Reset nor signal.Stop restores
// after signal.Ignore.
var hangupChannel = sync.OnceValue(func() chan<- os.Signal {
	c := make(chan os.Signal, 1)
	go func() {
		<-c
		const exitCode = 128 + int(syscall.SIGHUP)
		os.Exit(exitCode)
	}()
	return c
})
