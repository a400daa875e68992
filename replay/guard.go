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

// guard is the guard of one daemon: the real admission and limit before a fake
// upstream.
type guard struct {
	sim         *sim
	index       int
	upstream    model.Upstream
	spec        *Service
	controller  *admission.Controller
	limiter     *limit.Limiter
	monitor     *measure.Monitor
	calls       map[admission.ID]*call
	effects     []admission.Effect
	running     int
	polls       int
	pausedUntil model.Instant
	fake        fakeUpstream
}

func newGuard(s *sim, index int, spec *Service, u Upstream, name string) *guard {
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
		calls: make(map[admission.ID]*call),
		fake:  newFakeUpstream(u, spec),
	}
	g.monitor = measure.NewMonitor(0, measure.Options{
		Share:  spec.MeasuringBudget,
		Slots:  u.Slots,
		Prices: measure.Prices{Connection: time.Duration(spec.ConnectionCost)},
	})
	g.reset()
	return g
}

// reset starts a new incarnation's admission.
func (g *guard) reset() {
	g.limiter = limit.New(limit.Options{Slots: g.upstream.Slots})
	g.controller = admission.New(admission.Options{Slots: g.upstream.Slots, Limiter: g.limiter})
	groups := make([]admission.Group, 0, len(g.spec.Groups))
	for _, sp := range g.spec.Groups {
		bound := sp.QueueBound
		if bound == 0 {
			bound = defaultQueueBound
		}
		groups = append(groups, admission.Group{Name: sp.Name, Weight: sp.Weight, QueueBound: bound})
	}
	g.controller.Configure(g.sim.now, groups)
}

// arrive hands a call to the admission.
func (g *guard) arrive(c *call) {
	if c.incarnation != g.upstream.Incarnation {
		g.answer(c, outcome.NotRunBecause(outcome.ReasonNoUpstream), false)
		return
	}
	now := g.sim.now
	id := admission.ID(c.id)
	g.calls[id] = c
	c.waiting = true
	g.effects = g.controller.Arrive(now, admission.Arrival{ID: id, Request: c.req.model()}, g.effects[:0])
	g.apply()
	if !c.waiting {
		return
	}
	if c.choice.QueueTimeout == 0 {
		g.giveBack(c)
		return
	}
	until := c.req.deadline()
	if c.choice.QueueTimeout > 0 {
		until = min(until, now.Add(c.choice.QueueTimeout))
	}
	g.sim.queue.add(task{at: max(until, now), kind: expire, daemon: g.index, call: c, stamp: c.stamp})
}

// giveBack withdraws a waiting call whose patience has ended.
func (g *guard) giveBack(c *call) {
	if !g.controller.Withdraw(g.sim.now, admission.ID(c.id)) {
		return
	}
	c.waiting = false
	delete(g.calls, admission.ID(c.id))
	g.answer(c, outcome.NotRunBecause(outcome.ReasonWithdrawn), false)
}

func (g *guard) expire(c *call, stamp uint32) {
	if !c.waiting || c.stamp != stamp {
		return
	}
	if g.sim.now < c.req.deadline() {
		g.giveBack(c)
		return
	}
	g.effects = g.controller.Expire(g.sim.now, g.effects[:0])
	g.apply()
}

// apply carries out the collected effects.
func (g *guard) apply() {
	effects := g.effects
	g.effects = nil
	for _, e := range effects {
		c := g.calls[e.ID]
		if c == nil {
			continue
		}
		c.waiting = false
		if e.Kind == admission.Refuse {
			delete(g.calls, e.ID)
			g.answer(c, e.Outcome, false)
			continue
		}
		g.start(c)
	}
	g.effects = effects
}

// start runs a call in the fake upstream.
func (g *guard) start(c *call) {
	now := g.sim.now
	c.started, c.running = now, true
	g.running++
	g.monitor.SetRunning(g.running)
	took, o, failed := g.fake.run(now, c)
	c.reply = routing.Reply{Outcome: o, Failed: failed}
	if o.Kind != outcome.NotRun {
		c.req.runs++
	}
	g.sim.queue.add(task{at: now.Add(took), kind: finish, daemon: g.index, call: c, stamp: c.stamp})
}

func (g *guard) finish(c *call, stamp uint32) {
	if !c.running || c.stamp != stamp {
		return
	}
	now := g.sim.now
	c.running = false
	g.running--
	g.monitor.SetRunning(g.running)
	g.fake.release(now)
	delete(g.calls, admission.ID(c.id))
	res := admission.Result{Outcome: c.reply.Outcome, SlotTime: now.Sub(c.started), Failed: c.reply.Failed}
	g.sim.book.used(c.req, res.SlotTime)
	g.effects = g.controller.Finish(now, admission.ID(c.id), res, g.effects[:0])
	g.answer(c, c.reply.Outcome, c.reply.Failed)
	g.apply()
}

// answer sends a reply with the exact load to the call's entry.
func (g *guard) answer(c *call, o outcome.Outcome, failed bool) {
	s := g.sim
	c.reply = routing.Reply{Outcome: o, Failed: failed, Load: g.loadFor(c.req.model().Group), HasLoad: true}
	entry := c.req.entry.index
	d := s.delay(g.index, entry)
	if s.severed(g.index, entry) {
		c.reply = routing.Reply{Outcome: outcome.UnknownBecause(outcome.ReasonConnectionLost)}
		d = connectTimeout
	}
	s.queue.add(task{at: s.now.Add(d), kind: reply, daemon: entry, call: c})
}

func (g *guard) loadFor(group model.GroupName) model.Load {
	return g.monitor.Annotate(g.limiter.Annotate(g.controller.LoadFor(g.sim.now, group)))
}

// lose ends every running call as a crash does.
func (g *guard) lose() {
	for _, c := range g.inOrder() {
		if !c.running {
			continue
		}
		c.stamp++
		c.reply = routing.Reply{Outcome: outcome.UnknownBecause(outcome.ReasonUpstreamCrashed), Failed: true}
		g.sim.queue.add(task{at: g.sim.now, kind: finish, daemon: g.index, call: c, stamp: c.stamp})
	}
}

// drain refuses new work; what runs goes on.
func (g *guard) drain() {
	g.upstream.Draining = true
	g.effects = g.controller.Drain(g.sim.now, g.effects[:0])
	g.apply()
}

// rejoin starts the next incarnation. Calls of the last one are settled first.
func (g *guard) rejoin() {
	g.drain()
	g.lose()
	g.sim.after(time.Nanosecond, func() {
		g.upstream.Incarnation++
		g.upstream.Draining = false
		g.fake.crashed = false
		g.reset()
		g.sim.announce()
	})
}
