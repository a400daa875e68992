//go:build cgo && linux

package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/child"
	"github.com/dottereltiller/dottereltiller/exitcode"
	"github.com/dottereltiller/dottereltiller/platform"
)

// TestSIGHUPBeforeTheRuntimeStarts sends SIGHUP to daemons whose Go runtime may not have installed
// its signal handlers yet. Until they are installed, the process must ignore SIGHUP, because the
// default action would end the process. Each daemon must exit with exitcode.Usage, because its settings
// are invalid. At least one daemon must have ignored SIGHUP when it was first observed; otherwise the
// test has checked nothing.
func TestSIGHUPBeforeTheRuntimeStarts(t *testing.T) {
	const starts = 200
	settings := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(settings, []byte("not: [settings\n"), 0o600))
	startsWithHangupIgnored := 0
	for range starts {
		cmd := exec.Command(program)
		cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+settings)
		require.NoError(t, child.Start(cmd))
		ignored, caught := false, false
		for !ignored && !caught {
			ignored, caught = hangupActions(t, cmd.Process.Pid)
		}
		require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
		_ = cmd.Wait()
		require.Equal(t, exitcode.Usage, cmd.ProcessState.ExitCode(), "%s", cmd.ProcessState)
		if ignored {
			startsWithHangupIgnored++
		}
	}
	require.Positive(t, startsWithHangupIgnored, "SIGHUP was never seen ignored in %d starts", starts)
}

// TestSIGHUPIsCaughtOnceTheRuntimeRuns checks that SIGHUP does not stay ignored after the start.
// If it did, requests to reload the settings would be lost.
func TestSIGHUPIsCaughtOnceTheRuntimeRuns(t *testing.T) {
	cmd, pipe := startBlockedOnSettings(t)
	ignored, caught := hangupActions(t, cmd.Process.Pid)
	require.NoError(t, pipe.Close())
	_ = cmd.Wait()
	require.False(t, ignored)
	require.True(t, caught)
}

// hangupActions reports whether a process ignores SIGHUP and whether it catches SIGHUP, according
// to /proc. A process that has ended is reported as catching SIGHUP.
func hangupActions(t *testing.T, pid int) (ignored, caught bool) {
	t.Helper()
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	const hangupMask = 1 << (syscall.SIGHUP - 1)
	ended := false
	for lines := bufio.NewScanner(f); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimSpace(value)
		switch name {
		case "State":
			ended = strings.HasPrefix(value, "Z")
		case "SigIgn", "SigCgt":
			mask, err := strconv.ParseUint(value, 16, 64)
			require.NoError(t, err)
			ignored = ignored || name == "SigIgn" && mask&hangupMask != 0
			caught = caught || name == "SigCgt" && mask&hangupMask != 0
		}
	}
	return ignored, caught || ended
}
