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

	"github.com/dottereltiller/dottereltiller/exitcode"
	"github.com/dottereltiller/dottereltiller/platform"
)

// startBlockedOnSettings starts a daemon that reads its settings from a pipe, and returns it
// once it reads.
func startBlockedOnSettings(t *testing.T) (*exec.Cmd, *os.File) {
	t.Helper()
	pipe := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, syscall.Mkfifo(pipe, 0o600))
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+pipe)
	require.NoError(t, cmd.Start())
	w, err := os.OpenFile(pipe, os.O_WRONLY, 0)
	require.NoError(t, err)
	return cmd, w
}

// TestSIGHUPWhileReadingSettings sends SIGHUP to a daemon that is still reading its settings, which
// come through a pipe: it goes on.
func TestSIGHUPWhileReadingSettings(t *testing.T) {
	cmd, w := startBlockedOnSettings(t)
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	// Long enough for a process that does not catch the signal to end by it.
	time.Sleep(50 * time.Millisecond)
	_, err := w.WriteString("not: [settings\n")
	require.NoError(t, err)
	require.NoError(t, w.Close())
	err = cmd.Wait()
	var exited *exec.ExitError
	require.True(t, errors.As(err, &exited), "%v", err)
	require.Equal(t, exitcode.Usage, exited.ExitCode(), "%v", err)
}

// killTimeout ends a daemon that a signal was to end.
const killTimeout = 10 * time.Second

// TestSIGHUPHasInheritedActionOutsideThePlatform guards against the action that is ignored while the
// program starts being taken for the inherited one.
func TestSIGHUPHasInheritedActionOutsideThePlatform(t *testing.T) {
	path := writeSettings(t, `{`+validSettings+`, "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0"}}`)
	for name, ignored := range map[string]bool{"started as usual": false, "started with SIGHUP ignored": true} {
		t.Run(name, func(t *testing.T) {
			cmd := exec.Command(program, "--settings", path)
			out, err := cmd.StderrPipe()
			require.NoError(t, err)
			if ignored {
				signal.Ignore(syscall.SIGHUP)
			}
			err = cmd.Start()
			// What is caught here has its default action in programs started from here.
			signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
			require.NoError(t, err)
			defer time.AfterFunc(killTimeout, func() { _ = cmd.Process.Kill() }).Stop()
			awaitLine(t, bufio.NewReader(out), "daemon started")
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
