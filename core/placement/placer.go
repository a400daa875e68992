package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/overflow"
)

// Upstream describes an upstream that a Placer can choose, also called a candidate.
type Upstream struct {
	// Key identifies the incarnation of the upstream.
	Key string
	// Daemon is the daemon whose guard is in front of the upstream.
	Daemon model.DaemonID
	Zone   model.AvailabilityZone
	// Slots is the announced number of slots.
	Slots int
	// ColdUntil is the expected end of the slow phase after the start of the upstream.
	ColdUntil model.Instant
	// StartRate is the number of requests per second that the upstream gets while its guard reports
	// a Load.StartDelay. Zero means unknown.
	StartRate float64
	// Stopping is set if the upstream's daemon is about to stop. The upstream still serves
	// requests, but is chosen only if all other upstreams are stopping, unreachable or excluded.
	Stopping bool
}

// Options configure a Placer.
type Options struct {
	// Zone is the availability zone of this entry.
	Zone model.AvailabilityZone
	// CrossZonePenalty is the time by which a request must be expected to complete sooner in
	// another zone than in the local zone for the other zone to be chosen. Default:
	// DefaultCrossZonePenalty.
	CrossZonePenalty time.Duration
	// Rand returns random numbers from 0 to below 1. Default: rand.Float64.
	Rand func() float64
}

const (
	// DefaultCrossZonePenalty is a few round trips between zones. Callers gain nothing from a
	// request to another zone that saves less time than the penalty.
	DefaultCrossZonePenalty = 40 * time.Millisecond
	// jitter is the largest random increase of an expected time, as a share of that time. It
	// spreads the requests of entries that know the same loads.
	jitter = 0.1
	// unreachablePause is how long an upstream is avoided after it could not be
	// reached. Its daemon is usually back within a second or two.
	unreachablePause = 300 * time.Millisecond
	// queryJitter replaces jitter where the targets of load queries are selected. It
	// spreads the load queries of entries that know the same loads.
	queryJitter = 0.5
	// rttSmoothing limits how fast the stored round-trip time rises: a longer measurement
	// raises the stored time by the difference divided by rttSmoothing. The stored time
	// follows a lasting increase within a few hundred load queries. A loaded entry sends
	// that many in less than a second.
	rttSmoothing = 64
	// otherRequestsWeight is the weight of one load in candidate.meanOtherRequests, which thus
	// covers about 8 loads.
	otherRequestsWeight = 1.0 / 8
)

// Request describes a request that needs an upstream.
type Request struct {
	// ServiceTime is the usual service time of the request.
	ServiceTime time.Duration
	// Target is the target latency. Zero means none.
	Target time.Duration
	// Exclude reports whether the given upstream must not be used. Nil excludes none.
	Exclude func(Upstream) bool
}

// Choice is the result of Placer.Choose.
type Choice struct {
	Upstream Upstream
	// Expected is the time until the request is expected to complete at Upstream.
	Expected time.Duration
	// Alternative is the time until the request is expected to complete at the best other
	// upstream. It is zero if there is no other usable upstream.
	Alternative time.Duration
	// LoadAge is the age of the load from which Expected was calculated. It is math.MaxInt64
	// if no load is known.
	LoadAge time.Duration
}

// MissesTarget reports whether a request should be refused rather than sent to the chosen
// upstream. Two conditions must hold: at least one guard has rejected the request for lack of
// capacity, and the chosen upstream is expected to miss the target. At the chosen upstream, the
// request would take a slot from requests that can still meet their targets. The caller of the
// refused request is better off retrying later. capacityRejections is the number of rejections for
// lack of capacity. left is the time until the target. It is zero if the request has no target, and
// negative if the target has already been missed.
func (c *Choice) MissesTarget(capacityRejections int, left time.Duration) bool {
	return capacityRejections > 0 && left != 0 && c.Expected > left
}

// MissesDeadline reports whether a request should be refused because it is expected to miss its
// deadline on every upstream. Two conditions must hold: the request would miss its deadline on
// the chosen upstream, and the load of that upstream is recent (see maxRefusalAge). A guard
// with a free slot would accept the request although it cannot complete in time. left is the
// time until the deadline.
func (c *Choice) MissesDeadline(left time.Duration) bool {
	return c.LoadAge < maxRefusalAge && c.Expected > left
}

// Placer chooses among the upstreams of one service. It is not safe for concurrent use.
type Placer struct {
	opts Options
	// candidatesByKey holds the candidates by Upstream.Key.
	candidatesByKey map[string]*candidate
	// candidates holds the same candidates in the order in which they were passed to
	// SetUpstreams.
	candidates   []*candidate
	meanSlowdown float64
	// rttByZone holds the round-trip time to the guards of each zone.
	rttByZone map[model.AvailabilityZone]time.Duration
}

// New returns a Placer without upstreams.
func New(opts Options) *Placer {
	if opts.CrossZonePenalty <= 0 {
		opts.CrossZonePenalty = DefaultCrossZonePenalty
	}
	if opts.Rand == nil {
		opts.Rand = rand.Float64
	}
	return &Placer{opts: opts, candidatesByKey: make(map[string]*candidate), meanSlowdown: initialSlowdown, rttByZone: make(map[model.AvailabilityZone]time.Duration)}
}

// SetUpstreams replaces the candidates. The Placer keeps what it knows about an upstream whose
// Key was already among the candidates.
func (p *Placer) SetUpstreams(ups []Upstream) {
	candidatesByKey := make(map[string]*candidate, len(ups))
	p.candidates = p.candidates[:0]
	for _, up := range ups {
		c := p.candidatesByKey[up.Key]
		if c == nil {
			c = &candidate{}
		}
		c.upstream = up
		candidatesByKey[up.Key] = c
		p.candidates = append(p.candidates, c)
	}
	p.candidatesByKey = candidatesByKey
}

// Len returns the number of candidates.
func (p *Placer) Len() int { return len(p.candidates) }

// Outstanding returns the number of requests that Choose has placed and for which Done
// has not been called yet.
func (p *Placer) Outstanding() int {
	n := 0
	for _, c := range p.candidates {
		n += c.inFlight
	}
	return n
}

// MeanSlowdown returns the mean slowdown of the service.
func (p *Placer) MeanSlowdown() float64 { return p.meanSlowdown }

// QueryTargets returns up to n upstreams to which to send a load query. If inLocalZone is set,
// they are upstreams of the local zone, otherwise of other zones. Upstreams whose load is
// younger than maxAge are left out, and so are unreachable and excluded ones. Stopping ones are left
// out unless there are no others. If more
// than n remain, the result holds the n-1 with the shortest expected times (increased at
// random, see queryJitter) and one that is drawn at random from the others.
func (p *Placer) QueryTargets(now model.Instant, req Request, inLocalZone bool, maxAge time.Duration, n int) []Upstream {
	var stale []scoredCandidate
	allowed := p.queryEligibility(now, req)
	for _, c := range p.candidates {
		if (c.upstream.Zone == p.opts.Zone) != inLocalZone || !allowed.allows(c, now) {
			continue
		}
		if req.Exclude != nil && req.Exclude(c.upstream) || c.hasLoad && now.Sub(c.loadReceivedAt) < maxAge {
			continue
		}
		t := p.expected(now, req, c)
		stale = append(stale, scoredCandidate{candidate: c, expected: t, score: time.Duration(float64(t) * (1 + queryJitter*p.opts.Rand()))})
	}
	slices.SortFunc(stale, func(a, b scoredCandidate) int { return cmp.Compare(a.score, b.score) })
	if len(stale) > n {
		randomIndex := n - 1 + int(p.opts.Rand()*float64(len(stale)-n+1))
		stale[n-1] = stale[min(randomIndex, len(stale)-1)]
		stale = stale[:n]
	}
	ups := make([]Upstream, len(stale))
	for i := range stale {
		ups[i] = stale[i].candidate.upstream
	}
	return ups
}

// LocalMeetsTarget reports whether an upstream of the local zone is expected to respond well within the
// target latency, with hardly any wait (see package overflow). For a request without a target, it reports
// whether the local zone has a usable upstream.
func (p *Placer) LocalMeetsTarget(now model.Instant, req Request) bool {
	_, _, bestLocal := p.findBest(now, req, preferredOnly)
	if bestLocal.candidate == nil {
		return false
	}
	return req.Target <= 0 || p.staysLocal(now, req, bestLocal)
}

// UpdateLoad records the load of the upstream with the given key. It does nothing if the
// upstream is not a candidate.
func (p *Placer) UpdateLoad(now model.Instant, key string, load Load) {
	if c := p.candidatesByKey[key]; c != nil {
		p.updateLoad(now, c, load)
	}
}

// Choose returns the upstream for a request and counts the request as sent. Every call that
// returns true must be followed by one call of Done. Choose returns false if there is no
// candidate or Request.Exclude excludes all of them.
func (p *Placer) Choose(now model.Instant, req Request) (Choice, bool) {
	var best, second, bestLocal scoredCandidate
	for e := preferredOnly; e <= includeUnreachable && best.candidate == nil; e++ {
		best, second, bestLocal = p.findBest(now, req, e)
	}
	if best.candidate == nil {
		return Choice{}, false
	}
	chosen, alternative := best, second
	if bestLocal.candidate != nil && bestLocal.candidate != best.candidate && req.Target > 0 && p.staysLocal(now, req, bestLocal) {
		chosen, alternative = bestLocal, best
	}
	chosen.candidate.inFlight++
	loadAge := now.Sub(chosen.candidate.loadReceivedAt)
	if !chosen.candidate.hasLoad {
		loadAge = math.MaxInt64
	}
	return Choice{Upstream: chosen.candidate.upstream, Expected: chosen.expected, Alternative: alternative.expected, LoadAge: loadAge}, true
}

// scoredCandidate is a candidate for a request, with its score.
type scoredCandidate struct {
	candidate *candidate
	// score is the value by which candidates are compared; lower is better. It is the
	// expected time with jitter and, in findBest, the cross-zone penalty.
	score time.Duration
	// expected is the expected time until the request completes.
	expected time.Duration
}

// staysLocal reports whether a request stays in the local zone, given the best upstream there.
func (p *Placer) staysLocal(now model.Instant, req Request, local scoredCandidate) bool {
	return overflow.Local{Expected: local.expected, Wait: p.wait(now, req, local.candidate)}.Stays(req.Target, p.opts.CrossZonePenalty)
}

// findBest returns the best candidate, the second best, and the best candidate of the
// local zone. The candidate field of a result is nil if there is no such candidate.
func (p *Placer) findBest(now model.Instant, req Request, e eligibility) (best, second, bestLocal scoredCandidate) {
	for _, c := range p.candidates {
		if !e.allows(c, now) {
			continue
		}
		if req.Exclude != nil && req.Exclude(c.upstream) {
			continue
		}
		t := p.expected(now, req, c)
		scored := scoredCandidate{candidate: c, expected: t, score: time.Duration(float64(t) * (1 + jitter*p.opts.Rand()))}
		local := c.upstream.Zone == p.opts.Zone
		if !local {
			scored.score += p.opts.CrossZonePenalty
		}
		switch {
		case best.candidate == nil || scored.score < best.score:
			best, second = scored, best
		case second.candidate == nil || scored.score < second.score:
			second = scored
		}
		if local && (bestLocal.candidate == nil || scored.score < bestLocal.score) {
			bestLocal = scored
		}
	}
	return best, second, bestLocal
}

// expected returns the expected time until the request completes at the candidate, including
// the round trip to its zone.
func (p *Placer) expected(now model.Instant, req Request, c *candidate) time.Duration {
	return p.rttByZone[c.upstream.Zone] + ExpectedTime(req.ServiceTime, c.slowdown(now, p.meanSlowdown), c.expectedRequests(now), c.limit(), c.startDelay(now), c.failureRate(now))
}

// wait returns the part of the expected time that the request waits at the guard of the candidate.
func (p *Placer) wait(now model.Instant, req Request, c *candidate) time.Duration {
	slowdown, failureRate := c.slowdown(now, p.meanSlowdown), c.failureRate(now)
	all := ExpectedTime(req.ServiceTime, slowdown, c.expectedRequests(now), c.limit(), c.startDelay(now), failureRate)
	return all - ExpectedTime(req.ServiceTime, slowdown, 0, c.limit(), 0, failureRate)
}

// ObserveRTT records rtt, the round-trip time of a load query to the guard of the upstream with
// the given key. If rtt is longer than the time stored for the upstream's zone, the stored time
// rises only a little, because rtt may include a wait for a CPU. ObserveRTT does nothing if the
// upstream is not a candidate.
func (p *Placer) ObserveRTT(key string, rtt time.Duration) {
	c := p.candidatesByKey[key]
	if c == nil {
		return
	}
	storedRTT, known := p.rttByZone[c.upstream.Zone]
	if known && rtt > storedRTT {
		rtt = storedRTT + (rtt-storedRTT)/rttSmoothing
	}
	p.rttByZone[c.upstream.Zone] = rtt
}

// ZonesBeyondRTT returns the set of zones whose round-trip time is longer than rtt. It returns
// nil if there are none, which is the usual case.
func (p *Placer) ZonesBeyondRTT(rtt time.Duration) map[model.AvailabilityZone]bool {
	var beyond map[model.AvailabilityZone]bool
	for z, zoneRTT := range p.rttByZone {
		if zoneRTT <= rtt {
			continue
		}
		if beyond == nil {
			beyond = make(map[model.AvailabilityZone]bool)
		}
		beyond[z] = true
	}
	return beyond
}

// Done records the end of a request that Choose has placed at the upstream with the given key.
// load is nil if the guard reported none. Done does nothing if the upstream is no longer a
// candidate.
func (p *Placer) Done(now model.Instant, key string, load *Load) {
	c := p.candidatesByKey[key]
	if c == nil {
		return
	}
	c.inFlight = max(c.inFlight-1, 0)
	if load == nil {
		return
	}
	p.updateLoad(now, c, *load)
}

// updateLoad records the load of an upstream. It also ends the pause that MarkUnreachable
// began, since an upstream whose guard reports a load is reachable.
func (p *Placer) updateLoad(now model.Instant, c *candidate, load Load) {
	c.load, c.loadReceivedAt, c.hasLoad, c.inFlightAtLoad = load, now, true, c.inFlight
	c.unreachableUntil = 0
	otherRequests := max(float64(load.Running+load.Waiting-c.inFlight), 0)
	c.meanOtherRequests += (otherRequests - c.meanOtherRequests) * otherRequestsWeight
	if load.Slowdown > 0 {
		p.meanSlowdown += (load.Slowdown - p.meanSlowdown) * meanSlowdownWeight
	}
}

// MarkUnreachable records that the upstream with the given key could not be reached. During
// the following unreachablePause, the upstream is chosen only if there is no reachable candidate
// to choose.
func (p *Placer) MarkUnreachable(now model.Instant, key string) {
	if c := p.candidatesByKey[key]; c != nil {
		c.unreachableUntil = now.Add(unreachablePause)
	}
}
