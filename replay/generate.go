package replay

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Generator generates a trace for a topology. The trace holds faults and requests
// with Poisson arrivals and log-normal costs. Equal fields give equal traces.
type Generator struct {
	// Topology is the deployment that receives the requests.
	Topology *Topology
	// Load is the offered load of every service: the mean number of slots that its
	// requests need, as a share of the service's slots.
	Load float64
	// Duration is the length of the trace.
	Duration time.Duration
	// Surges add load during part of the trace.
	Surges []Surge
	// Faults are the fault events of the trace.
	Faults []Event
	// Seed seeds the random choices.
	Seed uint64
}

// Surge is additional load from one group on one service.
type Surge struct {
	Service model.ServiceName
	Group   model.GroupName
	// Load is the additional offered load as a share of the service's slots.
	Load float64
	// From is the start of the surge, as time since the start of the trace.
	From time.Duration
	// Until is the end of the surge, as time since the start of the trace.
	Until time.Duration
}

// requestProfile describes the requests that a group sends to a service.
type requestProfile struct {
	// loadShare is the group's share of the service's steady load in slot time.
	loadShare float64
	// meanCost is the mean of the log-normal cost of a request.
	meanCost time.Duration
	// sigma is the standard deviation of the logarithm of the cost.
	sigma float64
	// nonIdempotentShare is the share of requests that are not idempotent.
	nonIdempotentShare float64
	deadline           time.Duration
	callers            int // number of callers in the group
}

// requestProfiles holds the profiles of the groups in the two topologies under
// testdata/replay.
var requestProfiles = map[groupKey]requestProfile{
	{"returdesk", "sorters"}:         {0.70, 2 * time.Millisecond, 0.6, 0.05, 2 * time.Second, 40},
	{"returdesk", "internal-checks"}: {0.15, 2 * time.Millisecond, 0.6, 0, 5 * time.Second, 4},
	{"returdesk", "members"}:         {0.15, 3 * time.Millisecond, 0.6, 0, 2 * time.Second, 20},
	{"sporarkiv", "members"}:         {0.60, 3 * time.Millisecond, 0.6, 0, 2 * time.Second, 20},
	{"sporarkiv", "archive-search"}:  {0.25, 20 * time.Millisecond, 0.7, 0, 30 * time.Second, 10},
	{"sporarkiv", "internal-checks"}: {0.15, 3 * time.Millisecond, 0.6, 0, 5 * time.Second, 4},
	{"bookings", "farmers"}:          {0.60, 3 * time.Millisecond, 0.6, 0.05, 2 * time.Second, 60},
	{"bookings", "gangs"}:            {0.30, 4 * time.Millisecond, 0.6, 0.10, 2 * time.Second, 20},
	{"bookings", "merged-partners"}:  {0.10, 8 * time.Millisecond, 0.6, 0, 5 * time.Second, 4},
	{"sheds", "farmers"}:             {0.50, 3 * time.Millisecond, 0.6, 0, 2 * time.Second, 60},
	{"sheds", "gangs"}:               {0.50, 3 * time.Millisecond, 0.6, 0, 2 * time.Second, 20},
}

// profileOf returns the profile of a group. If requestProfiles does not list the
// group, profileOf returns a default profile. In default profiles the groups of a
// service have equal shares of the load.
func profileOf(s *Service, g model.GroupName) requestProfile {
	if p, ok := requestProfiles[groupKey{s.Name, g}]; ok {
		return p
	}
	return requestProfile{1 / float64(len(s.Groups)), 2 * time.Millisecond, 0.6, 0, 2 * time.Second, 10}
}

// Write generates the trace and writes it as JSON lines.
func (g *Generator) Write(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	enc := json.NewEncoder(buffered)
	for _, e := range g.Events() {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return buffered.Flush()
}

// Events generates the trace. It returns the faults and the requests in order of time.
func (g *Generator) Events() []Event {
	events := slices.Clone(g.Faults)
	stream := uint64(0)
	for i := range g.Topology.Services {
		s := &g.Topology.Services[i]
		for _, group := range s.Groups {
			stream++
			rng := rand.New(rand.NewPCG(g.Seed, stream))
			p := profileOf(s, group.Name)
			events = g.appendArrivals(events, rng, s, group.Name, p, g.Load*p.loadShare, 0, g.Duration)
			events = g.appendSurgeArrivals(events, rng, s, group.Name, p)
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.AtUs, b.AtUs) })
	return events
}

// appendSurgeArrivals appends the additional requests that a group sends during surges.
func (g *Generator) appendSurgeArrivals(events []Event, rng *rand.Rand, s *Service, group model.GroupName, p requestProfile) []Event {
	for _, surge := range g.Surges {
		if surge.Service == s.Name && surge.Group == group {
			events = g.appendArrivals(events, rng, s, group, p, surge.Load, surge.From, surge.Until)
		}
	}
	return events
}

// appendArrivals appends requests with Poisson arrivals between start and end. load is
// their offered load as a share of the service's slots.
func (g *Generator) appendArrivals(events []Event, rng *rand.Rand, s *Service, group model.GroupName, p requestProfile, load float64, start, end time.Duration) []Event {
	rate := load * float64(totalSlots(s)) / p.meanCost.Seconds()
	if rate <= 0 {
		return events
	}
	atSeconds := start.Seconds()
	for {
		atSeconds += rng.ExpFloat64() / rate
		if atSeconds >= end.Seconds() {
			return events
		}
		events = append(events, Event{
			AtUs:       int64(atSeconds * 1e6),
			Caller:     model.CallerName(fmt.Sprintf("%s-%d", group, 1+rng.IntN(p.callers))),
			Group:      group,
			Service:    s.Name,
			CostUs:     p.cost(rng),
			Idempotent: rng.Float64() >= p.nonIdempotentShare,
			DeadlineMs: p.deadline.Milliseconds(),
			Zone:       g.Topology.Zones[rng.IntN(len(g.Topology.Zones))],
		})
	}
}

// cost draws the cost of a request, in microseconds, from the log-normal distribution
// with mean meanCost.
func (p requestProfile) cost(rng *rand.Rand) int64 {
	median := float64(p.meanCost.Microseconds()) / math.Exp(p.sigma*p.sigma/2)
	return max(int64(median*math.Exp(p.sigma*rng.NormFloat64())), 1)
}

func totalSlots(s *Service) int {
	slots := 0
	for _, u := range s.Upstreams {
		slots += u.Slots
	}
	return slots
}

// Scenario describes a trace. The topology and the seed are chosen later, when
// Scenario.Generator is called.
type Scenario struct {
	Name string
	// Load is the steady load as a share of the slots.
	Load     float64
	Duration time.Duration
	Surges   []Surge
	// Faults are the faults that begin together. Scenario.Generator chooses
	// their targets.
	Faults []Fault
}

// Scenarios returns the predefined scenarios.
func Scenarios() []Scenario {
	scenarios := []Scenario{
		{Name: "steady-70", Load: 0.70, Duration: scenarioDuration},
		{Name: "steady-85", Load: 0.85, Duration: scenarioDuration},
		{Name: "steady-95", Load: 0.95, Duration: scenarioDuration},
		{Name: "booking-rush", Load: 0.60, Duration: scenarioDuration, Surges: []Surge{
			{"bookings", "farmers", 1.2, 500 * time.Millisecond, 1500 * time.Millisecond},
			{"sheds", "farmers", 0.3, 500 * time.Millisecond, 1500 * time.Millisecond},
		}},
		{Name: "archive-surge", Load: 0.60, Duration: scenarioDuration, Surges: []Surge{
			{"sporarkiv", "archive-search", 2, 500 * time.Millisecond, 1500 * time.Millisecond},
		}},
	}
	for _, f := range []Fault{Straggle, Drain, FailFast, ColdStart, Crash, Misreport, PartitionZone, LogDown, PauseDaemon} {
		scenarios = append(scenarios, faultScenario(f))
	}
	for _, pair := range [][]Fault{
		{Straggle, Drain}, {FailFast, Crash}, {Crash, LogDown}, {PartitionZone, LogDown},
		{Straggle, Misreport}, {PauseDaemon, Drain},
	} {
		scenarios = append(scenarios, faultScenario(pair...))
	}
	return scenarios
}

const (
	scenarioDuration = 3 * time.Second
	// faultLoad is the load in scenarios with faults. When one upstream fails, the
	// others can still carry this load.
	faultLoad     = 0.70
	faultStart    = time.Second
	faultDuration = 1500 * time.Millisecond
	// slowdownFactor is Event.Factor of Straggle and ColdStart, and misreportFactor
	// that of Misreport.
	slowdownFactor  = 8
	misreportFactor = 0.1
)

// faultScenario returns a scenario of steady load in which the given faults begin
// together.
func faultScenario(faults ...Fault) Scenario {
	names := make([]string, len(faults))
	for i, f := range faults {
		names[i] = strings.ReplaceAll(string(f), "_", "-")
	}
	return Scenario{Name: strings.Join(names, "+"), Load: faultLoad, Duration: scenarioDuration, Faults: faults}
}

// Generator returns the scenario's generator for a topology. Faults of upstreams affect
// different upstreams of the topology's first service. PartitionZone affects the last zone.
func (s Scenario) Generator(t *Topology, seed uint64) *Generator {
	g := &Generator{Topology: t, Load: s.Load, Duration: s.Duration, Surges: s.Surges, Seed: seed}
	for i, f := range s.Faults {
		e := Event{AtUs: faultStart.Microseconds(), Fault: f, ForMs: faultDuration.Milliseconds(), Factor: 1}
		switch f {
		case LogDown:
		case PartitionZone:
			e.Target = string(t.Zones[len(t.Zones)-1])
		default:
			e.Target = upstreamName(t.Services[0].Name, 2+i)
		}
		switch f {
		case Straggle, ColdStart:
			e.Factor = slowdownFactor
		case Misreport:
			e.Factor = misreportFactor
		}
		g.Faults = append(g.Faults, e)
	}
	return g
}

// FindScenario returns the named scenario, and whether there is one.
func FindScenario(name string) (Scenario, bool) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}
