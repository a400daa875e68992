package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/routing"
)

// Options configure a replay.
type Options struct {
	// Routing names the routing policy. Default: the router's own.
	Routing string
	// Seed seeds every random choice.
	Seed uint64
}

// sim is one replay under way.
type sim struct {
	topology *Topology
	opts     Options
	rng      *rand.Rand
	now      model.Instant
	queue    queue
	guards   []*guard
	entries  []*entry
	byName   map[string]*guard
	byZone   map[model.AvailabilityZone][]*entry
	turn     map[model.AvailabilityZone]int
	services map[model.ServiceName]*service
	cut      map[model.AvailabilityZone]bool
	logDown  bool
	held     []func()
	nextID   uint64
	// end is the instant of the trace's last event.
	end  model.Instant
	book *book
}

// service is a service of the topology with its guards.
type service struct {
	spec   *Service
	guards []*guard
}

// Run replays the events and returns the result. Events must be in order of
// time, as ReadTrace returns them.
func Run(t *Topology, events []Event, opts Options) (*Result, error) {
	if len(events) == 0 {
		return nil, errNoEvents
	}
	s, err := newSim(t, opts)
	if err != nil {
		return nil, err
	}
	if err := s.checkTargets(events); err != nil {
		return nil, err
	}
	s.run(events)
	r := s.book.result(s)
	ideal(t, events, r)
	return r, nil
}

func newSim(t *Topology, opts Options) (*sim, error) {
	s := &sim{
		topology: t,
		opts:     opts,
		rng:      rand.New(rand.NewPCG(opts.Seed, seedStream)),
		byName:   make(map[string]*guard),
		byZone:   make(map[model.AvailabilityZone][]*entry),
		turn:     make(map[model.AvailabilityZone]int),
		services: make(map[model.ServiceName]*service),
		cut:      make(map[model.AvailabilityZone]bool),
		book:     newBook(),
	}
	for i := range t.Services {
		s.addService(&t.Services[i])
	}
	for i, g := range s.guards {
		e, err := newEntry(s, i, g)
		if err != nil {
			return nil, err
		}
		s.entries = append(s.entries, e)
		s.byZone[e.zone] = append(s.byZone[e.zone], e)
	}
	s.spread()
	return s, nil
}

// seedStream separates the replay's random choices from the routers'.
const seedStream = 0x9e3779b97f4a7c15

func (s *sim) addService(spec *Service) {
	svc := &service{spec: spec}
	s.services[spec.Name] = svc
	for i, u := range spec.Upstreams {
		g := newGuard(s, len(s.guards), spec, u, upstreamName(spec.Name, i))
		s.guards = append(s.guards, g)
		s.byName[string(g.upstream.ID)] = g
		svc.guards = append(svc.guards, g)
	}
}

// upstreamName names the i-th upstream of a service, from 0.
func upstreamName(s model.ServiceName, i int) string { return fmt.Sprintf("%s-%d", s, i+1) }

// checkTargets refuses a trace that does not fit the topology.
func (s *sim) checkTargets(events []Event) error {
	for i := range events {
		e := &events[i]
		switch {
		case e.Fault == LogDown:
		case e.Fault == PartitionZone:
			if !s.topology.hasZone(model.AvailabilityZone(e.Target)) {
				return &FieldError{"target", e.Target, "the topology has no such zone"}
			}
		case e.Fault == Recover && s.topology.hasZone(model.AvailabilityZone(e.Target)):
		case e.Fault != "":
			if s.byName[e.Target] == nil {
				return &FieldError{"target", e.Target, "the topology has no such upstream"}
			}
		case !s.topology.hasZone(e.Zone):
			return &FieldError{"zone", e.Zone, "the topology has no such zone"}
		case s.services[e.Service] == nil:
			return &FieldError{"service", e.Service, "the topology has no such service"}
		}
	}
	return nil
}

func (s *sim) run(events []Event) {
	s.end = instant(events[len(events)-1].AtUs)
	for _, g := range s.guards {
		s.after(g.monitor.NextPoll().Sub(0), g.poll)
	}
	i := 0
	for {
		at, any := s.queue.next()
		if i < len(events) && (!any || instant(events[i].AtUs) <= at) {
			s.now = instant(events[i].AtUs)
			s.begin(&events[i])
			i++
			continue
		}
		if !any {
			return
		}
		t := s.queue.pop()
		s.now = t.at
		s.dispatch(t)
	}
}

func instant(us int64) model.Instant {
	return model.Instant(time.Duration(us) * time.Microsecond)
}

func (s *sim) begin(e *Event) {
	if e.Fault != "" {
		s.fault(e)
		return
	}
	zone := s.byZone[e.Zone]
	if len(zone) == 0 {
		zone = s.entries
	}
	entry := zone[s.turn[e.Zone]%len(zone)]
	s.turn[e.Zone]++
	req := &request{event: e, entry: entry, arrived: s.now, last: outcome.NotRunBecause(outcome.ReasonNoUpstream)}
	c := &call{req: req}
	s.dispatch(task{kind: arrive, daemon: entry.index, call: c})
}

// dispatch carries out a task, or holds it back while its daemon is paused.
func (s *sim) dispatch(t task) {
	if t.daemon != noDaemon && t.kind != act {
		if until := s.guards[t.daemon].pausedUntil; until > s.now {
			t.at = until
			s.queue.add(t)
			return
		}
	}
	switch t.kind {
	case arrive:
		t.call.req.entry.place(t.call.req)
	case reach:
		t.call.guard.arrive(t.call)
	case finish:
		t.call.guard.finish(t.call, t.stamp)
	case expire:
		t.call.guard.expire(t.call, t.stamp)
	case reply:
		t.call.req.entry.settle(t.call)
	case hedge:
		t.call.req.entry.hedge(t.call)
	case cancel:
		t.call.guard.cancel(t.call)
	case act:
		t.run()
	}
}

func (s *sim) after(d time.Duration, run func()) {
	s.queue.add(task{at: s.now.Add(d), kind: act, daemon: noDaemon, run: run})
}

// delay is the one-way delay between two daemons.
func (s *sim) delay(a, b int) time.Duration {
	za, zb := s.guards[a].upstream.Zone, s.guards[b].upstream.Zone
	switch {
	case a == b:
		return 0
	case za == zb:
		return time.Duration(s.topology.Delay.WithinZone)
	default:
		return time.Duration(s.topology.Delay.BetweenZones)
	}
}

// severed reports whether a partition cuts the two daemons apart.
func (s *sim) severed(a, b int) bool {
	za, zb := s.guards[a].upstream.Zone, s.guards[b].upstream.Zone
	return za != zb && (s.cut[za] || s.cut[zb])
}

// spread hands the membership view to every entry, as the log would.
func (s *sim) spread() {
	for _, e := range s.entries {
		for name, svc := range s.services {
			e.routers[name].SetUpstreams(s.now, svc.view())
		}
	}
}

// announce spreads a change of membership after the log's delay, or when the
// log comes back.
func (s *sim) announce() {
	if s.logDown {
		s.held = append(s.held, s.announce)
		return
	}
	s.after(spreadDelay, s.spread)
}

// spreadDelay is the time that a membership change takes over the log.
const spreadDelay = 250 * time.Millisecond

func (svc *service) view() []model.Upstream {
	ups := make([]model.Upstream, 0, len(svc.guards))
	for _, g := range svc.guards {
		ups = append(ups, g.upstream)
	}
	return ups
}

func (s *sim) routingOptions(i int, zone model.AvailabilityZone, self model.DaemonID) routing.Options {
	delays := make(map[model.AvailabilityZone]time.Duration, len(s.topology.Zones))
	for _, z := range s.topology.Zones {
		delays[z] = time.Duration(s.topology.Delay.BetweenZones)
	}
	delays[zone] = time.Duration(s.topology.Delay.WithinZone)
	return routing.Options{
		Policy:    s.opts.Routing,
		Zone:      zone,
		Self:      self,
		ZoneDelay: delays,
		Seed:      s.opts.Seed + uint64(i)*routerSeedStep,
	}
}

// routerSeedStep keeps the routers' random choices apart.
const routerSeedStep = 1_000_003
