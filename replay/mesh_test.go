package replay_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/core/slots"
	"github.com/dottereltiller/dottereltiller/core/startrate"
)

// The mesh simulates sidecar daemons, each on the VM of one upstream, in steps of one tick.
// Entries choose upstreams with core/placement. Guards limit concurrency with core/slots.
// Upstreams behave like recorded ones. Noisy neighbours, other load on the same host, change
// an upstream's speed several times a second. An upstream is also slow while most of its
// slots are busy, and for some time after a start.

const (
	tickLength            = time.Millisecond
	noisePeriodTicks      = 300                     // time between the ticks at which a noisy neighbour may start or stop
	noiseSlowdown         = 4.0                     // factor on service times while a noisy neighbour runs
	kneeUtilization       = 0.8                     // share of busy slots from which an upstream slows down
	kneeSlowdown          = 1.7                     // factor on service times at kneeUtilization and above
	coldTicks             = 3000                    // time after its start for which an upstream is slow
	coldSlowdown          = 2.0                     // factor on service times during coldTicks
	localDelayTicks       = 1                       // one-way delay to a guard in the entry's zone
	remoteDelayTicks      = 2                       // one-way delay to a guard in another zone
	remoteQueryTicks      = 3                       // round-trip time of load queries to other zones
	meshMedianServiceTime = 160 * time.Millisecond  // median at the usual speed
	meshTarget            = 500 * time.Millisecond  // time in which a request should be served
	meshDeadline          = 1200 * time.Millisecond // time after which a request is given up
	meshLengthTicks       = 20_000                  // time in which requests arrive
	meshZoneCount         = 3
	upstreamsPerZone      = 4
)

// workload describes the load on a mesh and the disturbances of its upstreams.
type workload struct {
	rate               float64 // requests a second over all entries
	slots              int     // slots of each upstream
	noiseShare         float64 // share of time that an upstream has a noisy neighbour
	restartedUpstreams int     // number of upstreams that restart after five seconds
	coldRate           float64 // requests a second that restarted upstreams tolerate. Default: no limit
	hideSlowdown       bool    // guards and entries cannot measure how slow upstreams are
	// upstreamQueue is the length of the queue in an upstream itself. When all slots
	// and this queue are full, the upstream resets the connection of a new request.
	upstreamQueue    int
	upstreamsInZone  int  // upstreams in each zone. Default: upstreamsPerZone
	burstSize        int  // additional requests in one tick every burstPeriodTicks
	maxCallerRetries int  // retries of a refused caller, each after the Retry-After value
	noJitter         bool // Retry-After values have no jitter
	zones            zoneDemand
	// recorded, if set, is a service of a recorded day. Its rates, upstreams and request
	// kinds are used instead of rate, upstreamsInZone and defaultKinds.
	recorded *recordedService
}

// routingPolicy selects how entries choose upstreams.
type routingPolicy uint8

const (
	usePlacement routingPolicy = iota // the production policy
	useRandom
	useLeastOutstanding
	useLeastOutstandingWithoutGuards // sends requests directly to the upstreams
)

// meshNode is a daemon, with an entry and a guard, and its upstream.
type meshNode struct {
	key                string
	zone               model.AvailabilityZone
	speeds             []float64 // by tick: 1 is the usual speed, 0 means that the upstream is down
	placer             *placement.Placer
	queue              *slots.Queue
	limiter            startrate.Limiter
	coldStarts         []model.Instant // starts of requests while the upstream was cold
	ratePerSecond      float64         // limit of the upstream's requests a second, 0 if it has none
	limitedStarts      []model.Instant // starts of requests while the upstream limited their rate
	slowdown           float64         // factor on service times, last measured by the guard
	slowdownMeasuredAt model.Instant   // when the guard measured slowdown
	slots              int
	coldUntil          model.Instant
	down               bool
	pastLoads          []placement.Load        // by tick, if loads are reported late
	outstandingByNode  map[*meshNode]int       // requests in flight from this entry to each node
	running            []*meshRequest          // in the upstream, including its own queue
	waitingByID        map[uint64]*meshRequest // in the guard's queue, by ID
}

// meshRequest is a request on its way through the mesh.
type meshRequest struct {
	requestKind
	entry, guard     *meshNode
	arrivedAt        model.Instant
	remainingSeconds float64 // service time left, in seconds at speed 1
	rejectionCount   int
	fullGuardCount   int             // rejections by guards whose queue was too long
	isRejectedByKey  map[string]bool // true for each node whose guard rejected the request
	retryCount       int             // number of retries of the caller so far
}

// mesh is the state of one simulation.
type mesh struct {
	workload
	policy          routingPolicy
	rng             *rand.Rand
	kinds           []requestKind
	now             model.Instant
	tick            int // ticks since the start
	lengthTicks     int // ticks in which requests arrive
	nodes           []*meshNode
	scheduledByTick map[int][]func() // functions to call, by tick
	lastRequestID   uint64
	onArrival       func(*meshRequest) // called for each request, if set
	onFinish        func(*meshRequest) // called for each request that is served, if set
	sentCount       int                // requests, without retries of callers
	inTimeCount     int                // requests served within their target
	lateCount       int                // requests served after their target
	refusalCount    int                // refusals, including those of callers' retries
	resetCount      int                // connections reset by upstreams
}

// newMesh returns a mesh before its first tick. Equal arguments give equal simulations.
func newMesh(w workload, policy routingPolicy, seed uint64) *mesh {
	m := &mesh{
		workload: w, policy: policy, rng: rand.New(rand.NewPCG(seed, 0)), scheduledByTick: map[int][]func(){},
		kinds: defaultKinds(), lengthTicks: meshLengthTicks,
	}
	noiseRNG := rand.New(rand.NewPCG(seed, 1))
	if w.recorded != nil {
		m.kinds, m.lengthTicks = w.recorded.kinds(), w.recorded.lengthTicks()
		for _, u := range w.recorded.Upstreams {
			m.addNode(u.Zone, u.applyDowntime(drawSpeeds(noiseRNG, w.noiseShare, m.lengthTicks)))
		}
	} else {
		for z := range meshZoneCount {
			for range cmp.Or(w.upstreamsInZone, upstreamsPerZone) {
				m.addNode(model.AvailabilityZone(rune('a'+z)), drawSpeeds(noiseRNG, w.noiseShare, m.lengthTicks))
			}
		}
	}
	m.updateUpstreams()
	return m
}

// addNode adds an upstream and its daemon. speeds holds the upstream's speed at each tick.
func (m *mesh) addNode(zone model.AvailabilityZone, speeds []float64) {
	n := &meshNode{
		key: fmt.Sprint(zone, len(m.nodes)), zone: zone, speeds: speeds,
		slots: m.slots, queue: slots.New(placement.DefaultLimit(m.slots)), slowdown: 1,
		outstandingByNode: map[*meshNode]int{}, waitingByID: map[uint64]*meshRequest{},
	}
	n.queue.SetStartLimiter(&n.limiter)
	n.placer = placement.New(placement.Options{Zone: zone, Rand: m.rng.Float64})
	m.nodes = append(m.nodes, n)
}

// updateUpstreams gives all entries the list of upstreams that are up.
func (m *mesh) updateUpstreams() {
	for _, n := range m.nodes {
		n.placer.SetUpstreams(m.candidates())
	}
}

// candidates returns the upstreams that are up, in the form that placers use.
func (m *mesh) candidates() []placement.Upstream {
	var ups []placement.Upstream
	for _, n := range m.nodes {
		if n.down {
			continue
		}
		ups = append(ups, placement.Upstream{Key: n.key, Zone: n.zone, Slots: n.slots, ColdUntil: n.coldUntil, StartRate: cmp.Or(n.ratePerSecond, m.coldRate)})
	}
	return ups
}

// drawSpeeds draws the speed of an upstream at each tick. The upstream has a noisy neighbour
// for noiseShare of the time, on average. Otherwise its speed is 1. The result covers twice
// the given ticks, as requests may complete after the last arrival.
func drawSpeeds(rng *rand.Rand, noiseShare float64, ticks int) []float64 {
	speeds := make([]float64, 2*ticks)
	phaseTicks, speed := rng.IntN(noisePeriodTicks), 1.0
	for i := range speeds {
		if (i+phaseTicks)%noisePeriodTicks == 0 {
			speed = 1
			if rng.Float64() < noiseShare {
				speed = 1 / noiseSlowdown
			}
		}
		speeds[i] = speed
	}
	return speeds
}

// simulate runs the workload and returns the share of requests served within their target.
func (m *mesh) simulate() float64 {
	const restartTick = 5000
	for m.tick = 0; m.tick < m.lengthTicks+int(meshDeadline/tickLength); m.tick++ {
		m.now = model.Instant(0).Add(time.Duration(m.tick) * tickLength)
		if m.tick == restartTick {
			m.restart()
		}
		for _, f := range m.scheduledByTick[m.tick] {
			f()
		}
		delete(m.scheduledByTick, m.tick)
		m.updateAvailability()
		m.applyZoneFaults()
		for _, n := range m.nodes {
			m.runUpstream(n)
		}
		if m.tick >= m.lengthTicks {
			continue
		}
		for range m.drawArrivalCount() {
			m.arrive()
		}
		if m.tick%burstPeriodTicks == burstPeriodTicks/2 {
			for range m.burstSize {
				m.arrive()
			}
		}
	}
	return float64(m.inTimeCount) / float64(m.sentCount)
}

// drawArrivalCount draws the number of requests in this tick from a Poisson distribution. It
// counts random factors until their product falls to threshold (Knuth's algorithm).
func (m *mesh) drawArrivalCount() int {
	rate := m.rate
	if m.recorded != nil {
		rate = m.recorded.rateAtTick(m.tick)
	}
	n, threshold := 0, math.Exp(-rate*tickLength.Seconds())
	for product := m.rng.Float64(); product > threshold; product *= m.rng.Float64() {
		n++
	}
	return n
}

// restart makes the first restartedUpstreams upstreams slow for coldTicks, as after a
// restart. Their requests are not dropped.
func (m *mesh) restart() {
	for _, n := range m.nodes[:m.restartedUpstreams] {
		n.coldUntil = m.now.Add(coldTicks * tickLength)
		n.becomeCold(m.now, m.coldRate)
	}
	m.updateUpstreams()
}

// schedule calls f after the given number of ticks.
func (m *mesh) schedule(ticks int, f func()) {
	m.scheduledByTick[m.tick+ticks] = append(m.scheduledByTick[m.tick+ticks], f)
}

// arrive creates a request at a random entry and places it.
func (m *mesh) arrive() {
	r := &meshRequest{entry: m.drawEntry(), arrivedAt: m.now, isRejectedByKey: map[string]bool{}}
	r.requestKind, r.remainingSeconds = m.drawRequest()
	m.sentCount++
	if m.onArrival != nil {
		m.onArrival(r)
	}
	m.place(r)
}

// place chooses a guard for a request and sends it there, or refuses the request.
func (m *mesh) place(r *meshRequest) {
	if m.now.Sub(r.arrivedAt) >= r.deadline {
		m.refusalCount++
		return
	}
	if r.fullGuardCount >= placement.MaxFullGuards {
		m.refuse(r)
		return
	}
	if len(r.isRejectedByKey) == len(m.nodes) {
		clear(r.isRejectedByKey)
	}
	chosen, alternative, ticks, ok := m.choose(r)
	if !ok {
		m.refuse(r)
		return
	}
	r.guard = chosen
	if chosen.zone == r.entry.zone {
		ticks += localDelayTicks
	} else {
		ticks += remoteDelayTicks
	}
	m.schedule(ticks, func() { m.arriveAtGuard(r, alternative) })
}

// choose chooses the node to send a request to. ticks is the time spent on load queries.
// ok is false if the request must be refused.
// alternative is the expected time to completion at the next best node, or 0 if there is
// none. After placement.MaxRejections rejections it is 0 as well. The guard then cannot
// reject the request because another node would be faster.
func (m *mesh) choose(r *meshRequest) (chosen *meshNode, alternative time.Duration, ticks int, ok bool) {
	switch m.policy {
	case useRandom:
		return m.nodes[m.rng.IntN(len(m.nodes))], 0, 0, true
	case useLeastOutstanding, useLeastOutstandingWithoutGuards:
		chosen = m.nodes[m.rng.IntN(len(m.nodes))]
		for _, n := range m.nodes {
			if r.entry.outstandingByNode[n] < r.entry.outstandingByNode[chosen] {
				chosen = n
			}
		}
		r.entry.outstandingByNode[chosen]++
		return chosen, 0, 0, true
	}
	req := placement.Request{
		ServiceTime: m.expectedServiceTime(r), Target: r.target - m.now.Sub(r.arrivedAt),
		Exclude: func(u placement.Upstream) bool { return r.isRejectedByKey[u.Key] },
	}
	p := r.entry.placer
	m.queryLoads(p, req, r.rank, true, placement.MaxLocalQueries)
	if !p.LocalMeetsTarget(m.now, req) {
		m.queryLoads(p, req, r.rank, false, placement.MaxRemoteQueries)
		ticks = remoteQueryTicks
	}
	c, ok := p.Choose(m.now, req)
	if !ok {
		return nil, 0, 0, false
	}
	elapsed := m.now.Sub(r.arrivedAt)
	if c.MissesDeadline(r.deadline-elapsed) || c.MissesTarget(r.fullGuardCount, r.target-elapsed) {
		p.Done(m.now, c.Upstream.Key, nil)
		return nil, 0, 0, false
	}
	if r.rejectionCount < placement.MaxRejections {
		alternative = c.Alternative
	}
	return m.nodeByKey(c.Upstream.Key), alternative, ticks, true
}

// expectedServiceTime returns the service time that daemons expect of a request. If
// hideSlowdown is set, this is a mean that includes the usual effect of noise.
func (m *mesh) expectedServiceTime(r *meshRequest) time.Duration {
	if m.hideSlowdown {
		return meanNoisyServiceTime
	}
	return r.serviceTime
}

func (m *mesh) nodeByKey(key string) *meshNode {
	for _, n := range m.nodes {
		if n.key == key {
			return n
		}
	}
	return nil
}

// queryLoads updates a placer with the current loads of up to limit upstreams. If local is
// set, the upstreams are in the placer's own zone, else in other zones.
func (m *mesh) queryLoads(p *placement.Placer, req placement.Request, rank int, local bool, limit int) {
	for _, up := range p.QueryTargets(m.now, req, local, placement.MaxLoadAge, limit) {
		n := m.nodeByKey(up.Key)
		l := m.reportedLoad(n)
		l.Waiting = max(n.queue.Ahead(slots.Position{Rank: rank})-l.Running, 0)
		l.StartDelay = n.queue.StartDelay(m.now, l.Waiting)
		p.UpdateLoad(m.now, up.Key, l)
	}
}

// load returns the load that a guard reports. If the guard's last measurement of its
// upstream's slowdown is too old, load first measures the slowdown again. If hideSlowdown
// is set, load never measures it. It then reports the initial slowdown, 1, with age 0.
func (m *mesh) load(n *meshNode) placement.Load {
	if m.hideSlowdown {
		n.slowdownMeasuredAt = m.now
	} else if m.now.Sub(n.slowdownMeasuredAt) >= placement.MaxSlowdownAge {
		n.slowdown, n.slowdownMeasuredAt = 1/n.speeds[m.tick], m.now
		n.limiter.Cold.Observe(m.now, m.now, n.coldUntil.Sub(m.now))
	}
	return placement.Load{
		Running: n.queue.Running(), Waiting: n.queue.Waiting(), Limit: n.queue.Limit(),
		Slowdown: n.slowdown, SlowdownAge: m.now.Sub(n.slowdownMeasuredAt),
		StartDelay: n.queue.StartDelay(m.now, n.queue.Waiting()),
	}
}
