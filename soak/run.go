package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dottereltiller/dottereltiller/loopback"
	"github.com/dottereltiller/dottereltiller/platform/platformtest"
)

// Options configure a run.
type Options struct {
	// Binary is the path of the daemon's executable.
	Binary string
	// Dir is the directory for the settings and logs of the daemons.
	Dir string
	// Out receives a line for each injected fault. If it is nil, the lines are discarded.
	Out io.Writer
	// SafetyOnly skips the checks that depend on the speed of the machine: how soon a configuration
	// is in force, how many requests are served at the end, and how soon requests that crash
	// upstreams are refused. The number of crashes that such a request causes is checked instead.
	SafetyOnly bool
	// Rate is the number of requests a second that the callers of one VM send. The default is 10,
	// or less (at least 1) if the callers of all VMs together would send more than 480 a second.
	Rate int
	// Excess is how many requests a second the callers of one client account send besides its bursts, to all daemons. Its
	// quota allows a quarter of them.
	Excess int
	// LongInterval is how many requests there are for one that runs for seconds. The default is 40, or
	// 100 in a plan of planned faults.
	LongInterval int64
	// Processor is the share of the time in which a daemon may run, as on a VM with a part of a core.
	// The default, zero, means all of the time.
	Processor float64
}

// Result holds the violations that a soak found and how many requests its callers sent.
type Result struct {
	Violations []string
	Requests   int // the requests sent by callers, without probes and poison
	Served     int // the number of these requests that were answered with status 200
	// QuotaPeak is the largest number of requests of an account that were sent and started within a quotaWindow, as a
	// share of those that its quota allows.
	QuotaPeak float64
	// RefusedBelowQuota is how many requests of accounts below their quotas got status 429.
	RefusedBelowQuota int
}

const (
	gracePeriod     = 5 * time.Second         // the time that a daemon has to exit after SIGTERM
	startTimeout    = 60 * time.Second        // the time until all daemons must be ready
	servingTimeout  = 60 * time.Second        // the time until all daemons must serve requests at the end
	requestDeadline = 2500 * time.Millisecond // the deadline of all requests but the long ones
	// longRequestDeadline is the deadline of the long requests, which run for seconds.
	longRequestDeadline = 30 * time.Second
	defaultRate         = 10 // the default of Options.Rate
	// defaultTotalRate is how many requests a second 8 cores can serve while a hundred daemons run.
	defaultTotalRate = 480
	// minServedShare is the share of the requests sent in recoveryWindow that must be served.
	minServedShare = 0.95
	recoveryWindow = 5 * time.Second // the last part of a plan, in which recovery is checked
	// crashRecovery is how long after a crash that no daemon could prevent requests are not counted
	// for recovery. After all daemons were killed, requests that crash upstreams may do so again.
	// The upstream that crashed is cold for platformtest.ColdSeconds.
	crashRecovery         = (platformtest.ColdSeconds + 1) * time.Second
	unsafeRequestInterval = 3 // one in this many requests is not idempotent
	nestedRequestInterval = 2 // one in this many requests needs nested requests, in plans that have any
	// longRequestInterval is how many requests there are for one that is not idempotent and runs for
	// seconds. In a StopsPlan there are fewer, because upstreams are slower and callers send more.
	longRequestInterval, stopsLongRequestInterval = 40, 100
	// distinctPaths is the number of paths under /safe/, and also the number under /unsafe/.
	distinctPaths = 2000
	// configCheckInterval is the time between two checks of a daemon's configuration.
	configCheckInterval = 250 * time.Millisecond
)

// harness is the state of a running soak.
type harness struct {
	plan       Plan
	opts       Options
	checker    *checker
	store      *platformtest.Store
	server     *http.Server // the server of the store
	canary     *canary
	vms        []*vm
	cuts       cuts
	sockets    socketOwners
	evacuating atomic.Bool // set while a zone is evacuated
	// loopbackNet is the number of the loopback network that the soak uses.
	loopbackNet int
	startedAt   time.Time    // when the callers were started
	lastID      atomic.Int64 // the number in the last upstream id, see newID
	// mu guards publicationTimes, and version and publishedAt, which belong to the newest configuration.
	mu          sync.Mutex
	version     int
	publishedAt time.Time
	// oldestVersion is the oldest version that daemons may still have in force, see oldestInForce.
	oldestVersion int
	// publicationTimes holds when each version was published.
	publicationTimes map[int]time.Time
	requests         atomic.Int64 // see Result.Requests
	nestedRequests   atomic.Int64 // the requests that upstreams sent
	served           atomic.Int64 // see Result.Served

	refusedBelowQuota atomic.Int64 // see Result.RefusedBelowQuota
	finalRequests     atomic.Int64 // the requests sent in recoveryWindow
	finalServed       atomic.Int64 // the requests sent in recoveryWindow that were served
}

var errNotReady = errors.New("a daemon did not become ready")

// Run executes a plan. It returns an error if the plan could not be executed to its end.
func Run(ctx context.Context, p Plan, o Options) (Result, error) {
	if o.Rate <= 0 {
		o.Rate = max(min(defaultRate, defaultTotalRate/max(p.VMs, 1)), 1)
	}
	if o.LongInterval <= 0 {
		o.LongInterval = p.longRequestInterval()
	}
	if o.Out == nil {
		o.Out = io.Discard
	}
	h := &harness{plan: p, opts: o, checker: newChecker(), store: platformtest.NewStore(), canary: newCanary(), publicationTimes: make(map[int]time.Time)}
	defer h.close()
	h.checker.inTouch = h.vmInTouch
	h.checker.removedFor = h.removedFor
	h.checker.quotaBound = h.quotaBound
	h.checker.handlingDelay = func() time.Duration { return h.canary.delay(time.Now()) }
	h.checker.safetyOnly = o.SafetyOnly
	if err := h.startAll(ctx); err != nil {
		return Result{}, err
	}
	h.executePlan(ctx)
	if err := h.awaitServing(ctx); err != nil {
		return Result{}, err
	}
	h.checkControlTraffic(ctx)
	h.stopDaemons()
	h.checker.checkRetryBudget()
	return Result{
		Violations: h.checker.allViolations(), Requests: int(h.requests.Load()), Served: int(h.served.Load()),
		QuotaPeak: h.checker.peakOfQuotas(), RefusedBelowQuota: int(h.refusedBelowQuota.Load()),
	}, ctx.Err()
}

// maxParallelSoaks is the number of loopback networks, of which each running soak uses one.
const maxParallelSoaks = 100

// ip returns the IP address of a VM, or of the store for number 0.
func (h *harness) ip(number int) string {
	const firstNet, hosts = 100, 250
	return fmt.Sprintf("127.%d.%d.%d", firstNet+h.loopbackNet, number/hosts, 1+number%hosts)
}

// listen reserves a free loopback network by listening on the store's address in the network. It
// tries all networks in turn, starting with the network that the seed determines.
func (h *harness) listen() (net.Listener, error) {
	ln, _, err := loopback.ListenFirstFree(h.plan.Seed, maxParallelSoaks, func(n int) string {
		h.loopbackNet = n
		return h.ip(0) + ":8142"
	})
	return ln, err
}

// startAll starts the store and all VMs, and waits until the daemons are ready.
func (h *harness) startAll(ctx context.Context) error {
	ln, err := h.listen()
	if err != nil {
		return err
	}
	storeAddress := ln.Addr().String()
	h.server = &http.Server{Handler: h.store}
	go func() { _ = h.server.Serve(ln) }()
	if err := h.canary.start(ctx, fmt.Sprintf("%s:%d", h.ip(0), portUpstream), fmt.Sprintf("%s:%d", h.ip(0), portUpstreamProxy)); err != nil {
		return err
	}
	h.publish()
	for i := 1; i <= h.plan.VMs; i++ {
		m, err := newVM(i, groupCount(h.plan.VMs), h.ip(i), h.opts.Dir, h.opts.Binary, storeAddress, h.checker)
		if err != nil {
			return err
		}
		m.peerProxy.links.Store(h.links(m))
		if h.plan.onlyPlanned() {
			h.prepareForStops(m, storeAddress)
		}
		h.vms = append(h.vms, m)
		if err := m.start(); err != nil {
			return err
		}
		if err := m.upstream.Start(h.newID(i)); err != nil {
			return err
		}
	}
	return h.awaitReady(ctx)
}

// newID returns an unused id for an upstream of a VM.
func (h *harness) newID(number int) string { return fmt.Sprintf("i-%d-%d", number, h.lastID.Add(1)) }

// awaitReady waits until all daemons are ready. After startTimeout it returns errNotReady.
func (h *harness) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for _, m := range h.vms {
		for !isReady(ctx, m) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errNotReady
			}
			time.Sleep(restartDelay / 10)
		}
	}
	return nil
}

// awaitServing waits until each daemon serves a request. It is called after the last fault. After
// servingTimeout it adds a violation. It returns an error only if ctx ends.
func (h *harness) awaitServing(ctx context.Context) error {
	deadline := time.Now().Add(servingTimeout)
	for _, m := range h.vms {
		for i := 0; ; i++ {
			attempt := fmt.Sprintf("probe-last-%s-%d", m.config.Name, i)
			h.checker.recordSent(attempt, m.service(), false)
			r, err := h.send(ctx, m, &m.caller, "/safe/x", attempt, false, requestDeadline)
			if err == nil && r.Status == http.StatusOK {
				break
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if time.Now().After(deadline) {
				h.checker.addViolation("recovery: %s does not serve requests, last status %d %q, error %v", m.config.Name, r.Status, strings.TrimSpace(r.Body), err)
				return nil
			}
			time.Sleep(configCheckInterval)
		}
	}
	return nil
}

// executePlan sends requests and injects faults for the length of the plan, then checks recovery.
func (h *harness) executePlan(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.plan.Length)
	defer cancel()
	h.startedAt = time.Now()
	for _, m := range h.vms {
		m.upstream.StartCold()
	}
	var wg sync.WaitGroup
	for _, m := range h.vms {
		wg.Go(func() { h.runCallers(ctx, m) })
		if o := h.opts.Processor; o > 0 && o < 1 {
			wg.Go(func() { m.throttle(ctx, o) })
		}
		wg.Go(func() { h.checkConfigInForce(ctx, m) })
		wg.Go(func() { h.sendRemovedKeys(ctx, m) })
	}
	wg.Go(func() { h.sendBursts(ctx) })
	wg.Go(func() { h.sendExcess(ctx) })
	for _, f := range h.plan.Faults {
		select {
		case <-time.After(time.Until(h.startedAt.Add(f.At))):
			_, _ = fmt.Fprintln(h.opts.Out, f)
			wg.Go(func() { h.inject(f) })
		case <-ctx.Done():
		}
	}
	wg.Wait()
	if sent, served := h.finalRequests.Load(), h.finalServed.Load(); !h.opts.SafetyOnly && sent > 0 && float64(served) < minServedShare*float64(sent) {
		h.checker.addViolation("recovery: %d of %d requests were served at the end", served, sent)
	}
}

// runCallers sends requests to one daemon at Options.Rate until ctx ends, and awaits the responses.
func (h *harness) runCallers(ctx context.Context, m *vm) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(time.Second / time.Duration(h.opts.Rate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			wg.Go(func() { h.sendRequest(m) })
		}
	}
}

// sendRequest sends one request to the daemon of a VM and checks the response.
func (h *harness) sendRequest(m *vm) {
	if m.replacing.Load() {
		return
	}
	n := h.requests.Add(1)
	nonIdempotent, path, timeout := n%unsafeRequestInterval == 0, fmt.Sprintf("/safe/x%d", n%distinctPaths), h.plan.deadline(n)
	switch {
	case h.plan.hasNestedRequests() && n%nestedRequestInterval == 1:
		nonIdempotent, path = false, fmt.Sprintf("/safe/%s%d", platformtest.NestedPath, n%distinctPaths)
	case n%h.opts.LongInterval == 0:
		nonIdempotent, path, timeout = true, platformtest.LongPath+"x", longRequestDeadline
	case nonIdempotent:
		path = fmt.Sprintf("/unsafe/x%d", n%distinctPaths)
	}
	attempt := fmt.Sprintf("r%d", n)
	inRecoveryWindow := time.Since(h.startedAt) > h.plan.Length-recoveryWindow
	r, err := h.sendChecked(context.Background(), m, &m.caller, path, attempt, nonIdempotent, timeout)
	served := err == nil && r.Status == http.StatusOK
	if served {
		h.served.Add(1)
	}
	if inRecoveryWindow && !h.checker.recentlyCrashed(crashRecovery) {
		h.finalRequests.Add(1)
		if served {
			h.finalServed.Add(1)
		}
	}
}

// undisturbed reports whether all VMs have been without unplanned faults for quietPeriod.
func (h *harness) undisturbed() bool {
	for _, m := range h.vms {
		if !m.undisturbed() {
			return false
		}
	}
	return true
}

// stopDaemons stops all daemons and checks that they exit cleanly within the grace period.
func (h *harness) stopDaemons() {
	for _, m := range h.vms {
		m.stopForGood(syscall.SIGTERM)
	}
	timeout := time.After(gracePeriod + time.Second)
	for _, m := range h.vms {
		if incarnation, stoppingOrExited := m.processState(); stoppingOrExited && incarnation == 0 {
			continue
		}
		select {
		case err := <-m.exitErr:
			if err != nil && h.undisturbed() {
				h.checker.addViolation("stop: %s exited with %v", m.config.Name, err)
			}
		case <-timeout:
			h.checker.addViolation("stop: %s was still running after its grace period", m.config.Name)
			return
		}
	}
}

// close kills all daemons and stops the VMs and the store.
func (h *harness) close() {
	for _, m := range h.vms {
		m.stopForGood(syscall.SIGKILL)
		m.close()
	}
	h.canary.close()
	if h.server != nil {
		_ = h.server.Close()
	}
}

// Build compiles the daemon into a directory and returns the path of the executable.
func Build(ctx context.Context, dir string) (string, error) {
	path := dir + "/dottereltillerd"
	cmd := commandContext(ctx, "go", "build", "-o", path, "github.com/dottereltiller/dottereltiller/cmd/dottereltillerd")
	cmd.Stderr = os.Stderr
	return path, cmd.Run()
}
