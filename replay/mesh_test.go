package replay_test

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/core/slots"
)

// The mesh plays the decisions of sidecar daemons, core/placement at each entry and
// core/slots at each guard, against upstreams as they were recorded: their speed
// changes several times a second as neighbours come and go, they slow down near full,
// and are slow after a start.

const (
	tickLength = time.Millisecond
	// noisePeriodTicks is how long a neighbour stays or is away, noiseSlowdown how much
	// longer work takes beside one.
	noisePeriodTicks = 300
	noiseSlowdown    = 4.0
	// kneeUtilization of the slots can be busy before all runs take kneeSlowdown times as
	// long.
	kneeUtilization = 0.8
	kneeSlowdown    = 1.7
	// coldTicks is how long an upstream is slow after its start, coldSlowdown how
	// much.
	coldTicks    = 3000
	coldSlowdown = 2.0
	// localDelayTicks and remoteDelayTicks are the ways to a guard, remoteQueryTicks the time to ask
	// guards of other zones.
	localDelayTicks  = 1
	remoteDelayTicks = 2
	remoteQueryTicks = 3
	meshServiceTime  = 160 * time.Millisecond
	meshTarget       = 500 * time.Millisecond
	meshDeadline     = 1200 * time.Millisecond
	meshLengthTicks  = 20_000
	meshZones        = 3
	upstreamsPerZone = 4
)

// workload is a load and how the upstreams are disturbed.
type workload struct {
	// rate is the requests a second to all entries.
	rate float64
	// slots of each upstream, and the share of time that it has a neighbour.
	slots int
	noise float64
	// restartedUpstreams upstreams start anew after five seconds.
	restartedUpstreams int
	// hideSlowdown upstreams do not say how slow they are.
	hideSlowdown bool
	// upstreamQueue is how many requests wait at an upstream itself. One that comes when
	// all slots and the queue are taken has its connection reset.
	upstreamQueue int
	// zoneSize is the number of upstreams of a zone. Default: upstreamsPerZone.
	zoneSize int
	// burst callers come in one tick every burstPeriodTicks, besides the rate.
	burst int
	// callerRetries is how often a refused caller comes back, at the time it was told, or
	// as told without the spread of the advice.
	callerRetries int
	noJitter      bool
	// recorded replaces the rate, the upstreams and the kinds of requests by those
	// of a day.
	recorded *recordedService
}

// routingPolicy chooses where a request goes. The zero value is the product's.
type routingPolicy uint8

const (
	usePlacement routingPolicy = iota
	useRandom
	useLeastOutstanding
	// useLeastOutstandingWithoutGuards sends to the upstream itself, without a guard.
	useLeastOutstandingWithoutGuards
)

type meshNode struct {
	key    string
	zone   model.AvailabilityZone
	speeds []float64
	placer *placement.Placer
	queue  *slots.Queue
	// slowdown is what the guard knows, from slowdownAt.
	slowdown   float64
	slowdownAt model.Instant
	slots      int
	coldUntil  model.Instant
	// down is set while the upstream is not there.
	down        bool
	outstanding map[*meshNode]int
	running     []*meshRequest
	waiting     map[uint64]*meshRequest
}

type meshRequest struct {
	requestKind
	entry, guard *meshNode
	arrivedAt    model.Instant
	remaining    float64
	rejections   int
	fullGuards   int
	rejectedBy   map[string]bool
	// retries counts how often its caller has come back.
	retries int
}

type mesh struct {
	workload
	policy      routingPolicy
	rng         *rand.Rand
	kinds       []requestKind
	now         model.Instant
	tick        int
	lengthTicks int
	nodes       []*meshNode
	scheduled   map[int][]func()
	nextID      uint64
	sent        int
	inTime      int
	late        int
	refused     int
	resets      int
}

func newMesh(p workload, how routingPolicy, seed uint64) *mesh {
	m := &mesh{
		workload: p, policy: how, rng: rand.New(rand.NewPCG(seed, 0)), scheduled: map[int][]func(){},
		kinds: defaultKinds(), lengthTicks: meshLengthTicks,
	}
	noise := rand.New(rand.NewPCG(seed, 1))
	if p.recorded != nil {
		m.kinds, m.lengthTicks = p.recorded.kinds(), p.recorded.ticks()
		for _, u := range p.recorded.Upstreams {
			m.addNode(u.Zone, u.applyDowntime(drawSpeeds(noise, p.noise, m.lengthTicks)))
		}
	} else {
		for z := range meshZones {
			for range cmp.Or(p.zoneSize, upstreamsPerZone) {
				m.addNode(model.AvailabilityZone(rune('a'+z)), drawSpeeds(noise, p.noise, m.lengthTicks))
			}
		}
	}
	m.updateUpstreams()
	return m
}

func (m *mesh) addNode(zone model.AvailabilityZone, speeds []float64) {
	n := &meshNode{
		key: fmt.Sprint(zone, len(m.nodes)), zone: zone, speeds: speeds,
		slots: m.slots, queue: slots.New(placement.DefaultLimit(m.slots)), slowdown: 1,
		outstanding: map[*meshNode]int{}, waiting: map[uint64]*meshRequest{},
	}
	n.placer = placement.New(placement.Options{Zone: zone, Rand: m.rng.Float64})
	m.nodes = append(m.nodes, n)
}

// updateUpstreams tells all entries which upstreams there are.
func (m *mesh) updateUpstreams() {
	for _, n := range m.nodes {
		n.placer.SetUpstreams(m.candidates())
	}
}

func (m *mesh) candidates() []placement.Upstream {
	var ups []placement.Upstream
	for _, n := range m.nodes {
		if n.down {
			continue
		}
		ups = append(ups, placement.Upstream{Key: n.key, Zone: n.zone, Slots: n.slots, ColdUntil: n.coldUntil})
	}
	return ups
}

// drawSpeeds draws how fast an upstream is at each tick, 1 being as usual.
func drawSpeeds(rng *rand.Rand, share float64, ticks int) []float64 {
	out := make([]float64, 2*ticks)
	phase, speed := rng.IntN(noisePeriodTicks), 1.0
	for i := range out {
		if (i+phase)%noisePeriodTicks == 0 {
			speed = 1
			if rng.Float64() < share {
				speed = 1 / noiseSlowdown
			}
		}
		out[i] = speed
	}
	return out
}

// play runs the pattern and returns the share of requests served within their target.
func (m *mesh) play() float64 {
	const restartAt = 5000
	for m.tick = 0; m.tick < m.lengthTicks+int(meshDeadline/tickLength); m.tick++ {
		m.now = model.Instant(0).Add(time.Duration(m.tick) * tickLength)
		if m.tick == restartAt {
			m.restart()
		}
		for _, f := range m.scheduled[m.tick] {
			f()
		}
		delete(m.scheduled, m.tick)
		m.updateAvailability()
		for _, n := range m.nodes {
			m.runUpstream(n)
		}
		if m.tick >= m.lengthTicks {
			continue
		}
		for range m.arrivals() {
			m.arrive()
		}
		if m.tick%burstPeriodTicks == burstPeriodTicks/2 {
			for range m.burst {
				m.arrive()
			}
		}
	}
	return float64(m.inTime) / float64(m.sent)
}

// arrivals draws how many requests come in this tick.
func (m *mesh) arrivals() int {
	rate := m.rate
	if m.recorded != nil {
		rate = m.recorded.rateAtTick(m.tick)
	}
	n, left := 0, math.Exp(-rate*tickLength.Seconds())
	for p := m.rng.Float64(); p > left; p *= m.rng.Float64() {
		n++
	}
	return n
}

func (m *mesh) restart() {
	for _, n := range m.nodes[:m.restartedUpstreams] {
		n.coldUntil = m.now.Add(coldTicks * tickLength)
	}
	m.updateUpstreams()
}

// updateAvailability takes away the upstreams that are gone at this tick, with what they
// run, and brings back those that are there.
func (m *mesh) updateAvailability() {
	changed := false
	for _, n := range m.nodes {
		if away := n.speeds[m.tick] == 0; away != n.down {
			n.down, changed = away, true
			m.dropRequests(n)
		}
	}
	if changed {
		m.updateUpstreams()
	}
}

// dropRequests gives up what an upstream runs and hands back what waits for it.
func (m *mesh) dropRequests(n *meshNode) {
	for _, j := range n.running {
		n.queue.Finish()
		m.attemptDone(j, n, nil)
		m.refused++
	}
	n.running = nil
	for _, id := range slices.Sorted(maps.Keys(n.waiting)) {
		n.queue.Remove(id)
		m.reject(n.waiting[id], false)
	}
	clear(n.waiting)
}

func (m *mesh) schedule(ticks int, f func()) {
	m.scheduled[m.tick+ticks] = append(m.scheduled[m.tick+ticks], f)
}

func (m *mesh) arrive() {
	j := &meshRequest{entry: m.nodes[m.rng.IntN(len(m.nodes))], arrivedAt: m.now, rejectedBy: map[string]bool{}}
	j.requestKind, j.remaining = m.drawRequest()
	m.sent++
	m.place(j)
}

// place sends a request to an upstream or turns it away.
func (m *mesh) place(j *meshRequest) {
	if m.now.Sub(j.arrivedAt) >= j.deadline {
		m.refused++
		return
	}
	if j.fullGuards >= placement.MaxFullGuards {
		m.refuse(j)
		return
	}
	if len(j.rejectedBy) == len(m.nodes) {
		clear(j.rejectedBy)
	}
	to, alternative, ticks, ok := m.choose(j)
	if !ok {
		m.refuse(j)
		return
	}
	j.guard = to
	if to.zone == j.entry.zone {
		ticks += localDelayTicks
	} else {
		ticks += remoteDelayTicks
	}
	m.schedule(ticks, func() { m.arriveAtGuard(j, alternative) })
}

func (m *mesh) choose(j *meshRequest) (to *meshNode, alternative time.Duration, ticks int, ok bool) {
	switch m.policy {
	case useRandom:
		return m.nodes[m.rng.IntN(len(m.nodes))], 0, 0, true
	case useLeastOutstanding, useLeastOutstandingWithoutGuards:
		to = m.nodes[m.rng.IntN(len(m.nodes))]
		for _, n := range m.nodes {
			if j.entry.outstanding[n] < j.entry.outstanding[to] {
				to = n
			}
		}
		j.entry.outstanding[to]++
		return to, 0, 0, true
	}
	ask := placement.Request{
		ServiceTime: m.expectedServiceTime(j), Target: j.target - m.now.Sub(j.arrivedAt),
		Exclude: func(u placement.Upstream) bool { return j.rejectedBy[u.Key] },
	}
	p := j.entry.placer
	m.queryLoads(p, ask, j.rank, true, placement.MaxLocalQueries)
	if !p.LocalMeetsTarget(m.now, ask) {
		m.queryLoads(p, ask, j.rank, false, placement.MaxRemoteQueries)
		ticks = remoteQueryTicks
	}
	c, ok := p.Choose(m.now, ask)
	if !ok {
		return nil, 0, 0, false
	}
	took := m.now.Sub(j.arrivedAt)
	if c.MissesDeadline(j.deadline-took) || c.MissesTarget(j.fullGuards, j.target-took) {
		p.Done(m.now, c.Upstream.Key, nil)
		return nil, 0, 0, false
	}
	if j.rejections < placement.MaxRejections {
		alternative = c.Alternative
	}
	return m.node(c.Upstream.Key), alternative, ticks, true
}

// expectedServiceTime returns how long such requests usually run, as far as entries know.
func (m *mesh) expectedServiceTime(j *meshRequest) time.Duration {
	if m.hideSlowdown {
		return meanNoisyServiceTime
	}
	return j.serviceTime
}

func (m *mesh) node(key string) *meshNode {
	for _, n := range m.nodes {
		if n.key == key {
			return n
		}
	}
	return nil
}

func (m *mesh) queryLoads(p *placement.Placer, ask placement.Request, rank int, near bool, most int) {
	for _, up := range p.QueryTargets(m.now, ask, near, placement.MaxLoadAge, most) {
		n := m.node(up.Key)
		l := m.load(n)
		l.Waiting = max(n.queue.Ahead(rank, 0)-l.Running, 0)
		p.UpdateLoad(m.now, up.Key, l)
	}
}

func (m *mesh) load(n *meshNode) placement.Load {
	if m.hideSlowdown {
		n.slowdownAt = m.now
	} else if m.now.Sub(n.slowdownAt) >= placement.MaxSlowdownAge {
		n.slowdown, n.slowdownAt = 1/n.speeds[m.tick], m.now
	}
	return placement.Load{
		Running: n.queue.Running(), Waiting: n.queue.Waiting(), Limit: n.queue.Limit(),
		Slowdown: n.slowdown, SlowdownAge: m.now.Sub(n.slowdownAt),
	}
}
