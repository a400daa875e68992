//go:build !linux

package child

import "os/exec"

// Start starts a command. It returns the error of exec.Cmd.Start.
func Start(cmd *exec.Cmd) error { return cmd.Start() }
