package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Upstream is a candidate.
type Upstream struct {
	// Key names the incarnation of the upstream.
	Key string
	// Daemon guards it.
	Daemon model.DaemonID
	Zone   model.AvailabilityZone
	Slots  int
	// ColdUntil is when it stops being slow after its start.
	ColdUntil model.Instant
	// Stopping tells that its daemon is about to stop. It serves while it can, but
	// is chosen only where no other can be.
	Stopping bool
}

// Options configure a Placer.
type Options struct {
	// Zone is the own availability zone.
	Zone model.AvailabilityZone
	// CrossZonePenalty is the price of crossing into another zone as the time that an
	// upstream there must be faster. Default: DefaultCrossing.
	CrossZonePenalty time.Duration
	// Rand draws from 0 to 1. Default: rand.Float64.
	Rand func() float64
}

const (
	// DefaultCrossZonePenalty is a few round trips between zones: below that a crossing
	// gains callers nothing.
	DefaultCrossZonePenalty = 40 * time.Millisecond
	// targetShare is the share of the target latency within which an upstream of the
	// own zone is good enough.
	targetShare = 0.85
	// jitter spreads the choices of entries that know the same.
	jitter = 0.1
	// unreachablePause is how long an upstream is passed over after it could not be
	// reached. Its daemon is usually back within a second or two.
	unreachablePause = 300 * time.Millisecond
	// queryJitter spreads whom entries ask that know the same.
	queryJitter = 0.5
	// rttSmoothing makes a way that has become longer known within a few hundred
	// questions, less than a second of a loaded entry.
	rttSmoothing = 64
	// othersWeight makes the mean load by others cover about 8 answers.
	othersWeight = 1.0 / 8
)

// Ask is what is to be placed.
type Ask struct {
	// Work is the time that the request usually runs where nothing slows it.
	Work time.Duration
	// Target is the latency that is aimed at. Zero means none.
	Target time.Duration
	// Exclude reports whether an upstream is out of the question.
	Exclude func(Upstream) bool
}

// Choice is a chosen upstream.
type Choice struct {
	Upstream Upstream
	// Expected is the time until the request ends there, Alternative until it
	// ends at the best of the others. Alternative is zero when there is none.
	Expected    time.Duration
	Alternative time.Duration
	// Age is how old the knowledge is that Expected rests on.
	Age time.Duration
}

// OutOfReach reports whether a request that some guards had no room for is better refused
// than sent where it was chosen to go: it would miss the target, of which so much time is
// left, and take room there from others that would not. Its caller does better to come
// back. Zero means that there is no target.
func (c *Choice) OutOfReach(fullGuards int, left time.Duration) bool {
	return fullGuards > 0 && left != 0 && c.Expected > left
}

// Unservable reports whether a request is known to end past its deadline, of which so much
// time is left, wherever it is sent. A guard with a free slot would run it all the same and
// keep its caller waiting.
func (c *Choice) Unservable(left time.Duration) bool {
	return c.Age < maxRefusalAge && c.Expected > left
}

// Placer chooses among the upstreams of one service. It is not safe for
// concurrent use.
type Placer struct {
	opts         Options
	views        map[string]*view
	order        []*view
	meanSlowdown float64
	// roundTrips are the times to the guards of each zone and back.
	roundTrips map[model.AvailabilityZone]time.Duration
}

// New returns a Placer without upstreams.
func New(opts Options) *Placer {
	if opts.CrossZonePenalty <= 0 {
		opts.CrossZonePenalty = DefaultCrossZonePenalty
	}
	if opts.Rand == nil {
		opts.Rand = rand.Float64
	}
	return &Placer{opts: opts, views: make(map[string]*view), meanSlowdown: initialSlowdown, roundTrips: make(map[model.AvailabilityZone]time.Duration)}
}

// Set replaces the candidates. What is known of those that stay is kept.
func (p *Placer) Set(ups []Upstream) {
	views := make(map[string]*view, len(ups))
	p.order = p.order[:0]
	for _, up := range ups {
		v := p.views[up.Key]
		if v == nil {
			v = &view{}
		}
		v.upstream = up
		views[up.Key] = v
		p.order = append(p.order, v)
	}
	p.views = views
}

// Len returns the number of candidates.
func (p *Placer) Len() int { return len(p.order) }

// Outstanding returns how many requests Choose has counted that Done has not ended.
func (p *Placer) Outstanding() int {
	n := 0
	for _, v := range p.order {
		n += v.inFlight
	}
	return n
}

// Mean returns the mean slowness of the service.
func (p *Placer) Mean() float64 { return p.meanSlowdown }

// ToAsk returns up to most upstreams, of the own zone or of the others, whose
// load is not known from within the last maxAge. Those are first that are expected
// to be fastest, but for one that is drawn.
func (p *Placer) ToAsk(now model.Instant, req Ask, local bool, maxAge time.Duration, n int) []Upstream {
	var stale []rated
	for _, v := range p.order {
		if (v.upstream.Zone == p.opts.Zone) != local || !preferredOnly.allows(v, now) {
			continue
		}
		if req.Exclude != nil && req.Exclude(v.upstream) || v.hasLoad && now.Sub(v.loadAt) < maxAge {
			continue
		}
		t := p.expected(now, req, v)
		stale = append(stale, rated{view: v, time: t, score: time.Duration(float64(t) * (1 + queryJitter*p.opts.Rand()))})
	}
	slices.SortFunc(stale, func(a, b rated) int { return cmp.Compare(a.score, b.score) })
	if len(stale) > n {
		drawn := n - 1 + int(p.opts.Rand()*float64(len(stale)-n+1))
		stale[n-1] = stale[min(drawn, len(stale)-1)]
		stale = stale[:n]
	}
	ups := make([]Upstream, len(stale))
	for i := range stale {
		ups[i] = stale[i].view.upstream
	}
	return ups
}

// Comfortable reports whether an upstream of the own zone is expected to answer
// well inside the target.
func (p *Placer) Comfortable(now model.Instant, req Ask) bool {
	_, _, bestLocal := p.rank(now, req, preferredOnly)
	if bestLocal.view == nil {
		return false
	}
	return req.Target <= 0 || bestLocal.time < time.Duration(targetShare*float64(req.Target))
}

// Learn takes in the load of an upstream.
func (p *Placer) Learn(now model.Instant, key string, load Load) {
	if v := p.views[key]; v != nil {
		p.learn(now, v, load)
	}
}

// Choose returns the upstream for a request and counts it as sent there; Done
// must follow. It reports false when every candidate is excluded.
func (p *Placer) Choose(now model.Instant, req Ask) (Choice, bool) {
	var best, second, bestLocal rated
	for e := preferredOnly; e <= includeUnreachable && best.view == nil; e++ {
		best, second, bestLocal = p.rank(now, req, e)
	}
	if best.view == nil {
		return Choice{}, false
	}
	pick, other := best, second
	if bestLocal.view != nil && bestLocal.view != best.view && req.Target > 0 && bestLocal.time < time.Duration(targetShare*float64(req.Target)) {
		pick, other = bestLocal, best
	}
	pick.view.inFlight++
	age := now.Sub(pick.view.loadAt)
	if !pick.view.hasLoad {
		age = math.MaxInt64
	}
	return Choice{Upstream: pick.view.upstream, Expected: pick.time, Alternative: other.time, Age: age}, true
}

// rated is a candidate with its expected time.
type rated struct {
	view  *view
	score time.Duration
	time  time.Duration
}

// reluctance orders the candidates that are taken only where there is no better one.
type eligibility uint8

const (
	// readily takes those that can be reached and are to stay.
	preferredOnly eligibility = iota
	// evenStopping takes those too whose daemons are about to stop: they serve until
	// they refuse.
	includeStopping
	// evenAvoided takes all, also those that could not be reached of late.
	includeUnreachable
)

// takes reports whether a candidate is taken.
func (r eligibility) allows(v *view, now model.Instant) bool {
	switch r {
	case preferredOnly:
		return v.unreachableUntil <= now && !v.upstream.Stopping
	case includeStopping:
		return v.unreachableUntil <= now
	default:
		return true
	}
}

// rank returns the best candidate, the second best, and the best of the own zone.
func (p *Placer) rank(now model.Instant, req Ask, r eligibility) (best, second, bestLocal rated) {
	for _, v := range p.order {
		if !r.allows(v, now) {
			continue
		}
		if req.Exclude != nil && req.Exclude(v.upstream) {
			continue
		}
		t := p.expected(now, req, v)
		r := rated{view: v, time: t, score: time.Duration(float64(t) * (1 + jitter*p.opts.Rand()))}
		local := v.upstream.Zone == p.opts.Zone
		if !local {
			r.score += p.opts.CrossZonePenalty
		}
		switch {
		case best.view == nil || r.score < best.score:
			best, second = r, best
		case second.view == nil || r.score < second.score:
			second = r
		}
		if local && (bestLocal.view == nil || r.score < bestLocal.score) {
			bestLocal = r
		}
	}
	return best, second, bestLocal
}

// expected returns the time until the request would end at an upstream, with the way
// there and back.
func (p *Placer) expected(now model.Instant, req Ask, v *view) time.Duration {
	return p.roundTrips[v.upstream.Zone] + Expected(req.Work, v.slowdown(now, p.meanSlowdown), v.expectedRequests(now), v.limit(), v.failureRate(now))
}

// Trip takes in how long a question to the guard of an upstream and its answer took.
// The shortest counts, as others waited for a processor somewhere.
func (p *Placer) Trip(key string, took time.Duration) {
	v := p.views[key]
	if v == nil {
		return
	}
	rtt, exists := p.roundTrips[v.upstream.Zone]
	if exists && took > rtt {
		took = rtt + (took-rtt)/rttSmoothing
	}
	p.roundTrips[v.upstream.Zone] = took
}

// Beyond returns the zones whose guards are known to answer only after a wait. Usually
// there is none, and the result is nil.
func (p *Placer) Beyond(rtt time.Duration) map[model.AvailabilityZone]bool {
	var far map[model.AvailabilityZone]bool
	for z, known := range p.roundTrips {
		if known <= rtt {
			continue
		}
		if far == nil {
			far = make(map[model.AvailabilityZone]bool)
		}
		far[z] = true
	}
	return far
}

// Done ends what Choose began. Load is nil where the guard told none.
func (p *Placer) Done(now model.Instant, key string, load *Load) {
	v := p.views[key]
	if v == nil {
		return
	}
	v.inFlight = max(v.inFlight-1, 0)
	if load == nil {
		return
	}
	p.learn(now, v, *load)
}

func (p *Placer) learn(now model.Instant, v *view, load Load) {
	v.load, v.loadAt, v.hasLoad, v.inFlightAtLoad = load, now, true, v.inFlight
	v.unreachableUntil = 0
	others := max(float64(load.Running+load.Waiting-v.inFlight), 0)
	v.meanOthers += (others - v.meanOthers) * othersWeight
	if load.Slow > 0 {
		p.meanSlowdown += (load.Slow - p.meanSlowdown) * meanSlowdownWeight
	}
}

// Unreachable passes an upstream over for a while, unless it is the last.
func (p *Placer) Unreachable(now model.Instant, key string) {
	if v := p.views[key]; v != nil {
		v.unreachableUntil = now.Add(unreachablePause)
	}
}
