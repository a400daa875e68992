package soak

import (
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

// machine is one VM: the daemon's process, its upstream and the proxies around it.
type machine struct {
	// vm changes its service when the VM is replaced.
	vm platformtest.VM
	// group is that of its services.
	group         int
	binary        string
	settings      string
	check         *checker
	log           *os.File
	upstream      *platformtest.Upstream
	peerProxy     *proxy
	upstreamProxy *proxy
	storeProxy    *proxy
	caller        platformtest.Caller

	// replacing is set while the VM is being replaced: it has no callers.
	replacing atomic.Bool

	mu sync.Mutex
	// process is nil between an end and the next start.
	process     *exec.Cmd
	incarnation int
	// stopping is set from a signal to stop until the process has ended.
	stopping bool
	// stoppedAt is when the last signal to stop was sent.
	stoppedAt time.Time
	// startedTime is when the process was started.
	startedTime time.Time
	// killed is set once the process has been killed.
	killed bool
	// noRestart is set once no further process is to be started.
	noRestart bool
	exitErr   chan error
	// disturbedUntil is until when something unplanned disturbed the VM.
	disturbedUntil time.Time
}

// restartDelay is the pause between the end of a process and the next start.
const restartDelay = 300 * time.Millisecond

// The ports of a VM, and those of the proxies before them.
const (
	portOutbound, portReady, portControl, portInternal, portUpstream = 8141, 8140, 8146, 7660, 8147
	portMetrics                                                      = 9102
	proxyPeers, proxyUpstream, proxyStore                            = 7760, 8247, 8342
)

func newMachine(number, groups int, ip, dir, binary, store string, check *checker) (*machine, error) {
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	const zones = 3
	group := number % groups
	m := &machine{group: group, check: check, binary: binary, exitErr: make(chan error, 1), vm: platformtest.VM{
		Name: fmt.Sprintf("vm-%d", number), IP: ip, Zone: fmt.Sprintf("z%d", number/groups%zones), Service: serviceOf(group, number/groups%2),
		Outbound: at(portOutbound), Ready: at(portReady), Control: at(portControl), Upstream: at(proxyUpstream), Store: at(proxyStore),
		InternalPort: portInternal, Advertised: at(proxyPeers), Bootstrap: true,
		GraceS: gracePeriod.Seconds(), RetryBudgetRatio: retryBudgetRatio, RetryBudgetSlack: retryBudgetSlack, RetryBudgetWindowS: retryBudgetWindow.Seconds(),
	}}
	m.settings = filepath.Join(dir, m.vm.Name+".yaml")
	var err error
	if m.log, err = os.Create(filepath.Join(dir, m.vm.Name+".log")); err != nil {
		return nil, err
	}
	for _, l := range []struct {
		to            **proxy
		address, real string
	}{
		{&m.peerProxy, at(proxyPeers), at(portInternal)},
		{&m.upstreamProxy, at(proxyUpstream), at(portUpstream)},
		{&m.storeProxy, at(proxyStore), store},
	} {
		if *l.to, err = newProxy(l.address, l.real); err != nil {
			return nil, err
		}
	}
	m.upstream = &platformtest.Upstream{
		Service: m.vm.Service, Zone: m.vm.Zone, Address: at(portUpstream), Reported: at(proxyUpstream), Control: m.vm.Control,
		Slots: 6, ServiceTime: 20 * time.Millisecond, Observer: check,
	}
	m.caller = platformtest.Caller{Address: m.vm.Outbound, Service: serviceOf(group, 0), Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	return m, nil
}

// groupCount returns into how many groups the VMs fall. Each has two services, and its
// callers call the first of them. Were all of a hundred VMs to call each other, the
// connections through the proxies, two files each, would exceed 20,000 files.
func groupCount(vms int) int {
	const most = 48
	return (vms + most - 1) / most
}

// serviceOf names the services of a group.
func serviceOf(group, n int) string { return string(rune('a' + 2*group + n)) }

// start starts the daemon, and again whenever it ends.
func (m *machine) start() error {
	m.mu.Lock()
	text, service := m.vm.Settings(), m.vm.Service
	m.vm.Bootstrap = false
	startProgram := startIgnoringHangup
	if m.incarnation == 0 {
		startProgram = startDefault
	}
	m.mu.Unlock()
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(m.binary)
	cmd.Env = []string{platformtest.Env(m.settings)}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	if err := startProgram(cmd); err != nil {
		return err
	}
	m.mu.Lock()
	m.process, m.stopping, m.killed, m.startedTime = cmd, false, false, time.Now()
	m.incarnation++
	if m.vm.Service != service {
		// The VM was replaced meanwhile; the next start takes the new settings.
		m.killed = true
		_ = cmd.Process.Kill()
	}
	m.mu.Unlock()
	go m.awaitExit(cmd)
	return nil
}

func (m *machine) awaitExit(cmd *exec.Cmd) {
	err := cmd.Wait()
	m.mu.Lock()
	m.process = nil
	ended, told := m.noRestart, m.stopping || m.killed
	m.mu.Unlock()
	if !ended && !told {
		m.check.addViolation("ended: %s ended though nothing told it to: %v", m.vm.Name, err)
	}
	if ended {
		m.exitErr <- err
		return
	}
	time.Sleep(restartDelay)
	m.mu.Lock()
	ended = m.noRestart
	m.mu.Unlock()
	if ended || m.start() != nil {
		m.exitErr <- err
	}
}

// startedAt returns when the process was started last.
func (m *machine) startedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startedTime
}

// metricsURL is where the daemon serves its figures.
func (m *machine) metricsURL() string {
	return fmt.Sprintf("http://%s:%d/metrics", m.vm.IP, portMetrics)
}

// service returns the service that the VM belongs to.
func (m *machine) service() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.vm.Service
}

// changeService has the next daemon and the next upstream belong to another service.
func (m *machine) changeService(service string) {
	m.mu.Lock()
	m.vm.Service = service
	m.mu.Unlock()
	m.upstream.SetService(service)
}

// signal sends a signal to the process, if there is one.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	if s == syscall.SIGTERM && !m.stopping {
		m.stopping, m.stoppedAt = true, time.Now()
	}
	m.killed = m.killed || s == syscall.SIGKILL
	_ = m.process.Process.Signal(s)
}

// incarnationState returns which life the process is in and whether it is stopping.
func (m *machine) incarnationState() (life int, stopping bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation, m.stopping || m.process == nil
}

const (
	// maxArrivalAfterStop is how long after a signal to stop a request may come that runs until
	// the process ends, and graceTailDivisor the part of its grace time in which it is still
	// running then.
	maxArrivalAfterStop = 3 * time.Second
	graceTailDivisor    = 6
)

// ranUntilGraceEnd reports whether a request that was sent at a time, and ends now, ran until the
// end of the grace time of a planned stop: nothing could have waited for it.
func (m *machine) ranUntilGraceEnd(sent time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.stoppedAt.IsZero() && sent.Sub(m.stoppedAt) <= maxArrivalAfterStop && time.Since(m.stoppedAt) >= gracePeriod-gracePeriod/graceTailDivisor
}

// disturb notes that something unplanned goes on for a time.
func (m *machine) disturb(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until := time.Now().Add(d); until.After(m.disturbedUntil) {
		m.disturbedUntil = until
	}
}

// undisturbed reports whether nothing unplanned has disturbed the VM of late.
func (m *machine) undisturbed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.disturbedUntil) > quietPeriod
}

// stopForGood has no further process started, and stops the one there is.
func (m *machine) stopForGood(s syscall.Signal) {
	m.mu.Lock()
	m.noRestart = true
	none := m.process == nil
	m.mu.Unlock()
	if none {
		return
	}
	m.signal(syscall.SIGCONT)
	m.signal(s)
}

func (m *machine) close() {
	m.upstream.Crash()
	for _, l := range []*proxy{m.peerProxy, m.upstreamProxy, m.storeProxy} {
		if l != nil {
			l.close()
		}
	}
	_ = m.log.Close()
}
