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
	grace       = 5 * time.Second
	startWait   = 60 * time.Second
	serviceWait = 60 * time.Second
	deadline    = 2500 * time.Millisecond
	// longDeadline is that of the requests that run for seconds.
	longDeadline = 30 * time.Second
	defaultRate  = 10
	// defaultTotal is the requests a second in all that one machine of 8 cores serves
	// beside the work of a hundred daemons.
	defaultTotal = 480
	// recoveredShare of the requests must be served at the end, from judgeLast
	// before it on.
	recoveredShare = 0.95
	judgeLast      = 5 * time.Second
	// oneInUnsafe requests is not idempotent, and one in oneInLong runs for seconds
	// beside.
	oneInUnsafe = 3
	oneInLong   = 40
	// variety is how many different requests of each kind there are.
	variety = 2000
	// probeEvery is the time between two looks at which configuration is in force.
	probeEvery = 250 * time.Millisecond
)

// world is a running soak.
type world struct {
	plan     Plan
	opts     Options
	check    *checker
	store    *platformtest.Store
	server   *http.Server
	machines []*machine
	// net is the part of the loopback addresses that the soak has taken.
	net   int
	began time.Time
	ids   atomic.Int64
	// version is the newest configuration, published when.
	mu        sync.Mutex
	version   int
	published time.Time
	requests  atomic.Int64
	served    atomic.Int64
	lateAll   atomic.Int64
	lateWell  atomic.Int64
}

var errNotReady = errors.New("a daemon did not become ready")

// Run plays a plan. The error tells that it could not be played.
func Run(ctx context.Context, p Plan, o Options) (Result, error) {
	if o.Rate <= 0 {
		o.Rate = max(min(defaultRate, defaultTotal/max(p.VMs, 1)), 1)
	}
	if o.Out == nil {
		o.Out = io.Discard
	}
	w := &world{plan: p, opts: o, check: newChecker(), store: platformtest.NewStore()}
	defer w.close()
	w.check.untimed = o.SafetyOnly
	if err := w.build(ctx); err != nil {
		return Result{}, err
	}
	w.play(ctx)
	if err := w.awaitService(ctx); err != nil {
		return Result{}, err
	}
	w.checkControl(ctx)
	w.stop()
	w.check.budget()
	return Result{Violations: w.check.found(), Requests: int(w.requests.Load()), Served: int(w.served.Load())}, ctx.Err()
}

// nets is how many soaks fit beside each other on the loopback addresses.
const nets = 100

// ip returns the address of a VM, or for 0 of the store.
func (w *world) ip(number int) string {
	const firstNet, hosts = 100, 250
	return fmt.Sprintf("127.%d.%d.%d", firstNet+w.net, number/hosts, 1+number%hosts)
}

// listen takes addresses that no other soak has, beginning with those of the seed, and
// listens on the store's.
func (w *world) listen() (net.Listener, error) {
	ln, _, err := loopback.ListenFirstFree(w.plan.Seed, nets, func(n int) string {
		w.net = n
		return w.ip(0) + ":8142"
	})
	return ln, err
}

func (w *world) build(ctx context.Context) error {
	ln, err := w.listen()
	if err != nil {
		return err
	}
	storeAddress := ln.Addr().String()
	w.server = &http.Server{Handler: w.store}
	go func() { _ = w.server.Serve(ln) }()
	w.publish()
	for i := 1; i <= w.plan.VMs; i++ {
		m, err := newMachine(i, groups(w.plan.VMs), w.ip(i), w.opts.Dir, w.opts.Binary, storeAddress, w.check)
		if err != nil {
			return err
		}
		w.machines = append(w.machines, m)
		if err := m.start(); err != nil {
			return err
		}
		if err := m.upstream.Start(w.id(i)); err != nil {
			return err
		}
	}
	return w.awaitReady(ctx)
}

// id returns a new id for an upstream of a VM.
func (w *world) id(number int) string { return fmt.Sprintf("i-%d-%d", number, w.ids.Add(1)) }

func (w *world) awaitReady(ctx context.Context) error {
	end := time.Now().Add(startWait)
	for _, m := range w.machines {
		for !isReady(ctx, m) {
			if time.Now().After(end) || ctx.Err() != nil {
				return errNotReady
			}
			time.Sleep(restartAfter / 10)
		}
	}
	return nil
}

// awaitService waits until every daemon serves again.
func (w *world) awaitService(ctx context.Context) error {
	end := time.Now().Add(serviceWait)
	for _, m := range w.machines {
		for i := 0; ; i++ {
			attempt := fmt.Sprintf("probe-last-%s-%d", m.vm.Name, i)
			w.check.send(attempt, m.service(), false)
			r, err := m.caller.Send(ctx, "/safe/x", attempt, false, deadline)
			if err == nil && r.Status == http.StatusOK {
				break
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if time.Now().After(end) {
				w.check.report("recovery: %s does not serve", m.vm.Name)
				return nil
			}
			time.Sleep(probeEvery)
		}
	}
	return nil
}

func (w *world) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.published = time.Now()
	w.store.PutConfig(w.document())
}

// document returns the newest configuration. The lock is held.
func (w *world) document() []byte {
	var called []string
	for g := range groups(w.plan.VMs) {
		called = append(called, serviceOf(g, 0))
	}
	return platformtest.Document(w.version, called...)
}

func (w *world) newest() (int, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version, w.published
}

// play runs callers and faults for the length of the plan.
func (w *world) play(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.plan.Length)
	defer cancel()
	w.began = time.Now()
	var wg sync.WaitGroup
	for _, m := range w.machines {
		wg.Go(func() { w.call(ctx, m) })
		wg.Go(func() { w.probe(ctx, m) })
	}
	for _, f := range w.plan.Faults {
		select {
		case <-time.After(time.Until(w.began.Add(f.At))):
			_, _ = fmt.Fprintln(w.opts.Out, f)
			wg.Go(func() { w.inflict(f) })
		case <-ctx.Done():
		}
	}
	wg.Wait()
	if all, well := w.lateAll.Load(), w.lateWell.Load(); !w.opts.SafetyOnly && all > 0 && float64(well) < recoveredShare*float64(all) {
		w.check.report("recovery: %d of %d requests were served at the end", well, all)
	}
}

// call sends requests at the rate until the context ends, and waits for the last.
func (w *world) call(ctx context.Context, m *machine) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(time.Second / time.Duration(w.opts.Rate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			wg.Go(func() { w.request(m) })
		}
	}
}

func (w *world) request(m *machine) {
	if m.away.Load() {
		return
	}
	n := w.requests.Add(1)
	unsafe, path, left := n%oneInUnsafe == 0, fmt.Sprintf("/safe/x%d", n%variety), deadline
	switch {
	case n%oneInLong == 0:
		unsafe, path, left = true, platformtest.LongPath+"x", longDeadline
	case unsafe:
		path = fmt.Sprintf("/unsafe/x%d", n%variety)
	}
	attempt := fmt.Sprintf("r%d", n)
	w.check.send(attempt, m.service(), unsafe)
	calmBefore := w.calm()
	lifeBefore, stoppingBefore := m.state()
	sent := time.Now()
	last := sent.Sub(w.began) > w.plan.Length-judgeLast
	r, err := m.caller.Send(context.Background(), path, attempt, unsafe, left)
	life, stopping := m.state()
	if calmBefore && w.calm() && w.check.ranOnce(attempt) {
		switch {
		case stopping && !m.outran(sent) && brokenOff(r, err):
			w.check.report("lost: %s ran and was cut by a planned stop: %d %v", attempt, r.Status, err)
		case err != nil && brokenOff(r, err) && !stoppingBefore && !stopping && life == lifeBefore:
			w.check.report("unanswered: %s ran and its connection to %s was closed without an answer: %v", attempt, m.vm.Name, err)
		}
	}
	if err == nil {
		w.check.answer(attempt, r)
	}
	well := err == nil && r.Status == http.StatusOK
	if well {
		w.served.Add(1)
	}
	if last {
		w.lateAll.Add(1)
		if well {
			w.lateWell.Add(1)
		}
	}
}

// brokenOff reports whether a daemon ended a request that ran, without an answer or with
// one of its own because it stops.
func brokenOff(r platformtest.Result, err error) bool {
	if err != nil {
		return !errors.Is(err, context.DeadlineExceeded)
	}
	return r.Status == http.StatusBadGateway && strings.TrimSpace(r.Body) == string(outcome.ReasonDraining)
}

// calm reports whether nothing unplanned has disturbed any VM of late.
func (w *world) calm() bool {
	for _, m := range w.machines {
		if !m.calm() {
			return false
		}
	}
	return true
}

// probe looks which configuration is in force at a daemon: it must be there in
// time, and never go back within one life of the process.
func (w *world) probe(ctx context.Context, m *machine) {
	seen, seenLife := 0, 0
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(probeEvery)
		if m.away.Load() {
			continue
		}
		version, published := w.newest()
		due := time.Since(published) > configBound && m.calm()
		life, stopping := m.state()
		attempt := fmt.Sprintf("probe-%s-%d", m.vm.Name, i)
		w.check.send(attempt, m.service(), false)
		r, err := m.caller.Send(ctx, fmt.Sprintf("/v%d/x", version), attempt, false, deadline)
		if after, _ := m.state(); err != nil || stopping || life != after {
			continue
		}
		w.check.answer(attempt, r)
		switch {
		case r.Status == http.StatusNotFound && life == seenLife && seen >= version:
			w.check.report("back: %s no longer knew version %d", m.vm.Name, version)
		case r.Status == http.StatusNotFound && due && m.calm() && !w.opts.SafetyOnly:
			w.check.report("late: %s did not know version %d %s after it was published", m.vm.Name, version, time.Since(published).Round(time.Millisecond))
		case r.Status != http.StatusNotFound && r.Status != http.StatusServiceUnavailable:
			seen, seenLife = version, life
		}
	}
}

// stop stops all daemons at once and expects them to end well in time.
func (w *world) stop() {
	for _, m := range w.machines {
		m.end(syscall.SIGTERM)
	}
	end := time.After(grace + time.Second)
	for _, m := range w.machines {
		if life, stopped := m.state(); stopped && life == 0 {
			continue
		}
		select {
		case err := <-m.exits:
			if err != nil && w.calm() {
				w.check.report("stop: %s ended with %v", m.vm.Name, err)
			}
		case <-end:
			w.check.report("stop: %s was still there after its grace time", m.vm.Name)
			return
		}
	}
}

func (w *world) close() {
	for _, m := range w.machines {
		m.end(syscall.SIGKILL)
		m.close()
	}
	if w.server != nil {
		_ = w.server.Close()
	}
}

// Build builds the daemon's program into a directory.
func Build(ctx context.Context, dir string) (string, error) {
	path := dir + "/dottereltillerd"
	cmd := commandContext(ctx, "go", "build", "-o", path, "github.com/dottereltiller/dottereltiller/cmd/dottereltillerd")
	cmd.Stderr = os.Stderr
	return path, cmd.Run()
}
