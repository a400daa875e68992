package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/dottereltiller/dottereltiller/child"
	"github.com/dottereltiller/dottereltiller/platform/platformtest"
)

// The ports of a machine. Each machine has an address of its own, as the port of the metrics is fixed.
const (
	portOutbound, portReady, portControl, portInternal, portApp, portStore, portMetrics = 18141, 18140, 18146, 17660, 18147, 18142, 9102
)

// The bounds of the small deployments, from their sheets.
const (
	drainTime    = 2 * time.Second
	stableWindow = 3 * time.Second
	recoveryTime = 15 * time.Second
)

// world is a deployment of a few machines.
type world struct {
	trouble bool
	dir     string
	subnet  string
	store   *platformtest.Store
	servers []*http.Server

	mu       sync.Mutex
	record   *os.File
	started  time.Time
	machines []*machine
	closed   bool
	// runs counts the runs of each request at all backends.
	runs map[string]int
}

// failure ends a case that cannot run.
type failure struct{ error }

func newWorld(recordPath string, trouble bool) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, dir: dir, record: record, started: time.Now(), store: platformtest.NewStore(), runs: map[string]int{}}
	for range 50 {
		w.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if w.isFree() {
			break
		}
	}
	ln, err := net.Listen("tcp", w.storeAddress())
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: w.store}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(ln) }()
	w.logf("trouble %t", trouble)
	return w, nil
}

// isFree reports whether the ports of the first machines of the subnet are free.
func (w *world) isFree() bool {
	for n := 1; n <= 6; n++ {
		for _, port := range []int{portOutbound, portReady, portControl, portInternal, portApp, portMetrics} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", w.subnet, n, port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

func (w *world) storeAddress() string { return fmt.Sprintf("%s.250:%d", w.subnet, portStore) }

// run plays a case and returns the exit code.
func (w *world) run(play func(*world) bool) (code int) {
	defer w.close()
	defer func() {
		if v := recover(); v != nil {
			var f failure
			if err, ok := v.(error); ok && errors.As(err, &f) {
				w.logf("the case could not run: %v", f)
				code = exitFailed
				return
			}
			panic(v)
		}
	}()
	if play(w) {
		w.logf("result: the rule was broken")
		return exitBroken
	}
	w.logf("result: the rule held")
	return exitHeld
}

func (w *world) fail(format string, args ...any) { panic(failure{fmt.Errorf(format, args...)}) }

// logf writes a line with the seconds since the start to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
}

// close ends all processes and servers.
func (w *world) close() {
	w.mu.Lock()
	closed := w.closed
	w.closed = true
	machines := w.machines
	w.mu.Unlock()
	if closed {
		return
	}
	for _, m := range machines {
		m.kill()
		m.backend.end()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(w.dir)
}

// machine is one machine with its daemon and its backend.
type machine struct {
	world   *world
	name    string
	ip      string
	vm      platformtest.VM
	backend *backend

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// newMachine adds a machine. Neither its daemon nor its backend is started.
func (w *world) newMachine(zone, service string) *machine {
	n := len(w.machines) + 1
	m := &machine{world: w, name: fmt.Sprintf("machine-%d", n), ip: fmt.Sprintf("%s.%d", w.subnet, n)}
	m.vm = platformtest.VM{
		Name: m.name, IP: m.ip, Zone: zone, Service: service,
		Outbound: m.address(portOutbound), Ready: m.address(portReady), Control: m.address(portControl),
		Upstream: m.address(portApp), Store: w.storeAddress(), InternalPort: portInternal, Bootstrap: true,
		GraceS: 6, RetryBudgetRatio: 0.2, RetryBudgetSlack: 58, RetryBudgetWindowS: 10,
		ColdOverage: 1, Zones: []string{"hall-a", "hall-b", "hall-c"},
	}
	m.backend = newBackend(m, service)
	w.mu.Lock()
	w.machines = append(w.machines, m)
	w.mu.Unlock()
	return m
}

// start starts the daemon with the command of the deploy file.
func (m *machine) start() {
	path := filepath.Join(m.world.dir, m.name+".yaml")
	if err := os.WriteFile(path, []byte(m.vm.Settings()), 0o600); err != nil {
		m.world.fail("%v", err)
	}
	m.vm.Bootstrap = false
	output, err := os.OpenFile(filepath.Join(m.world.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		m.world.fail("%v", err)
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command("target/dottereltillerd")
	cmd.Env = []string{platformtest.Env(path), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = output, output
	if err := child.Start(cmd); err != nil {
		m.world.fail("%v", err)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	m.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.mu.Unlock()
	m.world.logf("%s: daemon started", m.name)
}

// kill sends SIGKILL to the daemon and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	cmd, exited := m.cmd, m.exited
	m.cmd = nil
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-exited
	m.world.logf("%s: daemon killed", m.name)
}

var probeClient = &http.Client{Timeout: time.Second}

// isReady asks the daemon whether it is ready.
func (m *machine) isReady() bool {
	resp, err := probeClient.Get(m.vm.ReadyURL())
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (w *world) awaitReady() {
	end := time.Now().Add(15 * time.Second)
	for _, m := range w.machines {
		for !m.isReady() {
			if time.Now().After(end) {
				w.fail("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.logf("all daemons are ready")
}

// startAll starts all daemons and backends for the first time, and waits until the daemons are ready.
func (w *world) startAll(services ...string) {
	w.store.PutConfig(configuration(services...))
	for _, m := range w.machines {
		m.start()
	}
	w.awaitReady()
	for _, m := range w.machines {
		m.backend.start()
	}
}
