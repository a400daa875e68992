package main

import (
	"bufio"
	"errors"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/child"
	"github.com/dottereltiller/dottereltiller/exitcode"
	"github.com/dottereltiller/dottereltiller/platform"
)

// startBlockedOnSettings starts a daemon that reads its settings from a named pipe. It waits until
// the daemon has opened the pipe, and returns the process and the writing end of the pipe.
func startBlockedOnSettings(t *testing.T) (*exec.Cmd, *os.File) {
	t.Helper()
	pipe := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, syscall.Mkfifo(pipe, 0o600))
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+pipe)
	require.NoError(t, child.Start(cmd))
	w, err := os.OpenFile(pipe, os.O_WRONLY, 0)
	require.NoError(t, err)
	return cmd, w
}

// TestSIGHUPWhileReadingSettings sends SIGHUP to a daemon that is still reading its settings.
// The signal must not end the daemon. The daemon must read the settings to their end and exit with
// exitcode.Usage, because the settings are invalid.
func TestSIGHUPWhileReadingSettings(t *testing.T) {
	cmd, pipe := startBlockedOnSettings(t)
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	// The wait is long enough for the signal to end a process that does not catch it.
	time.Sleep(50 * time.Millisecond)
	_, err := pipe.WriteString("not: [settings\n")
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	err = cmd.Wait()
	var exited *exec.ExitError
	require.True(t, errors.As(err, &exited), "%v", err)
	require.Equal(t, exitcode.Usage, exited.ExitCode(), "%v", err)
}

// killTimeout is how long a test waits for a signal to end the daemon before it kills the
// daemon.
const killTimeout = 10 * time.Second

// TestSIGHUPHasInheritedActionOutsideThePlatform checks that a daemon that does not run on the
// platform has the action for SIGHUP that it inherited. If its parent ignored SIGHUP, the daemon
// ignores it too. Otherwise SIGHUP ends the daemon. Package hangup ignores SIGHUP while the program
// starts. The test fails if the daemon restores this ignored state instead of the inherited action.
func TestSIGHUPHasInheritedActionOutsideThePlatform(t *testing.T) {
	path := writeSettings(t, `{`+validSettings+`, "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0"}}`)
	for name, ignored := range map[string]bool{"started as usual": false, "started with SIGHUP ignored": true} {
		t.Run(name, func(t *testing.T) {
			cmd := exec.Command(program, "--settings", path)
			stderr, err := cmd.StderrPipe()
			require.NoError(t, err)
			if ignored {
				signal.Ignore(syscall.SIGHUP)
			}
			err = child.Start(cmd)
			// Programs that this process starts inherit the signals that it ignores.
			// Signals that it catches have their default action in those programs.
			// So Notify ends the effect of Ignore on later programs.
			signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
			require.NoError(t, err)
			defer time.AfterFunc(killTimeout, func() { _ = cmd.Process.Kill() }).Stop()
			awaitLine(t, bufio.NewReader(stderr), "daemon started")
			require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
			if ignored {
				require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
				require.NoError(t, cmd.Wait())
				return
			}
			_ = cmd.Wait()
			require.Equal(t, syscall.SIGHUP, cmd.ProcessState.Sys().(syscall.WaitStatus).Signal(), "%s", cmd.ProcessState)
		})
	}
}
