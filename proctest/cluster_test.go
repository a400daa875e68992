package proctest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/child"
	"github.com/dottereltiller/dottereltiller/core/config"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/daemon"
	"github.com/dottereltiller/dottereltiller/loopback"
	"github.com/dottereltiller/dottereltiller/operator"
	"github.com/dottereltiller/dottereltiller/recordlog"
	"github.com/dottereltiller/dottereltiller/standin"
)

const (
	// callerPort, peerPort and adminPort are the ports at which each daemon serves callers, other
	// daemons and administration.
	callerPort = 7000
	peerPort   = 7001
	adminPort  = 7002
	// slotsPerUpstream is the number of slots of every upstream.
	slotsPerUpstream = 6
	// conditionTimeout is how long await waits for a condition.
	conditionTimeout = 30 * time.Second
	// conditionPollInterval is the time between two checks of a condition.
	conditionPollInterval = 20 * time.Millisecond
	// announceInterval is the time between two announcements of an upstream.
	announceInterval = 300 * time.Millisecond
)

// zones are the availability zones, to which the VMs of a service are assigned in turn.
var zones = []string{"odense-hal-a", "odense-hal-b", "svendborg-lager"}

// vm is one VM: a daemon process, and its upstream, which runs in the test process.
type vm struct {
	t    testing.TB
	ip   string
	zone string
	// binary is the path of the daemon's executable.
	binary       string
	settingsPath string
	upstream     *standin.Upstream
	// cmd is the daemon process that was started last, stderr the file with its log. exited is closed
	// once the process has exited; cmd.ProcessState says how.
	cmd    *exec.Cmd
	stderr *os.File
	exited chan struct{}
	// draining makes the announcements report that the upstream drains.
	draining atomic.Bool
}

// cluster is a deployment of real daemons.
type cluster struct {
	t   testing.TB
	vms []*vm
	// log is the record log from which the daemons read configurations. It is served at logAddress.
	log *recordlog.Memory
	// logDown makes the log respond to every request with status 503.
	logDown    atomic.Bool
	logAddress string
	// logReads and logAppends count the read and append requests to the log, also those that arrive
	// while logDown is set.
	logReads, logAppends atomic.Int64
	stopAnnouncing       context.CancelFunc
	announcers           sync.WaitGroup
}

// startCluster starts a cluster with one VM for each upstream. upstreamCounts holds the number of
// upstreams by service, which must be returdesk or sporarkiv. Short test runs skip the test.
func startCluster(t testing.TB, upstreamCounts map[string]int) *cluster {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes; not in short runs")
	}
	c := &cluster{t: t, log: &recordlog.Memory{}}
	c.startLog()
	binary := buildDaemon(t)
	networkNumber, err := loopback.OwnNetwork()
	require.NoError(t, err)
	n := 0
	for _, service := range []string{"returdesk", "sporarkiv"} {
		for i := range upstreamCounts[service] {
			n++
			v := &vm{t: t, ip: fmt.Sprintf("127.%d.%d.%d", networkNumber, i%len(zones)+1, n), zone: zones[i%len(zones)], binary: binary}
			up, err := standin.Start(fmt.Sprintf("%s-%d", service, i+1), service, slotsPerUpstream)
			require.NoError(t, err)
			t.Cleanup(func() { _ = up.Close() })
			v.upstream = up
			v.settingsPath = c.writeSettings(v)
			v.start()
			c.vms = append(c.vms, v)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.stopAnnouncing = cancel
	for _, v := range c.vms {
		c.announcers.Go(func() { v.keepAnnouncing(ctx) })
	}
	t.Cleanup(c.close)
	return c
}

// close ends the announcements and kills all daemons.
func (c *cluster) close() {
	c.stopAnnouncing()
	c.announcers.Wait()
	for _, v := range c.vms {
		v.kill()
	}
}

// startLog serves the log over HTTP and counts the requests. While logDown is set, it responds with
// status 503.
func (c *cluster) startLog() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	c.logAddress = ln.Addr().String()
	handler := recordlog.Handler(c.log)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			c.logAppends.Add(1)
		} else {
			c.logReads.Add(1)
		}
		if c.logDown.Load() {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	})}
	go func() { _ = srv.Serve(ln) }()
	c.t.Cleanup(func() { _ = srv.Close() })
}

// buildDaemon compiles the daemon and returns the path of the executable.
func buildDaemon(t testing.TB) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "dottereltillerd")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/dottereltillerd").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// writeSettings writes the settings file of a daemon and returns its path.
func (c *cluster) writeSettings(v *vm) string {
	address := func(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }
	data, err := json.Marshal(map[string]any{
		"zone": v.zone,
		"listen": map[string]string{
			"callers": address(callerPort), "peers": address(peerPort), "admin": address(adminPort),
		},
		"log":   map[string]string{"address": c.logAddress},
		"peers": map[string]string{"secret": "0123456789abcdef0123456789abcdef"},
	})
	require.NoError(c.t, err)
	path := filepath.Join(c.t.TempDir(), "settings.json")
	require.NoError(c.t, os.WriteFile(path, data, 0o600))
	return path
}

// start starts the daemon process. The log of the daemon goes to a temporary file, which await
// prints if its condition does not become true in time.
func (v *vm) start() {
	v.t.Helper()
	stderr, err := os.CreateTemp(v.t.TempDir(), "stderr")
	require.NoError(v.t, err)
	v.stderr = stderr
	v.cmd = exec.Command(v.binary, "--settings", v.settingsPath)
	v.cmd.Stderr = stderr
	require.NoError(v.t, child.Start(v.cmd))
	cmd, exited := v.cmd, make(chan struct{})
	v.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

func (v *vm) signal(s syscall.Signal) { require.NoError(v.t, v.cmd.Process.Signal(s)) }

// kill kills the daemon process with SIGKILL and waits until it has exited.
func (v *vm) kill() {
	_ = v.cmd.Process.Kill()
	<-v.exited
	_ = v.stderr.Close()
}

// stop sends SIGTERM to the daemon, which then drains, and returns its exit code.
func (v *vm) stop() int {
	v.signal(syscall.SIGTERM)
	<-v.exited
	_ = v.stderr.Close()
	return v.cmd.ProcessState.ExitCode()
}

// state says whether the daemon process runs, or how it has exited.
func (v *vm) state() string {
	select {
	case <-v.exited:
		return v.cmd.ProcessState.String()
	default:
		return "running"
	}
}

// logOutput returns the log of the daemon process, or the text of the error if it cannot be read.
func (v *vm) logOutput() string {
	data, err := os.ReadFile(v.stderr.Name())
	if err != nil {
		return err.Error()
	}
	return string(data)
}

func (v *vm) callerAddress() string { return fmt.Sprintf("%s:%d", v.ip, callerPort) }
func (v *vm) adminAddress() string  { return fmt.Sprintf("%s:%d", v.ip, adminPort) }

// keepAnnouncing announces the upstream to its daemon at announceInterval until the
// context ends.
func (v *vm) keepAnnouncing(ctx context.Context) {
	for ctx.Err() == nil {
		announceCtx, cancel := context.WithTimeout(ctx, announceInterval)
		_ = v.upstream.Announce(announceCtx, v.adminAddress(), 1, v.draining.Load())
		cancel()
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
}

// status returns the status that the daemon reports on its status page, and false if the
// daemon does not respond.
func (v *vm) status() (daemon.Status, bool) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.adminAddress() + "/status")
	if err != nil {
		return daemon.Status{}, false
	}
	defer func() { _ = resp.Body.Close() }()
	var s daemon.Status
	err = json.NewDecoder(resp.Body).Decode(&s)
	return s, err == nil
}

// version returns the configuration version in force at the daemon, and false if the
// daemon does not respond.
func (v *vm) version() (uint64, bool) {
	s, ok := v.status()
	return uint64(s.Version), ok
}

// usableUpstreams returns the number of upstreams of all services that the daemon knows, without
// the upstreams that drain. It returns 0 if the daemon does not respond.
func (v *vm) usableUpstreams() int {
	s, _ := v.status()
	n := 0
	for _, svc := range s.Services {
		for _, u := range svc.Upstreams {
			if !u.Draining {
				n++
			}
		}
	}
	return n
}

// publish publishes configuration documents and returns the accepted version.
func (c *cluster) publish(docs []policy.Document) uint64 {
	c.t.Helper()
	res, err := operator.Publish(c.t.Context(), recordlog.NewClient(c.logAddress), "proctest", docs)
	require.NoError(c.t, err)
	require.Equal(c.t, config.Accepted, res.Decision)
	return uint64(res.Version)
}

// awaitVersion waits until a configuration version or a newer version is in force at every
// daemon.
func (c *cluster) awaitVersion(version uint64) {
	c.t.Helper()
	for _, v := range c.vms {
		c.await(v.upstream.ID+" has the version in force", func() bool {
			got, ok := v.version()
			return ok && got >= version
		})
	}
}

// await waits until a condition holds. After conditionTimeout it prints the logs of all daemons and
// fails the test. conditionTimeout is so long that only a test that would hang reaches it.
func (c *cluster) await(description string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			for _, v := range c.vms {
				c.t.Logf("%s, %s:\n%s", v.upstream.ID, v.state(), v.logOutput())
			}
			require.FailNow(c.t, "condition did not become true", description)
		}
		time.Sleep(conditionPollInterval)
	}
}
