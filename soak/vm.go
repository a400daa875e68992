package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dottereltiller/dottereltiller/platform/platformtest"
)

// vm is one simulated VM: the daemon's process, its upstream, and the proxies in front of its
// addresses.
type vm struct {
	// config holds the addresses and settings. config.Service changes when the VM is replaced.
	config platformtest.VM
	// number is the number of the VM, from 1.
	number int
	// group is the number of the VM's group, see groupCount.
	group int
	// binary is the path of the daemon's executable.
	binary        string
	settingsPath  string
	checker       *checker
	logFile       *os.File
	upstream      *platformtest.Upstream
	peerProxy     *proxy
	upstreamProxy *proxy
	storeProxy    *proxy
	// caller sends requests to the daemon.
	caller platformtest.Caller

	// replacing is set while the VM is being replaced. Callers send it no requests meanwhile.
	replacing atomic.Bool

	mu sync.Mutex
	// process is nil between the exit of a process and the next start.
	process *exec.Cmd
	// incarnation counts the starts of the process.
	incarnation int
	// processService is the service that the process was started for last.
	processService string
	// stopping is set from a SIGTERM to the process until the next start of a process. An exit of
	// the process in this time is no violation.
	stopping bool
	// stoppedAt holds the time at which stopping was set for each incarnation that was stopped.
	stoppedAt map[int]time.Time
	// faults counts the unplanned faults that have affected the VM.
	faults int
	// startedTime is when the process was started last.
	startedTime time.Time
	// killed is set from a SIGKILL to the process until the next start. It is also set if the VM was
	// replaced while the process started, because the process must then be restarted. While killed
	// is set, an exit of the process is no violation.
	killed bool
	// noRestart is set when no further process may be started.
	noRestart bool
	// exitErr receives the exit error of the last process, after which no process is started.
	exitErr chan error
	// disturbedUntil is the latest end of the unplanned faults that affect the VM, plus
	// restartAllowance.
	disturbedUntil time.Time
}

// restartDelay is the pause between the exit of a process and the next start.
const restartDelay = 300 * time.Millisecond

// The ports of a VM, and the ports of the proxies in front of its daemon, its upstream and the store.
const (
	portOutbound, portReady, portControl, portInternal, portUpstream = 8141, 8140, 8146, 7660, 8147
	portMetrics                                                      = 9102
	portPeerProxy, portUpstreamProxy, portStoreProxy                 = 7760, 8247, 8342
)

// zones are the availability zones of the VMs.
var zones = []string{"z0", "z1", "z2"}

// newVM creates a VM and starts its proxies. It starts neither the daemon nor the upstream. number
// is the number of the VM, from 1, and ip its IP address. groupTotal is the number of groups, see
// groupCount. dir is the directory for the settings and the log of the daemon, and storeAddress the
// address of the store.
func newVM(number, groupTotal int, ip, dir, binary, storeAddress string, c *checker) (*vm, error) {
	addressAt := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	group := number % groupTotal
	m := &vm{number: number, group: group, checker: c, binary: binary, exitErr: make(chan error, 1), stoppedAt: make(map[int]time.Time), config: platformtest.VM{
		Name: fmt.Sprintf("vm-%d", number), IP: ip, Zone: zones[number/groupTotal%len(zones)], Service: serviceOf(group, number/groupTotal%2),
		Outbound: addressAt(portOutbound), Ready: addressAt(portReady), Control: addressAt(portControl), Upstream: addressAt(portUpstreamProxy), Store: addressAt(portStoreProxy),
		InternalPort: portInternal, Advertised: addressAt(portPeerProxy), Bootstrap: true,
		GraceS: gracePeriod.Seconds(), RetryBudgetRatio: retryBudgetRatio, RetryBudgetSlack: retryBudgetSlack, RetryBudgetWindowS: retryBudgetWindow.Seconds(),
		ColdOverage: coldOverage, ColdSlack: coldSlack,
		Zones: zones, QuotaWindowS: quotaWindow.Seconds(), QuotaOverage: quotaOverage, QuotaSlack: quotaSlack,
	}}
	m.settingsPath = filepath.Join(dir, m.config.Name+".yaml")
	var err error
	if m.logFile, err = os.Create(filepath.Join(dir, m.config.Name+".log")); err != nil {
		return nil, err
	}
	for _, x := range []struct {
		field           **proxy
		address, target string
	}{
		{&m.peerProxy, addressAt(portPeerProxy), addressAt(portInternal)},
		{&m.upstreamProxy, addressAt(portUpstreamProxy), addressAt(portUpstream)},
		{&m.storeProxy, addressAt(portStoreProxy), storeAddress},
	} {
		if *x.field, err = newProxy(x.address, x.target); err != nil {
			return nil, err
		}
	}
	m.upstream = &platformtest.Upstream{
		Service: m.config.Service, Zone: m.config.Zone, Address: addressAt(portUpstream), Reported: addressAt(portUpstreamProxy), Control: m.config.Control,
		Slots: 6, ServiceTime: 20 * time.Millisecond, Observer: c,
	}
	m.caller = platformtest.Caller{Address: m.config.Outbound, Service: serviceOf(group, 0), Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	return m, nil
}

// groupCount returns the number of groups into which the VMs are divided. Each group has two
// services, and the callers of its VMs call the first of them. The groups limit the open
// files. If each of a hundred VMs called all others, the connections through the proxies
// would need more than 20,000 files: two for each connection.
func groupCount(vms int) int {
	const maxGroupVMs = 48
	return (vms + maxGroupVMs - 1) / maxGroupVMs
}

// serviceOf returns the name of one of the two services of a group, by its number 0 or 1.
func serviceOf(group, n int) string { return string(rune('a' + 2*group + n)) }

// start writes the settings file of the daemon and starts the daemon. When the daemon exits, it is
// restarted unless noRestart is set.
func (m *vm) start() error {
	m.mu.Lock()
	text, service := m.config.Settings(), m.config.Service
	m.config.Bootstrap, m.processService = false, service
	startProgram := startIgnoringHangup
	if m.incarnation == 0 {
		// If the first start ignored SIGHUP, a daemon without a handler would go unnoticed.
		startProgram = startDefault
	}
	m.mu.Unlock()
	if err := os.WriteFile(m.settingsPath, []byte(text), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(m.binary)
	cmd.Env = []string{platformtest.Env(m.settingsPath)}
	cmd.Stdout, cmd.Stderr = m.logFile, m.logFile
	if err := startProgram(cmd); err != nil {
		return err
	}
	m.mu.Lock()
	m.process, m.stopping, m.killed, m.startedTime = cmd, false, false, time.Now()
	m.incarnation++
	if m.config.Service != service {
		// The VM was replaced during the start. The next start uses the settings of the new VM.
		m.killed = true
		_ = cmd.Process.Kill()
	}
	m.mu.Unlock()
	go m.awaitExit(cmd)
	return nil
}

// awaitExit waits until the process exits. An exit without a SIGTERM or SIGKILL from the test is a
// violation. After restartDelay awaitExit starts the daemon again. If noRestart is set or the start
// fails, it sends the exit error of the process to exitErr instead.
func (m *vm) awaitExit(cmd *exec.Cmd) {
	err := cmd.Wait()
	m.mu.Lock()
	m.process = nil
	noRestart, signalled := m.noRestart, m.stopping || m.killed
	m.mu.Unlock()
	if !noRestart && !signalled {
		m.checker.addViolation("ended: %s exited without a signal from the test: %v", m.config.Name, err)
	}
	if noRestart {
		m.exitErr <- err
		return
	}
	time.Sleep(restartDelay)
	m.mu.Lock()
	noRestart = m.noRestart
	m.mu.Unlock()
	if noRestart || m.start() != nil {
		m.exitErr <- err
	}
}

// startedAt returns when the process was started last.
func (m *vm) startedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startedTime
}

// metricsURL returns the URL of the daemon's metrics page.
func (m *vm) metricsURL() string {
	return fmt.Sprintf("http://%s:%d/metrics", m.config.IP, portMetrics)
}

// service returns the service that the VM belongs to.
func (m *vm) service() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.Service
}

// runningService returns the service of the daemon that runs, or ran last. After changeService it differs from service
// until the next start.
func (m *vm) runningService() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.processService
}

// changeService sets the service of the daemon and the upstream from their next starts on.
func (m *vm) changeService(service string) {
	m.mu.Lock()
	m.config.Service = service
	m.mu.Unlock()
	m.upstream.SetService(service)
}

// signal sends a signal to the process if it is running, and records a SIGTERM or SIGKILL.
func (m *vm) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	if s == syscall.SIGTERM && !m.stopping {
		m.stopping, m.stoppedAt[m.incarnation] = true, time.Now()
	}
	m.killed = m.killed || s == syscall.SIGKILL
	_ = m.process.Process.Signal(s)
}

// throttlePeriod is the period in which a daemon gets its share of the time, see Options.Processor.
const throttlePeriod = 100 * time.Millisecond

// throttle pauses the process of the daemon for a part of each throttlePeriod until ctx ends. share is
// the part in which it may run.
func (m *vm) throttle(ctx context.Context, share float64) {
	running := time.Duration(share * float64(throttlePeriod))
	defer m.signal(syscall.SIGCONT)
	for ctx.Err() == nil {
		time.Sleep(running)
		m.signal(syscall.SIGSTOP)
		time.Sleep(throttlePeriod - running)
		m.signal(syscall.SIGCONT)
	}
}

// processState returns the incarnation of the process, and whether the process has received
// a SIGTERM or is not running.
func (m *vm) processState() (incarnation int, stoppingOrExited bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation, m.stopping || m.process == nil
}

const (
	// maxSendDelayAfterStop is the longest time from a SIGTERM until a caller sends a request
	// that the stopping daemon may abort at the end of its grace period.
	maxSendDelayAfterStop = 3 * time.Second
	// graceTailDivisor determines the last part of the grace period, in which a stopping daemon may
	// abort requests that still run. The length of this part is the grace period divided by
	// graceTailDivisor.
	graceTailDivisor = 6
)

// ranUntilGraceEnd reports whether a stopping daemon may have aborted a request that was sent at
// the given time to an incarnation and ends now. The request must have been sent at most
// maxSendDelayAfterStop after the SIGTERM. It must still run in the last part of the grace period,
// see graceTailDivisor. The daemon could not have waited for the response to such a request within
// its grace period.
func (m *vm) ranUntilGraceEnd(sentAt time.Time, incarnation int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	stoppedAt, ok := m.stoppedAt[incarnation]
	return ok && sentAt.Sub(stoppedAt) <= maxSendDelayAfterStop && time.Since(stoppedAt) >= gracePeriod-gracePeriod/graceTailDivisor
}

// ranUntilLastGraceEnd does the same as ranUntilGraceEnd for the incarnation that was stopped last.
func (m *vm) ranUntilLastGraceEnd(sentAt time.Time) bool {
	m.mu.Lock()
	last := 0
	for incarnation := range m.stoppedAt {
		last = max(last, incarnation)
	}
	m.mu.Unlock()
	return m.ranUntilGraceEnd(sentAt, last)
}

// stoppedSince reports whether any incarnation was stopped after the given time.
func (m *vm) stoppedSince(t time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, stoppedAt := range m.stoppedAt {
		if stoppedAt.After(t) {
			return true
		}
	}
	return false
}

// disturb records that an unplanned fault affects the VM for the duration d from now.
func (m *vm) disturb(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults++
	if until := time.Now().Add(d); until.After(m.disturbedUntil) {
		m.disturbedUntil = until
	}
}

// faultCount returns the number of unplanned faults that have affected the VM.
func (m *vm) faultCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// undisturbed reports whether the VM has been without unplanned faults for quietPeriod.
func (m *vm) undisturbed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.disturbedUntil) > quietPeriod
}

// stopForGood prevents all later starts of the daemon and sends a signal to the running process.
// Before the signal it resumes the process, which may be paused.
func (m *vm) stopForGood(s syscall.Signal) {
	m.mu.Lock()
	m.noRestart = true
	notRunning := m.process == nil
	m.mu.Unlock()
	if notRunning {
		return
	}
	m.signal(syscall.SIGCONT)
	m.signal(s)
}

// close stops the upstream and the proxies of the VM and closes its log file. It does not stop the
// daemon.
func (m *vm) close() {
	m.upstream.Crash()
	for _, p := range []*proxy{m.peerProxy, m.upstreamProxy, m.storeProxy} {
		if p != nil {
			p.close()
		}
	}
	_ = m.logFile.Close()
}
