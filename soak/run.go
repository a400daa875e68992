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

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/loopback"
	"github.com/dottereltiller/dottereltiller/platform/platformtest"
)

// Options configure a run.
type Options struct {
	// Binary is the daemon's program.
	Binary string
	// Dir takes settings and logs.
	Dir string
	// Out is told how it goes. Nil tells nobody.
	Out io.Writer
	// SafetyOnly leaves out the checks that depend on how fast the machine is:
	// whether a configuration is in force in time, how many requests are served at
	// the end, and how soon requests that crash upstreams are refused; of the last
	// the number of crashes is checked instead.
	SafetyOnly bool
	// Rate is the requests a second of each VM's callers. Default: 10, and less where
	// all of them together would send more than 480.
	Rate int
}

// Result is how a soak ended.
type Result struct {
	Violations []string
	Requests   int
	Served     int
}

const (
	gracePeriod     = 5 * time.Second
	startTimeout    = 60 * time.Second
	servingTimeout  = 60 * time.Second
	requestDeadline = 2500 * time.Millisecond
	// longRequestDeadline is that of the requests that run for seconds.
	longRequestDeadline = 30 * time.Second
	defaultRate         = 10
	// defaultTotalRate is the requests a second in all that one machine of 8 cores serves
	// beside the work of a hundred daemons.
	defaultTotalRate = 480
	// minServedShare of the requests must be served at the end, from recoveryWindow
	// before it on.
	minServedShare = 0.95
	recoveryWindow = 5 * time.Second
	// unsafeRequestInterval requests is not idempotent, and one in longRequestInterval runs for seconds
	// beside.
	unsafeRequestInterval = 3
	longRequestInterval   = 40
	// distinctPaths is how many different requests of each kind there are.
	distinctPaths = 2000
	// configCheckInterval is the time between two looks at which configuration is in force.
	configCheckInterval = 250 * time.Millisecond
)

// harness is a running soak.
type harness struct {
	plan     Plan
	opts     Options
	check    *checker
	store    *platformtest.Store
	server   *http.Server
	machines []*machine
	// loopbackNet is the part of the loopback addresses that the soak has taken.
	loopbackNet int
	startedAt   time.Time
	upstreamIDs atomic.Int64
	// version is the newest configuration, published when.
	mu            sync.Mutex
	version       int
	publishedAt   time.Time
	requests      atomic.Int64
	served        atomic.Int64
	finalRequests atomic.Int64
	finalServed   atomic.Int64
}

var errNotReady = errors.New("a daemon did not become ready")

// Run plays a plan. The error tells that it could not be played.
func Run(ctx context.Context, p Plan, o Options) (Result, error) {
	if o.Rate <= 0 {
		o.Rate = max(min(defaultRate, defaultTotalRate/max(p.VMs, 1)), 1)
	}
	if o.Out == nil {
		o.Out = io.Discard
	}
	h := &harness{plan: p, opts: o, check: newChecker(), store: platformtest.NewStore()}
	defer h.close()
	h.check.safetyOnly = o.SafetyOnly
	if err := h.startAll(ctx); err != nil {
		return Result{}, err
	}
	h.playPlan(ctx)
	if err := h.awaitServing(ctx); err != nil {
		return Result{}, err
	}
	h.checkControlTraffic(ctx)
	h.stopDaemons()
	h.check.checkRetryBudget()
	return Result{Violations: h.check.allViolations(), Requests: int(h.requests.Load()), Served: int(h.served.Load())}, ctx.Err()
}

// maxParallelSoaks is how many soaks fit beside each other on the loopback addresses.
const maxParallelSoaks = 100

// ip returns the address of a VM, or for 0 of the store.
func (h *harness) ip(number int) string {
	const firstNet, hosts = 100, 250
	return fmt.Sprintf("127.%d.%d.%d", firstNet+h.loopbackNet, number/hosts, 1+number%hosts)
}

// listen takes addresses that no other soak has, beginning with those of the seed, and
// listens on the store's.
func (h *harness) listen() (net.Listener, error) {
	ln, _, err := loopback.ListenFirstFree(h.plan.Seed, maxParallelSoaks, func(n int) string {
		h.loopbackNet = n
		return h.ip(0) + ":8142"
	})
	return ln, err
}

func (h *harness) startAll(ctx context.Context) error {
	ln, err := h.listen()
	if err != nil {
		return err
	}
	storeAddress := ln.Addr().String()
	h.server = &http.Server{Handler: h.store}
	go func() { _ = h.server.Serve(ln) }()
	h.publish()
	for i := 1; i <= h.plan.VMs; i++ {
		m, err := newMachine(i, groupCount(h.plan.VMs), h.ip(i), h.opts.Dir, h.opts.Binary, storeAddress, h.check)
		if err != nil {
			return err
		}
		h.machines = append(h.machines, m)
		if err := m.start(); err != nil {
			return err
		}
		if err := m.upstream.Start(h.newUpstreamID(i)); err != nil {
			return err
		}
	}
	return h.awaitReady(ctx)
}

// newUpstreamID returns a new id for an upstream of a VM.
func (h *harness) newUpstreamID(number int) string {
	return fmt.Sprintf("i-%d-%d", number, h.upstreamIDs.Add(1))
}

func (h *harness) awaitReady(ctx context.Context) error {
	end := time.Now().Add(startTimeout)
	for _, m := range h.machines {
		for !isReady(ctx, m) {
			if time.Now().After(end) || ctx.Err() != nil {
				return errNotReady
			}
			time.Sleep(restartDelay / 10)
		}
	}
	return nil
}

// awaitServing waits until every daemon serves again.
func (h *harness) awaitServing(ctx context.Context) error {
	end := time.Now().Add(servingTimeout)
	for _, m := range h.machines {
		for i := 0; ; i++ {
			attempt := fmt.Sprintf("probe-last-%s-%d", m.vm.Name, i)
			h.check.recordSent(attempt, m.service(), false)
			r, err := m.caller.Send(ctx, "/safe/x", attempt, false, requestDeadline)
			if err == nil && r.Status == http.StatusOK {
				break
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if time.Now().After(end) {
				h.check.addViolation("recovery: %s does not serve", m.vm.Name)
				return nil
			}
			time.Sleep(configCheckInterval)
		}
	}
	return nil
}

func (h *harness) publish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version++
	h.publishedAt = time.Now()
	h.store.PutConfig(h.configLocked())
}

// configLocked returns the newest configuration. The lock is held.
func (h *harness) configLocked() []byte {
	var called []string
	for g := range groupCount(h.plan.VMs) {
		called = append(called, serviceOf(g, 0))
	}
	return platformtest.Document(h.version, called...)
}

func (h *harness) latestConfig() (int, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version, h.publishedAt
}

// playPlan runs callers and faults for the length of the plan.
func (h *harness) playPlan(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.plan.Length)
	defer cancel()
	h.startedAt = time.Now()
	var wg sync.WaitGroup
	for _, m := range h.machines {
		wg.Go(func() { h.runCallers(ctx, m) })
		wg.Go(func() { h.checkConfigInForce(ctx, m) })
	}
	for _, f := range h.plan.Faults {
		select {
		case <-time.After(time.Until(h.startedAt.Add(f.At))):
			_, _ = fmt.Fprintln(h.opts.Out, f)
			wg.Go(func() { h.inject(f) })
		case <-ctx.Done():
		}
	}
	wg.Wait()
	if all, well := h.finalRequests.Load(), h.finalServed.Load(); !h.opts.SafetyOnly && all > 0 && float64(well) < minServedShare*float64(all) {
		h.check.addViolation("recovery: %d of %d requests were served at the end", well, all)
	}
}

// runCallers sends requests at the rate until the context ends, and waits for the last.
func (h *harness) runCallers(ctx context.Context, m *machine) {
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

func (h *harness) sendRequest(m *machine) {
	if m.replacing.Load() {
		return
	}
	n := h.requests.Add(1)
	unsafe, path, left := n%unsafeRequestInterval == 0, fmt.Sprintf("/safe/x%d", n%distinctPaths), requestDeadline
	switch {
	case n%longRequestInterval == 0:
		unsafe, path, left = true, platformtest.LongPath+"x", longRequestDeadline
	case unsafe:
		path = fmt.Sprintf("/unsafe/x%d", n%distinctPaths)
	}
	attempt := fmt.Sprintf("r%d", n)
	h.check.recordSent(attempt, m.service(), unsafe)
	calmBefore := h.undisturbed()
	lifeBefore, stoppingBefore := m.incarnationState()
	sent := time.Now()
	last := sent.Sub(h.startedAt) > h.plan.Length-recoveryWindow
	r, err := m.caller.Send(context.Background(), path, attempt, unsafe, left)
	life, stopping := m.incarnationState()
	if calmBefore && h.undisturbed() && h.check.wasExecuted(attempt) {
		switch {
		case stopping && !m.ranUntilGraceEnd(sent) && abortedByDaemon(r, err):
			h.check.addViolation("lost: %s ran and was cut by a planned stop: %d %v", attempt, r.Status, err)
		case err != nil && abortedByDaemon(r, err) && !stoppingBefore && !stopping && life == lifeBefore:
			h.check.addViolation("unanswered: %s ran and its connection to %s was closed without an answer: %v", attempt, m.vm.Name, err)
		}
	}
	if err == nil {
		h.check.checkResponse(attempt, r)
	}
	well := err == nil && r.Status == http.StatusOK
	if well {
		h.served.Add(1)
	}
	if last {
		h.finalRequests.Add(1)
		if well {
			h.finalServed.Add(1)
		}
	}
}

// abortedByDaemon reports whether a daemon ended a request that ran, without an answer or with
// one of its own because it stops.
func abortedByDaemon(r platformtest.Result, err error) bool {
	if err != nil {
		return !errors.Is(err, context.DeadlineExceeded)
	}
	return r.Status == http.StatusBadGateway && strings.TrimSpace(r.Body) == string(outcome.ReasonDraining)
}

// undisturbed reports whether nothing unplanned has disturbed any VM of late.
func (h *harness) undisturbed() bool {
	for _, m := range h.machines {
		if !m.undisturbed() {
			return false
		}
	}
	return true
}

// checkConfigInForce looks which configuration is in force at a daemon: it must be there in
// time, and never go back within one life of the process.
func (h *harness) checkConfigInForce(ctx context.Context, m *machine) {
	seen, seenLife := 0, 0
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(configCheckInterval)
		if m.replacing.Load() {
			continue
		}
		version, published := h.latestConfig()
		due := time.Since(published) > maxConfigDelay && m.undisturbed()
		life, stopping := m.incarnationState()
		attempt := fmt.Sprintf("probe-%s-%d", m.vm.Name, i)
		h.check.recordSent(attempt, m.service(), false)
		r, err := m.caller.Send(ctx, fmt.Sprintf("/v%d/x", version), attempt, false, requestDeadline)
		if after, _ := m.incarnationState(); err != nil || stopping || life != after {
			continue
		}
		h.check.checkResponse(attempt, r)
		switch {
		case r.Status == http.StatusNotFound && life == seenLife && seen >= version:
			h.check.addViolation("back: %s no longer knew version %d", m.vm.Name, version)
		case r.Status == http.StatusNotFound && due && m.undisturbed() && !h.opts.SafetyOnly:
			h.check.addViolation("late: %s did not know version %d %s after it was published", m.vm.Name, version, time.Since(published).Round(time.Millisecond))
		case r.Status != http.StatusNotFound && r.Status != http.StatusServiceUnavailable:
			seen, seenLife = version, life
		}
	}
}

// stopDaemons stops all daemons at once and expects them to end well in time.
func (h *harness) stopDaemons() {
	for _, m := range h.machines {
		m.stopForGood(syscall.SIGTERM)
	}
	end := time.After(gracePeriod + time.Second)
	for _, m := range h.machines {
		if life, stopped := m.incarnationState(); stopped && life == 0 {
			continue
		}
		select {
		case err := <-m.exitErr:
			if err != nil && h.undisturbed() {
				h.check.addViolation("stop: %s ended with %v", m.vm.Name, err)
			}
		case <-end:
			h.check.addViolation("stop: %s was still there after its grace time", m.vm.Name)
			return
		}
	}
}

func (h *harness) close() {
	for _, m := range h.machines {
		m.stopForGood(syscall.SIGKILL)
		m.close()
	}
	if h.server != nil {
		_ = h.server.Close()
	}
}

// Build builds the daemon's program into a directory.
func Build(ctx context.Context, dir string) (string, error) {
	path := dir + "/dottereltillerd"
	cmd := commandContext(ctx, "go", "build", "-o", path, "github.com/dottereltiller/dottereltiller/cmd/dottereltillerd")
	cmd.Stderr = os.Stderr
	return path, cmd.Run()
}
