package soak

import (
	"os/exec"
	"os/signal"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHangupBeforeHandlerIsInstalled guards against a reload ending a daemon that has just
// been started again, and against first starts hiding one that never catches the signal.
func TestHangupBeforeHandlerIsInstalled(t *testing.T) {
	if signal.Ignored(syscall.SIGHUP) {
		t.Skip("the test itself was started with SIGHUP ignored")
	}
	for _, c := range []struct {
		name  string
		start func(*exec.Cmd) error
		ends  syscall.Signal
	}{
		{"first", startDefault, syscall.SIGHUP},
		{"again", startIgnoringHangup, syscall.SIGTERM},
		{"first after that", startDefault, syscall.SIGHUP},
	} {
		t.Run(c.name, func(t *testing.T) {
			const starts = 20
			for range starts {
				// It catches no signal.
				cmd := exec.Command("sleep", "60")
				require.NoError(t, c.start(cmd))
				require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
				require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
				_ = cmd.Wait()
				got := cmd.ProcessState.Sys().(syscall.WaitStatus).Signal()
				// Of two signals that wait the lower one is taken first.
				require.Equal(t, c.ends, got)
			}
			require.False(t, signal.Ignored(syscall.SIGHUP))
		})
	}
}
