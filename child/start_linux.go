package child

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// startThread returns a channel to a thread that starts commands. The thread lives as long as the
// process: the kernel sends the signal of Pdeathsig when the thread ends that started the child, not only
// when the process does.
var startThread = sync.OnceValue(func() chan<- startRequest {
	requests := make(chan startRequest)
	go func() {
		runtime.LockOSThread()
		for r := range requests {
			r.err <- r.cmd.Start()
		}
	}()
	return requests
})

type startRequest struct {
	cmd *exec.Cmd
	err chan error
}

// Start starts a command that is killed when this process ends. It returns the error of
// exec.Cmd.Start. Other fields of cmd.SysProcAttr are kept.
func Start(cmd *exec.Cmd) error {
	if cmd.SysProcAttr == nil {
		cmd.SysProcAttr = &syscall.SysProcAttr{}
	}
	cmd.SysProcAttr.Pdeathsig = syscall.SIGKILL
	r := startRequest{cmd: cmd, err: make(chan error, 1)}
	startThread() <- r
	return <-r.err
}
