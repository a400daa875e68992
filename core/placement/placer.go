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
	// Crossing is the price of crossing into another zone as the time that an
	// upstream there must be faster. Default: DefaultCrossing.
	Crossing time.Duration
	// Rand draws from 0 to 1. Default: rand.Float64.
	Rand func() float64
}

const (
	// DefaultCrossing is a few round trips between zones: below that a crossing
	// gains callers nothing.
	DefaultCrossing = 40 * time.Millisecond
	// comfort is the share of the target latency within which an upstream of the
	// own zone is good enough.
	comfort = 0.85
	// jitter spreads the choices of entries that know the same.
	jitter = 0.1
	// avoidance is how long an upstream is passed over after it could not be
	// reached. Its daemon is usually back within a second or two.
	avoidance = 300 * time.Millisecond
	// askJitter spreads whom entries ask that know the same.
	askJitter = 0.5
	// tripForgets makes a way that has become longer known within a few hundred
	// questions, less than a second of a loaded entry.
	tripForgets = 64
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
func (c *Choice) OutOfReach(full int, target time.Duration) bool {
	return full > 0 && target != 0 && c.Expected > target
}

// Unservable reports whether a request is known to end past its deadline, of which so much
// time is left, wherever it is sent. A guard with a free slot would run it all the same and
// keep its caller waiting.
func (c *Choice) Unservable(left time.Duration) bool {
	return c.Age < surelyFull && c.Expected > left
}

// Placer chooses among the upstreams of one service. It is not safe for
// concurrent use.
type Placer struct {
	opts  Options
	views map[string]*view
	order []*view
	mean  float64
	// trips are the times to the guards of each zone and back.
	trips map[model.AvailabilityZone]time.Duration
}

// New returns a Placer without upstreams.
func New(opts Options) *Placer {
	if opts.Crossing <= 0 {
		opts.Crossing = DefaultCrossing
	}
	if opts.Rand == nil {
		opts.Rand = rand.Float64
	}
	return &Placer{opts: opts, views: make(map[string]*view), mean: usualSlow, trips: make(map[model.AvailabilityZone]time.Duration)}
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
		v.up = up
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
		n += v.mine
	}
	return n
}

// Mean returns the mean slowness of the service.
func (p *Placer) Mean() float64 { return p.mean }

// ToAsk returns up to most upstreams, of the own zone or of the others, whose
// load is not known from within the last maxAge. Those are first that are expected
// to be fastest, but for one that is drawn.
func (p *Placer) ToAsk(now model.Instant, ask Ask, near bool, maxAge time.Duration, most int) []Upstream {
	var stale []rated
	for _, v := range p.order {
		if (v.up.Zone == p.opts.Zone) != near || !readily.takes(v, now) {
			continue
		}
		if ask.Exclude != nil && ask.Exclude(v.up) || v.known && now.Sub(v.loadAt) < maxAge {
			continue
		}
		t := p.expected(now, ask, v)
		stale = append(stale, rated{view: v, time: t, score: time.Duration(float64(t) * (1 + askJitter*p.opts.Rand()))})
	}
	slices.SortFunc(stale, func(a, b rated) int { return cmp.Compare(a.score, b.score) })
	if len(stale) > most {
		drawn := most - 1 + int(p.opts.Rand()*float64(len(stale)-most+1))
		stale[most-1] = stale[min(drawn, len(stale)-1)]
		stale = stale[:most]
	}
	ups := make([]Upstream, len(stale))
	for i := range stale {
		ups[i] = stale[i].view.up
	}
	return ups
}

// Comfortable reports whether an upstream of the own zone is expected to answer
// well inside the target.
func (p *Placer) Comfortable(now model.Instant, ask Ask) bool {
	_, _, near := p.rank(now, ask, readily)
	if near.view == nil {
		return false
	}
	return ask.Target <= 0 || near.time < time.Duration(comfort*float64(ask.Target))
}

// Learn takes in the load of an upstream.
func (p *Placer) Learn(now model.Instant, key string, load Load) {
	if v := p.views[key]; v != nil {
		p.learn(now, v, load)
	}
}

// Choose returns the upstream for a request and counts it as sent there; Done
// must follow. It reports false when every candidate is excluded.
func (p *Placer) Choose(now model.Instant, ask Ask) (Choice, bool) {
	var best, second, near rated
	for r := readily; r <= evenAvoided && best.view == nil; r++ {
		best, second, near = p.rank(now, ask, r)
	}
	if best.view == nil {
		return Choice{}, false
	}
	pick, other := best, second
	if near.view != nil && near.view != best.view && ask.Target > 0 && near.time < time.Duration(comfort*float64(ask.Target)) {
		pick, other = near, best
	}
	pick.view.mine++
	age := now.Sub(pick.view.loadAt)
	if !pick.view.known {
		age = math.MaxInt64
	}
	return Choice{Upstream: pick.view.up, Expected: pick.time, Alternative: other.time, Age: age}, true
}

// rated is a candidate with its expected time.
type rated struct {
	view  *view
	score time.Duration
	time  time.Duration
}

// reluctance orders the candidates that are taken only where there is no better one.
type reluctance uint8

const (
	// readily takes those that can be reached and are to stay.
	readily reluctance = iota
	// evenStopping takes those too whose daemons are about to stop: they serve until
	// they refuse.
	evenStopping
	// evenAvoided takes all, also those that could not be reached of late.
	evenAvoided
)

// takes reports whether a candidate is taken.
func (r reluctance) takes(v *view, now model.Instant) bool {
	switch r {
	case readily:
		return v.avoidUntil <= now && !v.up.Stopping
	case evenStopping:
		return v.avoidUntil <= now
	default:
		return true
	}
}

// rank returns the best candidate, the second best, and the best of the own zone.
func (p *Placer) rank(now model.Instant, ask Ask, r reluctance) (best, second, near rated) {
	for _, v := range p.order {
		if !r.takes(v, now) {
			continue
		}
		if ask.Exclude != nil && ask.Exclude(v.up) {
			continue
		}
		t := p.expected(now, ask, v)
		r := rated{view: v, time: t, score: time.Duration(float64(t) * (1 + jitter*p.opts.Rand()))}
		local := v.up.Zone == p.opts.Zone
		if !local {
			r.score += p.opts.Crossing
		}
		switch {
		case best.view == nil || r.score < best.score:
			best, second = r, best
		case second.view == nil || r.score < second.score:
			second = r
		}
		if local && (near.view == nil || r.score < near.score) {
			near = r
		}
	}
	return best, second, near
}

// expected returns the time until the request would end at an upstream, with the way
// there and back.
func (p *Placer) expected(now model.Instant, ask Ask, v *view) time.Duration {
	return p.trips[v.up.Zone] + Expected(ask.Work, v.slow(now, p.mean), v.ahead(now), v.limit(), v.failing(now))
}

// Trip takes in how long a question to the guard of an upstream and its answer took.
// The shortest counts, as others waited for a processor somewhere.
func (p *Placer) Trip(key string, took time.Duration) {
	v := p.views[key]
	if v == nil {
		return
	}
	trip, known := p.trips[v.up.Zone]
	if known && took > trip {
		took = trip + (took-trip)/tripForgets
	}
	p.trips[v.up.Zone] = took
}

// Beyond returns the zones whose guards are known to answer only after a wait. Usually
// there is none, and the result is nil.
func (p *Placer) Beyond(wait time.Duration) map[model.AvailabilityZone]bool {
	var far map[model.AvailabilityZone]bool
	for z, trip := range p.trips {
		if trip <= wait {
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
	v.mine = max(v.mine-1, 0)
	if load == nil {
		return
	}
	p.learn(now, v, *load)
}

func (p *Placer) learn(now model.Instant, v *view, load Load) {
	v.load, v.loadAt, v.known, v.mineThen = load, now, true, v.mine
	v.avoidUntil = 0
	others := max(float64(load.Running+load.Waiting-v.mine), 0)
	v.others += (others - v.others) * othersWeight
	if load.Slow > 0 {
		p.mean += (load.Slow - p.mean) * meanWeight
	}
}

// Unreachable passes an upstream over for a while, unless it is the last.
func (p *Placer) Unreachable(now model.Instant, key string) {
	if v := p.views[key]; v != nil {
		v.avoidUntil = now.Add(avoidance)
	}
}
