package soak

import (
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
)

// starts has one program started at a time: what this process ignores is inherited by
// every program that it starts.
var starts sync.Mutex

// startFirst starts a program with the signals that this process has.
func startFirst(cmd *exec.Cmd) error {
	starts.Lock()
	defer starts.Unlock()
	return cmd.Start()
}

// startAgain starts a program with SIGHUP ignored until the program catches it. A reload
// of a VM whose daemon has just been started again may come before that. A SIGHUP to this
// process is lost during the start.
func startAgain(cmd *exec.Cmd) error {
	starts.Lock()
	defer starts.Unlock()
	if !signal.Ignored(syscall.SIGHUP) {
		signal.Ignore(syscall.SIGHUP)
		defer signal.Notify(hungUp(), syscall.SIGHUP)
	}
	return cmd.Start()
}

// hungUp returns the channel by which SIGHUP ends this process: after signal.Ignore
// neither signal.Reset nor signal.Stop brings the default action back.
var hungUp = sync.OnceValue(func() chan<- os.Signal {
	c := make(chan os.Signal, 1)
	go func() {
		<-c
		const exitCode = 128 + int(syscall.SIGHUP)
		os.Exit(exitCode)
	}()
	return c
})
