package main

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/child"
	"github.com/dottereltiller/dottereltiller/settings"
)

// program is the path of the daemon's binary.
var program string

// TestMain builds the daemon's binary, which the tests run.
func TestMain(m *testing.M) {
	child.EndWithParent()
	dir, err := os.MkdirTemp("", "dottereltillerd")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "dottereltillerd")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	if err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// runProgram runs the daemon's binary to its end and returns its exit code and output.
func runProgram(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	cmd := exec.Command(program, args...)
	var outBuf, errBuf bytes.Buffer
	cmd.Stdout, cmd.Stderr = &outBuf, &errBuf
	err := cmd.Run()
	var exited *exec.ExitError
	if err != nil && !errors.As(err, &exited) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), outBuf.String(), errBuf.String()
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "d.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// validSettings holds the required settings, as the members of a JSON object.
const validSettings = `"zone": "odense-hal-a", "log": {"address": "127.0.0.1:1"}, "peers": {"secret": "s"}`

// TestStartupErrors checks the exit code and the error message for common mistakes in flags and
// settings. Valid flags and settings must be accepted.
func TestStartupErrors(t *testing.T) {
	usedListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = usedListener.Close() }()
	for name, c := range map[string]struct {
		args       []string
		wantCode   int
		wantStderr string
	}{
		"no settings":                   {nil, 2, "no settings file: set --settings or DOTTERELTILLER_SETTINGS"},
		"unknown flag":                  {[]string{"--setings", "d.json"}, 2, "unknown argument --setings"},
		"absent file":                   {[]string{"--settings", "absent.json"}, 2, "open absent.json: no such file or directory"},
		"misspelled field":              {[]string{"--settings", writeSettings(t, `{`+validSettings+`, "zoen": "a"}`)}, 2, `zoen: no such field (got "a")`},
		"misspelled field with --check": {[]string{"--check", "--settings", writeSettings(t, `{`+validSettings+`, "zoen": "a"}`)}, 2, `zoen: no such field (got "a")`},
		"no certificate":                {[]string{"--check", "--settings", writeSettings(t, `{`+validSettings+`, "callers": {"tls": {"certificate": "c", "key": "k"}}}`)}, 2, `callers.tls.certificate: open c: no such file or directory (got "c")`},
		"address in use":                {[]string{"--settings", writeSettings(t, `{`+validSettings+`, "listen": {"callers": "`+usedListener.Addr().String()+`"}}`)}, 1, "listen.callers: listen tcp " + usedListener.Addr().String() + ": bind: address already in use"},
		"valid":                         {[]string{"--check", "--settings", writeSettings(t, `{`+validSettings+`}`)}, 0, ""},
		"quick start example":           {[]string{"--check", "--settings", "../../examples/quickstart/daemon.json"}, 0, ""},
		"version printed":               {[]string{"--version"}, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			code, _, stderr := runProgram(t, c.args...)
			require.Equal(t, c.wantCode, code, stderr)
			require.Contains(t, stderr, c.wantStderr)
		})
	}
}

func TestPrintDefaults(t *testing.T) {
	code, stdout, _ := runProgram(t, "--print-defaults")
	require.Zero(t, code)
	want, err := settings.Defaults().JSON()
	require.NoError(t, err)
	require.Equal(t, string(want), strings.TrimSpace(stdout))
}

// TestSIGTERMStopsTheDaemonCleanly starts a daemon whose log server is not running, and stops the
// daemon. The daemon must exit with code 0 and log no line of level ERROR after the signal.
func TestSIGTERMStopsTheDaemonCleanly(t *testing.T) {
	path := writeSettings(t, `{`+validSettings+`, "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0"}}`)
	cmd := exec.Command(program, "--settings", path)
	stderr, err := cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, child.Start(cmd))
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		if strings.Contains(lines.Text(), `"msg":"daemon started"`) {
			break
		}
	}
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	for lines.Scan() {
		require.NotContains(t, lines.Text(), `"level":"ERROR"`)
	}
	require.NoError(t, cmd.Wait())
}
