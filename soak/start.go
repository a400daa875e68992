package soak

import (
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
)

// startMutex has one program started at a time: what this process ignores is inherited by
// every program that it starts.
var startMutex sync.Mutex

// startDefault starts a program with the signals that this process has.
func startDefault(cmd *exec.Cmd) error {
	startMutex.Lock()
	defer startMutex.Unlock()
	return cmd.Start()
}

// startIgnoringHangup starts a program with SIGHUP ignored until the program catches it. A reload
// of a VM whose daemon has just been started again may come before that. A SIGHUP to this
// process is lost during the start.
func startIgnoringHangup(cmd *exec.Cmd) error {
	startMutex.Lock()
	defer startMutex.Unlock()
	if !signal.Ignored(syscall.SIGHUP) {
		signal.Ignore(syscall.SIGHUP)
		defer signal.Notify(hangupChannel(), syscall.SIGHUP)
	}
	return cmd.Start()
}

// hangupChannel returns the channel by which SIGHUP ends this process: after signal.Ignore
// neither signal.Reset nor signal.Stop brings the default action back.
var hangupChannel = sync.OnceValue(func() chan<- os.Signal {
	c := make(chan os.Signal, 1)
	go func() {
		<-c
		const exitCode = 128 + int(syscall.SIGHUP)
		os.Exit(exitCode)
	}()
	return c
})
