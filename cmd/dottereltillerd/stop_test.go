package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/child"
)

// TestSecondSignalReportsAbortedRequests keeps a call of another daemon in flight, so that the
// daemon keeps running after the first signal. The second signal must make the daemon abort the
// call and report the aborted call.
func TestSecondSignalReportsAbortedRequests(t *testing.T) {
	cmd := exec.Command(program, "--settings", writeSettings(t, `{`+validSettings+`,
		"listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0"},
		"process": {"shutdown_timeout": "60s", "drain_time": "0s"}}`))
	stderr, err := cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, child.Start(cmd))
	defer func() { _ = cmd.Process.Kill() }()
	lines := bufio.NewReader(stderr)
	peerAddress := awaitLine(t, lines, "daemon started")["id"].(string)

	conn, err := net.Dial("tcp", peerAddress)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "POST /dottereltiller.peer.v1.PeerService/Ping HTTP/1.1\r\nHost: d\r\n"+
		"Content-Type: application/proto\r\nExpect: 100-continue\r\nContent-Length: 100\r\n\r\n")
	require.NoError(t, err)
	statusLine, err := bufio.NewReader(conn).ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, statusLine, "100", "the handler reads the message")

	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	awaitLine(t, lines, "daemon stopping")
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	remainingLog, err := io.ReadAll(lines)
	require.NoError(t, err)
	_ = cmd.Wait()
	require.Equal(t, 1, cmd.ProcessState.ExitCode(), "%s: %s", cmd.ProcessState, remainingLog)
	require.Contains(t, string(remainingLog), "abandoned 0 of callers, 1 calls of other daemons, 0 keyed runs")
}

// awaitLine reads log lines until one contains msg. It returns the fields of that line.
func awaitLine(t *testing.T, lines *bufio.Reader, msg string) map[string]any {
	t.Helper()
	for {
		text, err := lines.ReadString('\n')
		require.NoError(t, err, "no line %q", msg)
		if !strings.Contains(text, msg) {
			continue
		}
		var line map[string]any
		require.NoError(t, json.Unmarshal([]byte(text), &line))
		return line
	}
}
