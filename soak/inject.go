package soak

import (
	"context"
	"fmt"
	"os/exec"
	"strconv"
	"syscall"
	"time"

	"github.com/dottereltiller/dottereltiller/platform/platformtest"
)

func commandContext(ctx context.Context, name string, args ...string) *exec.Cmd {
	return exec.CommandContext(ctx, name, args...)
}

// storeFaults maps the mode of a store fault to the fault of the stand-in store. It does not hold
// mode forget, which injectStoreFault implements without a fault of the stand-in store.
var storeFaults = map[string]platformtest.StoreFault{
	"busy": platformtest.StoreUnavailable, "many": platformtest.StoreRateLimited, "silent": platformtest.StoreHangs,
	"slow": platformtest.StoreSlow, "lost": platformtest.StoreLosesReplies, "late": platformtest.StoreAppendsLate,
}

// partialFailureShare is the share of an upstream's requests that fail if the fault concerns only
// this upstream.
const partialFailureShare = 0.4

// plannedKinds are the kinds of faults that must not lose requests: operations that operators
// plan, and invalid records in the store. Faults of all other kinds are unplanned.
var plannedKinds = map[string]bool{
	kindTerm: true, kindReload: true, kindConfig: true, kindDrain: true, kindInvalidRecords: true, kindCold: true, kindEvacuate: true, kindLimit: true, kindLeave: true, kindReport: true,
}

// inject injects one fault, waits for the duration of the fault and removes it. A fault without a
// lasting effect, such as a kill, ends at once. Poison is sent until the plan ends.
func (h *harness) inject(f Fault) {
	var m *vm
	if f.VM > 0 {
		m = h.vms[f.VM-1]
	}
	if !plannedKinds[f.Kind] {
		// A kill disturbs its VM until the process has restarted. A fault of a proxy or
		// an upstream disturbs its VM until the fault is removed. All other VMs exchange
		// messages and requests with the faulty VM, so they are disturbed as well.
		for _, x := range h.vms {
			x.disturb(f.Duration + restartAllowance)
		}
	}
	switch f.Kind {
	case kindKill:
		m.signal(syscall.SIGKILL)
	case kindTerm:
		m.signal(syscall.SIGTERM)
	case kindReload:
		m.signal(syscall.SIGHUP)
	case kindPause:
		m.signal(syscall.SIGSTOP)
		time.Sleep(f.Duration)
		m.signal(syscall.SIGCONT)
	case kindPeerProxy:
		h.withProxyMode(m.peerProxy, f)
	case kindCut:
		h.cutLinks(f)
	case kindUpstreamProxy:
		h.withProxyMode(m.upstreamProxy, f)
	case kindStoreProxy:
		h.withProxyMode(m.storeProxy, f)
	case kindStore:
		h.injectStoreFault(f)
	case kindUpstream:
		h.injectUpstreamFault(m, f)
	case kindCrash:
		h.crashUpstream(m, f)
	case kindDrain:
		h.drainUpstream(m, f)
	case kindDepart:
		h.departAroundKill(m, f)
	case kindConfig:
		h.publish()
	case kindPoison:
		h.sendPoison(f)
	case kindKillAll:
		for _, x := range h.vms {
			x.signal(syscall.SIGKILL)
		}
		h.checker.resetCrashCounts()
	case kindCold:
		m.upstream.BecomeCold()
	case kindLimit:
		h.limitRate(m, f)
	case kindLeave:
		h.leaveUnreported(m, f)
	case kindEvacuate:
		h.evacuate(m.config.Zone, f.Duration)
	case kindReport:
		h.sendReport(m, f)
	case kindReplace:
		h.replaceVM(m, f)
	case kindInvalidRecords:
		h.store.Put(platformtest.TopicOperator, platformtest.Record{Key: "config", Value: []byte("\xff{")})
		h.store.Put(platformtest.TopicOperator, platformtest.Record{Key: "config", Value: []byte(`{"version":"r1","routes":7}`)})
		h.store.Put(platformtest.TopicOperator, platformtest.Record{Key: "evacuate/", Value: []byte("{}")})
		h.store.Put(platformtest.TopicOperator, platformtest.Record{Key: "evacuate/nowhere", Value: []byte("\xff")})
		h.store.Put(platformtest.TopicDaemons, platformtest.Record{Key: "127.0.0.1:1", Value: []byte(`{"address":3}`)})
	}
}

// restartAllowance is the time that a process is given to start again after a fault.
const restartAllowance = 2 * time.Second

// withProxyMode sets the mode of a proxy for the duration of a fault.
func (h *harness) withProxyMode(p *proxy, f Fault) {
	p.setMode(f.Mode)
	time.Sleep(f.Duration)
	p.setMode("")
}

// injectStoreFault makes the store fail for the duration of a fault. Mode forget has no duration:
// the operator's topic is truncated, and the current configuration is published again.
func (h *harness) injectStoreFault(f Fault) {
	if f.Mode == "forget" {
		h.store.Truncate(platformtest.TopicOperator)
		h.publishAgain()
		h.repeatEvacuations()
		return
	}
	h.store.SetFault(storeFaults[f.Mode])
	time.Sleep(f.Duration)
	h.store.SetFault(platformtest.StoreHealthy)
}

// injectUpstreamFault makes the upstream of a VM fail partialFailureShare of its requests for the
// duration of a fault. If m is nil, all upstreams fail all their requests.
func (h *harness) injectUpstreamFault(m *vm, f Fault) {
	share, affected := partialFailureShare, []*vm{m}
	if m == nil {
		share, affected = 1, h.vms
	}
	for _, m := range affected {
		m.upstream.SetFault(platformtest.UpstreamFault(f.Mode), share)
	}
	time.Sleep(f.Duration)
	for _, m := range affected {
		m.upstream.SetFault(platformtest.UpstreamHealthy, 0)
	}
}

// crashUpstream crashes the upstream of a VM and restarts it after the duration of the fault. In
// mode new-id the upstream restarts with a new id.
func (h *harness) crashUpstream(m *vm, f Fault) {
	id := m.upstream.ID()
	m.upstream.Crash()
	time.Sleep(f.Duration)
	if f.Mode == "new-id" {
		id = h.newID(f.VM)
	}
	_ = m.upstream.Start(id)
}

// drainUpstream drains the upstream of a VM. After drainAllowance and the duration of the fault, it
// replaces the upstream by a new one, unless another fault has restarted the upstream meanwhile.
func (h *harness) drainUpstream(m *vm, f Fault) {
	incarnation := m.upstream.Incarnation()
	if m.upstream.Drain() {
		h.checker.recordDrain(incarnation)
	}
	time.Sleep(drainAllowance + f.Duration)
	if m.upstream.Incarnation() != incarnation {
		return
	}
	m.upstream.Crash()
	_ = m.upstream.Start(h.newID(f.VM))
}

// callerStopDelay is how long replaceVM waits between stopping the callers of a VM and killing its
// daemon.
const callerStopDelay = 200 * time.Millisecond

// replaceVM kills the daemon and the upstream of a VM and starts new ones at the same addresses, as
// a new VM. The new VM belongs to the service that otherService returns. If the VM is already being
// replaced, replaceVM does nothing. In mode gone, connections to the old VM break. In mode dark,
// the network drops the peer traffic of the VM, so that peers see no connection error.
func (h *harness) replaceVM(m *vm, f Fault) {
	if !m.replacing.CompareAndSwap(false, true) {
		return
	}
	defer m.replacing.Store(false)
	time.Sleep(callerStopDelay)
	if f.Mode == "dark" {
		m.peerProxy.setMode("silent")
	}
	m.changeService(h.otherService(m))
	m.signal(syscall.SIGKILL)
	m.upstream.Crash()
	time.Sleep(f.Duration)
	m.peerProxy.setMode("")
	_ = m.upstream.Start(h.newID(f.VM))
	time.Sleep(restartAllowance)
}

// otherService returns the service of the VM's group to which the VM does not belong. If fewer
// than minVMsPerService VMs would remain in the current service, it returns the current service.
func (h *harness) otherService(m *vm) string {
	currentService, remainingVMs := m.service(), 0
	for _, x := range h.vms {
		if x != m && x.group == m.group && x.service() == currentService {
			remainingVMs++
		}
	}
	switch {
	case remainingVMs < minVMsPerService:
		return currentService
	case currentService == serviceOf(m.group, 0):
		return serviceOf(m.group, 1)
	default:
		return serviceOf(m.group, 0)
	}
}

// minVMsPerService is the number of VMs that must remain in a service when a VM changes to the
// other service. In a run with eight VMs, fewer VMs could not serve the requests of all callers.
const minVMsPerService = 3

// poisonInterval is the time between two attempts of a request that crashes upstreams.
const poisonInterval = 300 * time.Millisecond

// sendPoison sends a request that crashes upstreams (poison) to one daemon after another, until
// the plan ends.
func (h *harness) sendPoison(f Fault) {
	key := strconv.FormatInt(f.At.Milliseconds(), 10)
	path := "/safe/" + platformtest.CrashPath + key
	for n := 0; time.Since(h.startedAt) < h.plan.Length; n++ {
		m := h.vms[n%len(h.vms)]
		attempt := fmt.Sprintf("%s%s-%d", poisonAttemptPrefix, key, n)
		h.checker.recordSent(attempt, m.service(), false)
		h.checker.recordPoison(attempt, key, m.undisturbed)
		if r, err := h.send(context.Background(), m, &m.caller, path, attempt, false, requestDeadline); err == nil {
			h.checker.checkResponse(attempt, r)
		}
		time.Sleep(poisonInterval)
	}
}
