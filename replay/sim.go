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
	// Routing names the routing policy. Default: the default policy of core/routing.
	Routing string
	// Seed seeds all random choices.
	Seed uint64
}

// simulation is the state of one replay.
type simulation struct {
	topology      *Topology
	opts          Options
	rng           *rand.Rand
	now           model.Instant
	queue         taskQueue
	guards        []*guard
	entries       []*entry
	guardsByName  map[string]*guard
	entriesByZone map[model.AvailabilityZone][]*entry
	// requestCountByZone counts the requests of each zone so far. The count selects the entry
	// for the zone's next request, so that entries take turns.
	requestCountByZone  map[model.AvailabilityZone]int
	servicesByName      map[model.ServiceName]*service
	isPartitionedByZone map[model.AvailabilityZone]bool
	logDown             bool
	// heldAnnouncements holds the announcements that wait for the end of LogDown.
	heldAnnouncements []func()
	lastAttemptID     uint64
	lastEventAt       model.Instant
	collector         *collector
}

// service is a service of the topology with its guards.
type service struct {
	spec   *Service
	guards []*guard
}

// Run replays the events and returns the result. Events must be in order of
// time, as ReadTrace returns them. Run returns an error if there are no events, if
// the routing policy is unknown, or if an event names something that the topology
// does not have.
func Run(t *Topology, events []Event, opts Options) (*Result, error) {
	if len(events) == 0 {
		return nil, errNoEvents
	}
	s, err := newSimulation(t, opts)
	if err != nil {
		return nil, err
	}
	if err := s.checkEvents(events); err != nil {
		return nil, err
	}
	s.run(events)
	r := s.collector.result(s)
	addIdealBound(t, events, r)
	return r, nil
}

func newSimulation(t *Topology, opts Options) (*simulation, error) {
	s := &simulation{
		topology:            t,
		opts:                opts,
		rng:                 rand.New(rand.NewPCG(opts.Seed, seedStream)),
		guardsByName:        make(map[string]*guard),
		entriesByZone:       make(map[model.AvailabilityZone][]*entry),
		requestCountByZone:  make(map[model.AvailabilityZone]int),
		servicesByName:      make(map[model.ServiceName]*service),
		isPartitionedByZone: make(map[model.AvailabilityZone]bool),
		collector:           newCollector(),
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
		s.entriesByZone[e.zone] = append(s.entriesByZone[e.zone], e)
	}
	s.updateRouters()
	return s, nil
}

// seedStream is the second half of the seed of simulation.rng. It makes this
// generator's sequence different from the sequences of the routers, whose seeds also
// derive from Options.Seed.
const seedStream = 0x9e3779b97f4a7c15

func (s *simulation) addService(spec *Service) {
	svc := &service{spec: spec}
	s.servicesByName[spec.Name] = svc
	for i, u := range spec.Upstreams {
		g := newGuard(s, len(s.guards), spec, u, upstreamName(spec.Name, i))
		s.guards = append(s.guards, g)
		s.guardsByName[string(g.upstream.ID)] = g
		svc.guards = append(svc.guards, g)
	}
}

// upstreamName returns the name of a service's i-th upstream, where i counts from 0.
// The numbers in the names count from 1.
func upstreamName(s model.ServiceName, i int) string { return fmt.Sprintf("%s-%d", s, i+1) }

// checkEvents returns a *FieldError if an event names a zone, an upstream or a
// service that the topology does not have.
func (s *simulation) checkEvents(events []Event) error {
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
			if s.guardsByName[e.Target] == nil {
				return &FieldError{"target", e.Target, "the topology has no such upstream"}
			}
		case !s.topology.hasZone(e.Zone):
			return &FieldError{"zone", e.Zone, "the topology has no such zone"}
		case s.servicesByName[e.Service] == nil:
			return &FieldError{"service", e.Service, "the topology has no such service"}
		}
	}
	return nil
}

// run simulates the events of the trace and the tasks that they cause, in the
// order of their virtual time.
func (s *simulation) run(events []Event) {
	s.lastEventAt = instant(events[len(events)-1].AtUs)
	for _, g := range s.guards {
		s.schedule(g.monitor.NextPoll().Sub(0), g.poll)
	}
	i := 0
	for {
		nextAt, pending := s.queue.nextInstant()
		if i < len(events) && (!pending || instant(events[i].AtUs) <= nextAt) {
			s.now = instant(events[i].AtUs)
			s.processEvent(&events[i])
			i++
			continue
		}
		if !pending {
			return
		}
		t := s.queue.pop()
		s.now = t.dueAt
		s.dispatch(t)
	}
}

// instant converts microseconds since the start of the trace to an Instant.
func instant(us int64) model.Instant {
	return model.Instant(time.Duration(us) * time.Microsecond)
}

// processEvent starts a fault or sends a request to an entry. The entries of the
// request's zone receive requests in turn. If the zone has no entries, the entries
// of all zones are used instead.
func (s *simulation) processEvent(e *Event) {
	if e.Fault != "" {
		s.startFault(e)
		return
	}
	entries := s.entriesByZone[e.Zone]
	if len(entries) == 0 {
		entries = s.entries
	}
	entry := entries[s.requestCountByZone[e.Zone]%len(entries)]
	s.requestCountByZone[e.Zone]++
	req := &request{event: e, entry: entry, arrivedAt: s.now, outcomeSoFar: outcome.NotRunBecause(outcome.ReasonNoUpstream)}
	a := &attempt{req: req}
	s.dispatch(task{kind: taskRequestArrival, daemonIndex: entry.index, attempt: a})
}

// dispatch runs a task. If the task's daemon is paused, dispatch reschedules the
// task to the end of the pause instead. Tasks of kind taskFunc are never
// rescheduled.
func (s *simulation) dispatch(t task) {
	if t.daemonIndex != noDaemon && t.kind != taskFunc {
		if until := s.guards[t.daemonIndex].pausedUntil; until > s.now {
			t.dueAt = until
			s.queue.add(t)
			return
		}
	}
	switch t.kind {
	case taskRequestArrival:
		t.attempt.req.entry.place(t.attempt.req)
	case taskAttemptArrival:
		t.attempt.guard.arrive(t.attempt)
	case taskFinish:
		t.attempt.guard.finish(t.attempt, t.generation)
	case taskExpire:
		t.attempt.guard.expire(t.attempt, t.generation)
	case taskReply:
		t.attempt.req.entry.handleReply(t.attempt)
	case taskHedge:
		t.attempt.req.entry.hedge(t.attempt)
	case taskCancel:
		t.attempt.guard.cancel(t.attempt)
	case taskFunc:
		t.run()
	}
}

// schedule calls run after the given virtual duration, even if a daemon is paused.
func (s *simulation) schedule(d time.Duration, run func()) {
	s.queue.add(task{dueAt: s.now.Add(d), kind: taskFunc, daemonIndex: noDaemon, run: run})
}

// delay returns the one-way network delay between two daemons, given by their indexes.
func (s *simulation) delay(a, b int) time.Duration {
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

// partitioned reports whether a zone partition separates two daemons, given by their
// indexes.
func (s *simulation) partitioned(a, b int) bool {
	za, zb := s.guards[a].upstream.Zone, s.guards[b].upstream.Zone
	return za != zb && (s.isPartitionedByZone[za] || s.isPartitionedByZone[zb])
}

// updateRouters passes the current upstreams of each service to all routers, as the
// membership log does in production.
func (s *simulation) updateRouters() {
	for _, e := range s.entries {
		for name, svc := range s.servicesByName {
			e.routersByService[name].SetUpstreams(s.now, svc.upstreams())
		}
	}
}

// announceMembership updates the routers after membershipDelay. While LogDown
// lasts, the announcement is postponed to the end of the fault.
func (s *simulation) announceMembership() {
	if s.logDown {
		s.heldAnnouncements = append(s.heldAnnouncements, s.announceMembership)
		return
	}
	s.schedule(membershipDelay, s.updateRouters)
}

// membershipDelay is the time from a membership change until the routers receive it.
// In production the routers receive it through the membership log.
const membershipDelay = 250 * time.Millisecond

func (svc *service) upstreams() []model.Upstream {
	ups := make([]model.Upstream, 0, len(svc.guards))
	for _, g := range svc.guards {
		ups = append(ups, g.upstream)
	}
	return ups
}

// routingOptions returns the options for the routers of the i-th entry. zone is the
// zone of the entry, and self is the ID of its daemon.
func (s *simulation) routingOptions(i int, zone model.AvailabilityZone, self model.DaemonID) routing.Options {
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

// routerSeedStep is the difference between the seeds of consecutive entries. It
// makes the random choices of their routers independent.
const routerSeedStep = 1_000_003
