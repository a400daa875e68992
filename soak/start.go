package soak

import (
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"

	"github.com/dottereltiller/dottereltiller/child"
)

// startMutex serializes the starts of programs. A program inherits the ignored signals of this
// process, and startIgnoringHangup changes the ignored signals during a start.
var startMutex sync.Mutex

// startDefault starts a program that ignores only the signals that this process usually ignores.
// It waits for a running startIgnoringHangup, which makes this process ignore SIGHUP as well.
func startDefault(cmd *exec.Cmd) error {
	startMutex.Lock()
	defer startMutex.Unlock()
	return child.Start(cmd)
}

// startIgnoringHangup starts a program that ignores SIGHUP until it installs its own handler.
// Without this, a reload fault could end a daemon that has just been restarted and has no handler
// yet. While the program starts, this process ignores SIGHUP too, so a SIGHUP to it is lost.
func startIgnoringHangup(cmd *exec.Cmd) error {
	startMutex.Lock()
	defer startMutex.Unlock()
	if !signal.Ignored(syscall.SIGHUP) {
		signal.Ignore(syscall.SIGHUP)
		defer signal.Notify(hangupChannel(), syscall.SIGHUP)
	}
	return child.Start(cmd)
}

// hangupChannel returns a channel for signal.Notify. A SIGHUP on the channel ends this process, as
// the default action of SIGHUP does. After signal.Ignore, neither signal.Reset nor signal.Stop
// restores the default action.
var hangupChannel = sync.OnceValue(func() chan<- os.Signal {
	c := make(chan os.Signal, 1)
	go func() {
		<-c
		const exitCode = 128 + int(syscall.SIGHUP)
		os.Exit(exitCode)
	}()
	return c
})
