package child

import (
	"bufio"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// modeEnv selects what the test program does instead of running tests.
const modeEnv = "CHILD_TEST_MODE"

// In modeParent, the test program starts sleep and prints its process id. In modeGrandparent, it starts
// itself in modeParent and prints that program's output.
const (
	modeParent      = "parent"
	modeGrandparent = "grandparent"
)

func TestMain(m *testing.M) {
	switch os.Getenv(modeEnv) {
	case modeParent:
		EndWithParent()
		cmd := exec.Command("sleep", "600")
		if err := Start(cmd); err != nil {
			os.Exit(2)
		}
		_, _ = os.Stdout.WriteString(strconv.Itoa(cmd.Process.Pid) + "\n")
		_ = cmd.Wait()
	case modeGrandparent:
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), modeEnv+"="+modeParent)
		cmd.Stdout = os.Stdout
		if err := cmd.Start(); err != nil {
			os.Exit(2)
		}
		_ = cmd.Wait()
	default:
		os.Exit(m.Run())
	}
}

// TestNoProcessIsLeftBehind guards against daemons that outlive a killed test and hold their addresses.
// It kills a program that has started another one, and a program two levels up, as when go test is
// killed. The last program must end.
func TestNoProcessIsLeftBehind(t *testing.T) {
	for name, mode := range map[string]string{"the test is killed": modeParent, "go test is killed": modeGrandparent} {
		t.Run(name, func(t *testing.T) {
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), modeEnv+"="+mode)
			out, err := cmd.StdoutPipe()
			require.NoError(t, err)
			require.NoError(t, Start(cmd))
			line, err := bufio.NewReader(out).ReadString('\n')
			require.NoError(t, err)
			pid, err := strconv.Atoi(strings.TrimSpace(line))
			require.NoError(t, err)
			require.True(t, isRunning(pid))
			require.NoError(t, cmd.Process.Kill())
			_ = cmd.Wait()
			require.Eventually(t, func() bool { return !isRunning(pid) }, 20*time.Second, 10*time.Millisecond)
		})
	}
}

// isRunning reports whether a process exists and has not ended.
func isRunning(pid int) bool {
	if syscall.Kill(pid, 0) != nil {
		return false
	}
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return false
	}
	_, state, _ := strings.Cut(string(stat), ") ")
	return !strings.HasPrefix(state, "Z")
}
