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

var storeFaults = map[string]platformtest.StoreFault{
	"busy": platformtest.StoreUnavailable, "many": platformtest.StoreRateLimited, "silent": platformtest.StoreHangs,
	"slow": platformtest.StoreSlow, "lost": platformtest.StoreLosesReplies, "late": platformtest.StoreAppendsLate,
}

// failShare is the share of requests that a failing upstream fails.
const failShare = 0.4

// planned kinds are no excuse for a lost request.
var planned = map[string]bool{kindTerm: true, kindReload: true, kindConfig: true, kindDrain: true, kindForeign: true}

// inflict plays one fault and undoes it when its time is over.
func (w *world) inflict(f Fault) {
	var m *machine
	if f.VM > 0 {
		m = w.machines[f.VM-1]
	}
	if !planned[f.Kind] {
		// A kill is over once the process is back, links and upstreams once the
		// fault is undone; whoever deals with this VM is disturbed as well.
		for _, x := range w.machines {
			x.disturb(f.For + startMargin)
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
		time.Sleep(f.For)
		m.signal(syscall.SIGCONT)
	case kindPeers:
		w.during(m.peers, f)
	case kindApp:
		w.during(m.app, f)
	case kindStoreVia:
		w.during(m.store, f)
	case kindStore:
		w.failStore(f)
	case kindUpstream:
		w.failUpstreams(m, f)
	case kindCrash:
		w.restart(m, f)
	case kindDrain:
		w.replace(m, f)
	case kindConfig:
		w.publish()
	case kindPoison:
		w.poison(f)
	case kindHerd:
		for _, x := range w.machines {
			x.signal(syscall.SIGKILL)
		}
		w.check.forgotten()
	case kindReplace:
		w.replaceVM(m, f)
	case kindForeign:
		w.store.Put(platformtest.TopicOperator, platformtest.Record{Key: "config", Value: []byte("\xff{")})
		w.store.Put(platformtest.TopicOperator, platformtest.Record{Key: "config", Value: []byte(`{"version":"r1","routes":7}`)})
		w.store.Put(platformtest.TopicDaemons, platformtest.Record{Key: "127.0.0.1:1", Value: []byte(`{"address":3}`)})
	}
}

// startMargin covers the start of a process after a fault.
const startMargin = 2 * time.Second

func (w *world) during(l *link, f Fault) {
	l.set(f.Mode)
	time.Sleep(f.For)
	l.set("")
}

func (w *world) failStore(f Fault) {
	if f.Mode == "forget" {
		w.store.Truncate(platformtest.TopicOperator)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.store.PutConfig(w.document())
		return
	}
	w.store.Fail(storeFaults[f.Mode])
	time.Sleep(f.For)
	w.store.Fail(platformtest.StoreHealthy)
}

// failUpstreams makes an upstream fail some of its requests, or all of them all if
// the fault names none.
func (w *world) failUpstreams(m *machine, f Fault) {
	share, which := failShare, []*machine{m}
	if m == nil {
		share, which = 1, w.machines
	}
	for _, m := range which {
		m.upstream.Fail(platformtest.UpstreamFault(f.Mode), share)
	}
	time.Sleep(f.For)
	for _, m := range which {
		m.upstream.Fail(platformtest.UpstreamHealthy, 0)
	}
}

// restart crashes an upstream and starts it again.
func (w *world) restart(m *machine, f Fault) {
	id := m.upstream.ID()
	m.upstream.Crash()
	time.Sleep(f.For)
	if f.Mode == "new-id" {
		id = w.id(f.VM)
	}
	_ = m.upstream.Start(id)
}

// replace has an upstream leave as planned, and another take its place.
func (w *world) replace(m *machine, f Fault) {
	life := m.upstream.Incarnation()
	if m.upstream.Drain() {
		w.check.drain(life)
	}
	time.Sleep(drainBound + f.For)
	if m.upstream.Incarnation() != life {
		return
	}
	m.upstream.Crash()
	_ = m.upstream.Start(w.id(f.VM))
}

// awaySoon is how long before a VM is replaced its callers send nothing more.
const awaySoon = 200 * time.Millisecond

// replaceVM ends a VM and starts another one of the group's other service under its
// address. Connections to the old one break, or go silent if it falls dark.
func (w *world) replaceVM(m *machine, f Fault) {
	if !m.away.CompareAndSwap(false, true) {
		return
	}
	defer m.away.Store(false)
	time.Sleep(awaySoon)
	if f.Mode == "dark" {
		m.peers.set("silent")
	}
	m.move(w.otherService(m))
	m.signal(syscall.SIGKILL)
	m.upstream.Crash()
	time.Sleep(f.For)
	m.peers.set("")
	_ = m.upstream.Start(w.id(f.VM))
	time.Sleep(startMargin)
}

// otherService returns the service of the VM's group that it does not belong to, or its
// own where too few would be left of that.
func (w *world) otherService(m *machine) string {
	own, left := m.service(), 0
	for _, x := range w.machines {
		if x != m && x.group == m.group && x.service() == own {
			left++
		}
	}
	switch {
	case left < leastOfService:
		return own
	case own == serviceOf(m.group, 0):
		return serviceOf(m.group, 1)
	default:
		return serviceOf(m.group, 0)
	}
}

// leastOfService VMs of a service are left when one goes to the other: with fewer there
// would be no room for the callers of eight VMs.
const leastOfService = 3

// poisonEvery is the time between two sends of a request that crashes upstreams.
const poisonEvery = 300 * time.Millisecond

// poison sends a request that crashes upstreams to one daemon after another, until
// the plan ends.
func (w *world) poison(f Fault) {
	key := strconv.FormatInt(f.At.Milliseconds(), 10)
	path := "/safe/" + platformtest.CrashPath + key
	for n := 0; time.Since(w.began) < w.plan.Length; n++ {
		m := w.machines[n%len(w.machines)]
		attempt := fmt.Sprintf("%s%s-%d", poisonPrefix, key, n)
		w.check.send(attempt, m.service(), false)
		w.check.sendPoison(attempt, key, m.calm)
		if r, err := m.caller.Send(context.Background(), path, attempt, false, deadline); err == nil {
			w.check.answer(attempt, r)
		}
		time.Sleep(poisonEvery)
	}
}
