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
	tick = time.Millisecond
	// noiseEvery is how long a neighbour stays or is away, noiseFactor how much
	// longer work takes beside one.
	noiseEvery  = 300
	noiseFactor = 4.0
	// kneeShare of the slots can be busy before all runs take kneeFactor times as
	// long.
	kneeShare  = 0.8
	kneeFactor = 1.7
	// coldTicks is how long an upstream is slow after its start, coldFactor how
	// much.
	coldTicks  = 3000
	coldFactor = 2.0
	// nearTicks and farTicks are the ways to a guard, farAskTicks the time to ask
	// guards of other zones.
	nearTicks        = 1
	farTicks         = 2
	farAskTicks      = 3
	meshWork         = 160 * time.Millisecond
	meshTarget       = 500 * time.Millisecond
	meshDeadline     = 1200 * time.Millisecond
	meshTicks        = 20_000
	meshZones        = 3
	upstreamsPerZone = 4
)

// pattern is a load and how the upstreams are disturbed.
type pattern struct {
	// rate is the requests a second to all entries.
	rate float64
	// slots of each upstream, and the share of time that it has a neighbour.
	slots int
	noise float64
	// restarted upstreams start anew after five seconds.
	restarted int
	// untold upstreams do not say how slow they are.
	untold bool
	// queue is how many requests wait at an upstream itself. One that comes when
	// all slots and the queue are taken has its connection reset.
	queue int
	// perZone is the number of upstreams of a zone. Default: upstreamsPerZone.
	perZone int
	// together callers come in one tick every togetherEvery, besides the rate.
	together int
	// returns is how often a refused caller comes back, at the time it was told, or
	// as told without the spread of the advice.
	returns  int
	unspread bool
	// recorded replaces the rate, the upstreams and the kinds of requests by those
	// of a day.
	recorded *recordedService
}

// policy chooses where a request goes. The zero value is the product's.
type policy uint8

const (
	byPlacement policy = iota
	byChance
	byFewest
	// fewestStraight sends to the upstream itself, without a guard.
	fewestStraight
)

type meshNode struct {
	key    string
	zone   model.AvailabilityZone
	speeds []float64
	placer *placement.Placer
	queue  *slots.Queue
	// slow is what the guard knows, from slowAt.
	slow      float64
	slowAt    model.Instant
	slots     int
	coldUntil model.Instant
	// away is set while the upstream is not there.
	away    bool
	mine    map[*meshNode]int
	runs    []*job
	waiting map[uint64]*job
}

type job struct {
	requestKind
	entry, at *meshNode
	began     model.Instant
	left      float64
	givenBack int
	full      int
	tried     map[string]bool
	// returned counts how often its caller has come back.
	returned int
}

type mesh struct {
	pattern
	policy policy
	rng    *rand.Rand
	kinds  []requestKind
	now    model.Instant
	ticks  int
	length int
	nodes  []*meshNode
	due    map[int][]func()
	nextID uint64
	sent   int
	inTime int
	late   int
	turned int
	resets int
}

func newMesh(p pattern, how policy, seed uint64) *mesh {
	m := &mesh{
		pattern: p, policy: how, rng: rand.New(rand.NewPCG(seed, 0)), due: map[int][]func(){},
		kinds: usualKinds(), length: meshTicks,
	}
	noise := rand.New(rand.NewPCG(seed, 1))
	if p.recorded != nil {
		m.kinds, m.length = p.recorded.kinds(), p.recorded.ticks()
		for _, u := range p.recorded.Upstreams {
			m.add(u.Zone, u.limit(speeds(noise, p.noise, m.length)))
		}
	} else {
		for z := range meshZones {
			for range cmp.Or(p.perZone, upstreamsPerZone) {
				m.add(model.AvailabilityZone(rune('a'+z)), speeds(noise, p.noise, m.length))
			}
		}
	}
	m.inform()
	return m
}

func (m *mesh) add(zone model.AvailabilityZone, speeds []float64) {
	n := &meshNode{
		key: fmt.Sprint(zone, len(m.nodes)), zone: zone, speeds: speeds,
		slots: m.slots, queue: slots.New(placement.DefaultLimit(m.slots)), slow: 1,
		mine: map[*meshNode]int{}, waiting: map[uint64]*job{},
	}
	n.placer = placement.New(placement.Options{Zone: zone, Rand: m.rng.Float64})
	m.nodes = append(m.nodes, n)
}

// inform tells all entries which upstreams there are.
func (m *mesh) inform() {
	for _, n := range m.nodes {
		n.placer.SetUpstreams(m.candidates())
	}
}

func (m *mesh) candidates() []placement.Upstream {
	var ups []placement.Upstream
	for _, n := range m.nodes {
		if n.away {
			continue
		}
		ups = append(ups, placement.Upstream{Key: n.key, Zone: n.zone, Slots: n.slots, ColdUntil: n.coldUntil})
	}
	return ups
}

// speeds draws how fast an upstream is at each tick, 1 being as usual.
func speeds(rng *rand.Rand, share float64, ticks int) []float64 {
	out := make([]float64, 2*ticks)
	phase, speed := rng.IntN(noiseEvery), 1.0
	for i := range out {
		if (i+phase)%noiseEvery == 0 {
			speed = 1
			if rng.Float64() < share {
				speed = 1 / noiseFactor
			}
		}
		out[i] = speed
	}
	return out
}

// play runs the pattern and returns the share of requests served within their target.
func (m *mesh) play() float64 {
	const restartAt = 5000
	for m.ticks = 0; m.ticks < m.length+int(meshDeadline/tick); m.ticks++ {
		m.now = model.Instant(0).Add(time.Duration(m.ticks) * tick)
		if m.ticks == restartAt {
			m.restart()
		}
		for _, f := range m.due[m.ticks] {
			f()
		}
		delete(m.due, m.ticks)
		m.comeAndGo()
		for _, n := range m.nodes {
			m.work(n)
		}
		if m.ticks >= m.length {
			continue
		}
		for range m.arrivals() {
			m.arrive()
		}
		if m.ticks%togetherEvery == togetherEvery/2 {
			for range m.together {
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
		rate = m.recorded.rateAt(m.ticks)
	}
	n, left := 0, math.Exp(-rate*tick.Seconds())
	for p := m.rng.Float64(); p > left; p *= m.rng.Float64() {
		n++
	}
	return n
}

func (m *mesh) restart() {
	for _, n := range m.nodes[:m.restarted] {
		n.coldUntil = m.now.Add(coldTicks * tick)
	}
	m.inform()
}

// comeAndGo takes away the upstreams that are gone at this tick, with what they
// run, and brings back those that are there.
func (m *mesh) comeAndGo() {
	changed := false
	for _, n := range m.nodes {
		if away := n.speeds[m.ticks] == 0; away != n.away {
			n.away, changed = away, true
			m.abandon(n)
		}
	}
	if changed {
		m.inform()
	}
}

// abandon gives up what an upstream runs and hands back what waits for it.
func (m *mesh) abandon(n *meshNode) {
	for _, j := range n.runs {
		n.queue.Finish()
		m.done(j, n, nil)
		m.turned++
	}
	n.runs = nil
	for _, id := range slices.Sorted(maps.Keys(n.waiting)) {
		n.queue.Remove(id)
		m.giveBack(n.waiting[id], false)
	}
	clear(n.waiting)
}

func (m *mesh) after(ticks int, f func()) { m.due[m.ticks+ticks] = append(m.due[m.ticks+ticks], f) }

func (m *mesh) arrive() {
	j := &job{entry: m.nodes[m.rng.IntN(len(m.nodes))], began: m.now, tried: map[string]bool{}}
	j.requestKind, j.left = m.draw()
	m.sent++
	m.place(j)
}

// place sends a request to an upstream or turns it away.
func (m *mesh) place(j *job) {
	if m.now.Sub(j.began) >= j.deadline {
		m.turned++
		return
	}
	if j.full >= placement.MaxFullGuards {
		m.refuse(j)
		return
	}
	if len(j.tried) == len(m.nodes) {
		clear(j.tried)
	}
	to, alternative, ticks, ok := m.choose(j)
	if !ok {
		m.refuse(j)
		return
	}
	j.at = to
	if to.zone == j.entry.zone {
		ticks += nearTicks
	} else {
		ticks += farTicks
	}
	m.after(ticks, func() { m.reach(j, alternative) })
}

func (m *mesh) choose(j *job) (to *meshNode, alternative time.Duration, ticks int, ok bool) {
	switch m.policy {
	case byChance:
		return m.nodes[m.rng.IntN(len(m.nodes))], 0, 0, true
	case byFewest, fewestStraight:
		to = m.nodes[m.rng.IntN(len(m.nodes))]
		for _, n := range m.nodes {
			if j.entry.mine[n] < j.entry.mine[to] {
				to = n
			}
		}
		j.entry.mine[to]++
		return to, 0, 0, true
	}
	ask := placement.Request{
		ServiceTime: m.usual(j), Target: j.target - m.now.Sub(j.began),
		Exclude: func(u placement.Upstream) bool { return j.tried[u.Key] },
	}
	p := j.entry.placer
	m.inquire(p, ask, j.rank, true, placement.MaxLocalQueries)
	if !p.LocalMeetsTarget(m.now, ask) {
		m.inquire(p, ask, j.rank, false, placement.MaxRemoteQueries)
		ticks = farAskTicks
	}
	c, ok := p.Choose(m.now, ask)
	if !ok {
		return nil, 0, 0, false
	}
	took := m.now.Sub(j.began)
	if c.MissesDeadline(j.deadline-took) || c.MissesTarget(j.full, j.target-took) {
		p.Done(m.now, c.Upstream.Key, nil)
		return nil, 0, 0, false
	}
	if j.givenBack < placement.MaxRejections {
		alternative = c.Alternative
	}
	return m.node(c.Upstream.Key), alternative, ticks, true
}

// usual returns how long such requests usually run, as far as entries know.
func (m *mesh) usual(j *job) time.Duration {
	if m.untold {
		return noisyRun
	}
	return j.work
}

func (m *mesh) node(key string) *meshNode {
	for _, n := range m.nodes {
		if n.key == key {
			return n
		}
	}
	return nil
}

func (m *mesh) inquire(p *placement.Placer, ask placement.Request, rank int, near bool, most int) {
	for _, up := range p.QueryTargets(m.now, ask, near, placement.MaxLoadAge, most) {
		n := m.node(up.Key)
		l := m.load(n)
		l.Waiting = max(n.queue.Ahead(rank, 0)-l.Running, 0)
		p.UpdateLoad(m.now, up.Key, l)
	}
}

func (m *mesh) load(n *meshNode) placement.Load {
	if m.untold {
		n.slowAt = m.now
	} else if m.now.Sub(n.slowAt) >= placement.MaxSlowdownAge {
		n.slow, n.slowAt = 1/n.speeds[m.ticks], m.now
	}
	return placement.Load{
		Running: n.queue.Running(), Waiting: n.queue.Waiting(), Limit: n.queue.Limit(),
		Slowdown: n.slow, SlowdownAge: m.now.Sub(n.slowAt),
	}
}
