// Package child starts processes that end with the process that started them, however that
// ends. Tests and the soak start daemons: one that outlived a killed test would hold its
// addresses, and the next test could not listen on them.
//
// Start has the kernel kill the child when its parent ends. That works only where the kernel
// can do so (Linux); elsewhere Start is exec.Cmd.Start. EndWithParent covers a test process
// that is itself left behind, because go test was killed.
package child
