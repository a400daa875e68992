package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/exitcode"
	"github.com/dottereltiller/dottereltiller/platform"
)

// TestHangupAtTheStart sends SIGHUP to a daemon that is still reading its settings, which
// come through a pipe: it goes on.
func TestHangupAtTheStart(t *testing.T) {
	pipe := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, syscall.Mkfifo(pipe, 0o600))
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+pipe)
	require.NoError(t, cmd.Start())
	// Returns once the daemon reads.
	w, err := os.OpenFile(pipe, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	// Long enough for a process that does not catch the signal to end by it.
	time.Sleep(50 * time.Millisecond)
	_, err = w.WriteString("not: [settings\n")
	require.NoError(t, err)
	require.NoError(t, w.Close())
	err = cmd.Wait()
	var exited *exec.ExitError
	require.True(t, errors.As(err, &exited), "%v", err)
	require.Equal(t, exitcode.Usage, exited.ExitCode(), "%v", err)
}
