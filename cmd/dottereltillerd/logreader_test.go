package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/child"
	"github.com/dottereltiller/dottereltiller/loopback"
	"github.com/dottereltiller/dottereltiller/platform/platformtest"
)

// TestDaemonSurvivesClosedStdout closes the pipe to which a daemon on the platform writes its
// log, and makes the daemon write one more line. The daemon must keep running and stop cleanly.
// By default, SIGPIPE would end the daemon when it writes that line.
func TestDaemonSurvivesClosedStdout(t *testing.T) {
	address, err := loopback.UnusedAddress()
	require.NoError(t, err)
	ip, _, err := net.SplitHostPort(address)
	require.NoError(t, err)
	addressWithPort := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	vm := platformtest.VM{
		Name: "vm-1", IP: ip, Zone: "z", Service: "a", Outbound: addressWithPort(8141), Ready: addressWithPort(8140), Control: addressWithPort(8146),
		Upstream: addressWithPort(8147), Store: addressWithPort(8342), InternalPort: 7660, Advertised: addressWithPort(7660), Bootstrap: true,
		GraceS: 1, RetryBudgetRatio: 0.2, RetryBudgetSlack: 10, RetryBudgetWindowS: 10,
	}
	path := writeSettings(t, vm.Settings())
	logReader, logWriter, err := os.Pipe()
	require.NoError(t, err)
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), platformtest.Env(path))
	cmd.Stdout = logWriter
	require.NoError(t, child.Start(cmd))
	defer func() { _ = cmd.Process.Kill() }()
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	require.NoError(t, logWriter.Close())
	awaitLine(t, bufio.NewReader(logReader), "daemon started")
	require.NoError(t, logReader.Close())

	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	select {
	case err := <-ended:
		require.Fail(t, "the daemon ended", "%v", err)
	case <-time.After(500 * time.Millisecond):
	}
	resp, err := http.Get(vm.ReadyURL())
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-ended)
}

// TestDaemonStopsWithClosedStderr closes the pipe to which a daemon that does not run on the
// platform writes its log, and stops the daemon. The daemon must exit with code 0.
func TestDaemonStopsWithClosedStderr(t *testing.T) {
	cmd := exec.Command(program, "--settings", writeSettings(t, `{`+validSettings+`,
		"listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0"}}`))
	stderr, err := cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, child.Start(cmd))
	defer func() { _ = cmd.Process.Kill() }()
	awaitLine(t, bufio.NewReader(stderr), "daemon started")
	require.NoError(t, stderr.Close())
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, cmd.Wait())
}
