package replay

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/admission"
	"github.com/dottereltiller/dottereltiller/core/limit"
	"github.com/dottereltiller/dottereltiller/core/measure"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/routing"
)

// guard simulates the guard of one daemon: the production admission control and
// concurrency limiter in front of a simulated upstream.
type guard struct {
	sim               *simulation
	index             int // position in simulation.guards; simulation.entries has the same order
	upstream          model.Upstream
	spec              *Service
	controller        *admission.Controller
	limiter           *limit.Limiter
	monitor           *measure.Monitor
	attemptsByID      map[admission.ID]*attempt // waiting and running attempts
	effects           []admission.Effect        // reused buffer for the controller's return values
	runningCount      int                       // number of running attempts
	pollCount         int
	pausedUntil       model.Instant // the daemon is paused until this instant
	simulatedUpstream fakeUpstream
}

func newGuard(s *simulation, index int, spec *Service, u Upstream, name string) *guard {
	g := &guard{
		sim:   s,
		index: index,
		spec:  spec,
		upstream: model.Upstream{
			ID:          model.UpstreamID(name),
			Service:     spec.Name,
			Incarnation: 1,
			Zone:        u.Zone,
			Daemon:      model.DaemonID(name),
			Slots:       u.Slots,
		},
		attemptsByID:      make(map[admission.ID]*attempt),
		simulatedUpstream: newFakeUpstream(u, spec),
	}
	g.monitor = measure.NewMonitor(0, measure.Options{
		Share:  spec.MeasuringBudget,
		Slots:  u.Slots,
		Prices: measure.Prices{Connection: time.Duration(spec.ConnectionCost)},
	})
	g.reset()
	return g
}

// reset creates the limiter and the admission controller for a new incarnation of
// the upstream.
func (g *guard) reset() {
	g.limiter = limit.New(limit.Options{Slots: g.upstream.Slots})
	g.controller = admission.New(admission.Options{Slots: g.upstream.Slots, Limiter: g.limiter})
	groups := make([]admission.Group, 0, len(g.spec.Groups))
	for _, group := range g.spec.Groups {
		queueBound := group.QueueBound
		if queueBound == 0 {
			queueBound = defaultQueueBound
		}
		groups = append(groups, admission.Group{Name: group.Name, Weight: group.Weight, QueueBound: queueBound})
	}
	g.controller.Configure(g.sim.now, groups)
}

// arrive submits an attempt to the admission controller. If the attempt was meant for
// another incarnation of the upstream, arrive returns it unexecuted to the entry. An
// attempt that has to wait is rejected at once if its queue timeout is 0. Otherwise arrive
// schedules the end of its wait, at the queue timeout or the deadline, whichever is earlier.
func (g *guard) arrive(a *attempt) {
	if a.incarnation != g.upstream.Incarnation {
		g.sendReply(a, outcome.NotRunBecause(outcome.ReasonNoUpstream), false)
		return
	}
	now := g.sim.now
	id := admission.ID(a.id)
	g.attemptsByID[id] = a
	a.isWaiting = true
	g.effects = g.controller.Arrive(now, admission.Arrival{ID: id, Request: a.req.routingRequest()}, g.effects[:0])
	g.applyEffects()
	if !a.isWaiting {
		return
	}
	if a.choice.QueueTimeout == 0 {
		g.reject(a)
		return
	}
	expiresAt := a.req.deadline()
	if a.choice.QueueTimeout > 0 {
		expiresAt = min(expiresAt, now.Add(a.choice.QueueTimeout))
	}
	g.sim.queue.add(task{dueAt: max(expiresAt, now), kind: taskExpire, daemonIndex: g.index, attempt: a, generation: a.generation})
}

// reject returns a waiting attempt to its entry unexecuted. It is called when
// the queue timeout has expired, or on arrival if this timeout is 0.
func (g *guard) reject(a *attempt) {
	if !g.controller.Withdraw(g.sim.now, admission.ID(a.id)) {
		return
	}
	a.isWaiting = false
	delete(g.attemptsByID, admission.ID(a.id))
	g.sendReply(a, outcome.NotRunBecause(outcome.ReasonWithdrawn), false)
}

// expire runs when the queue timeout or the deadline of an attempt has passed. After
// the queue timeout it rejects the attempt. After the deadline it makes the controller
// refuse all expired attempts. It ignores attempts that no longer wait and tasks of an
// earlier generation.
func (g *guard) expire(a *attempt, generation uint32) {
	if !a.isWaiting || a.generation != generation {
		return
	}
	if g.sim.now < a.req.deadline() {
		g.reject(a)
		return
	}
	g.effects = g.controller.Expire(g.sim.now, g.effects[:0])
	g.applyEffects()
}

// applyEffects executes the decisions that the admission controller returned in
// g.effects. Each decision starts or refuses a waiting attempt.
func (g *guard) applyEffects() {
	effects := g.effects
	g.effects = nil
	for _, e := range effects {
		a := g.attemptsByID[e.ID]
		if a == nil {
			continue
		}
		a.isWaiting = false
		if e.Kind == admission.Refuse {
			delete(g.attemptsByID, e.ID)
			g.sendReply(a, e.Outcome, false)
			continue
		}
		g.start(a)
	}
	g.effects = effects
}

// start begins to execute an attempt at the simulated upstream and schedules the end
// of the execution.
func (g *guard) start(a *attempt) {
	now := g.sim.now
	a.startedAt, a.isRunning = now, true
	g.runningCount++
	g.monitor.SetRunning(g.runningCount)
	executionTime, o, failed := g.simulatedUpstream.run(now, a)
	a.reply = routing.Reply{Outcome: o, Failed: failed}
	if o.Kind != outcome.NotRun {
		a.req.executionCount++
	}
	g.sim.queue.add(task{dueAt: now.Add(executionTime), kind: taskFinish, daemonIndex: g.index, attempt: a, generation: a.generation})
}

// finish ends an execution, frees its slot and replies to the entry. Waiting attempts can
// then start. finish ignores tasks of an earlier generation.
func (g *guard) finish(a *attempt, generation uint32) {
	if !a.isRunning || a.generation != generation {
		return
	}
	now := g.sim.now
	a.isRunning = false
	g.runningCount--
	g.monitor.SetRunning(g.runningCount)
	g.simulatedUpstream.release(now)
	delete(g.attemptsByID, admission.ID(a.id))
	res := admission.Result{Outcome: a.reply.Outcome, SlotTime: now.Sub(a.startedAt), Failed: a.reply.Failed}
	g.sim.collector.addSlotTime(a.req, res.SlotTime)
	g.effects = g.controller.Finish(now, admission.ID(a.id), res, g.effects[:0])
	g.sendReply(a, a.reply.Outcome, a.reply.Failed)
	g.applyEffects()
}

// sendReply sends a reply with the guard's current load to the attempt's entry.
// Over a partitioned link the entry sees a lost connection instead.
func (g *guard) sendReply(a *attempt, o outcome.Outcome, failed bool) {
	s := g.sim
	a.reply = routing.Reply{Outcome: o, Failed: failed, Load: g.loadFor(a.req.routingRequest().Group), HasLoad: true}
	entryIndex := a.req.entry.index
	delay := s.delay(g.index, entryIndex)
	if s.partitioned(g.index, entryIndex) {
		a.reply = routing.Reply{Outcome: outcome.UnknownBecause(outcome.ReasonConnectionLost)}
		delay = connectTimeout
	}
	s.queue.add(task{dueAt: s.now.Add(delay), kind: taskReply, daemonIndex: entryIndex, attempt: a})
}

func (g *guard) loadFor(group model.GroupName) model.Load {
	return g.monitor.Annotate(g.limiter.Annotate(g.controller.LoadFor(g.sim.now, group)))
}

// crashRunning ends every running attempt with an unknown outcome, as a crash of
// the upstream does.
func (g *guard) crashRunning() {
	for _, a := range g.sortedAttempts() {
		if !a.isRunning {
			continue
		}
		a.generation++
		a.reply = routing.Reply{Outcome: outcome.UnknownBecause(outcome.ReasonUpstreamCrashed), Failed: true}
		g.sim.queue.add(task{dueAt: g.sim.now, kind: taskFinish, daemonIndex: g.index, attempt: a, generation: a.generation})
	}
}

// drain makes the guard refuse new and waiting attempts. Running attempts continue.
func (g *guard) drain() {
	g.upstream.Draining = true
	g.effects = g.controller.Drain(g.sim.now, g.effects[:0])
	g.applyEffects()
}

// restart ends all attempts of the current incarnation and schedules the start of
// the next one. The next incarnation starts one nanosecond later, when all these
// attempts have ended.
func (g *guard) restart() {
	g.drain()
	g.crashRunning()
	g.sim.schedule(time.Nanosecond, func() {
		g.upstream.Incarnation++
		g.upstream.Draining = false
		g.simulatedUpstream.crashed = false
		g.reset()
		g.sim.announceMembership()
	})
}
