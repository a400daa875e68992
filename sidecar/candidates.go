package sidecar

import (
	"slices"
	"strings"
	"sync"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/placement"
)

// candidates returns the ready upstreams of a service, sorted by key, and a map from their keys
// to their endpoints. The local upstream is included. Upstreams of unreachable daemons and of
// evacuated zones are left out, and so are those that have stated in a forwarded response that they are
// leaving. coldRate is the number of requests per second that a cold upstream of the
// service tolerates.
func (p *peers) candidates(service model.ServiceName, coldRate float64) ([]placement.Upstream, map[string]endpoint) {
	evacuated := p.evacuations.current()
	p.mu.Lock()
	defer p.mu.Unlock()
	var upstreams []placement.Upstream
	endpoints := make(map[string]endpoint)
	add := func(r *Record, coldUntil model.Instant, limit RateLimit) {
		if r.Service != service || r.State != lifecycle.Ready || evacuated.Includes(r.Zone) {
			return
		}
		up := placement.Upstream{
			Key: upstreamKey(r.Address, r.Upstream.ID), Daemon: model.DaemonID(r.Address),
			Zone: r.Zone, Slots: r.Slots, ColdUntil: coldUntil, StartRate: limit.startRate(coldRate), Stopping: r.Stopping,
		}
		upstreams = append(upstreams, up)
		endpoints[up.Key] = endpoint{address: r.Address, daemonIncarnation: r.Incarnation, upstream: r.Upstream, limit: limit}
	}
	add(&p.local, 0, RateLimit{})
	for _, other := range p.others {
		if !other.unreachable && !other.forwarded.isLeaving(other.record.Upstream) {
			add(&other.record, other.coldUntil, other.forwarded.limitOf(other.record.Upstream))
		}
	}
	slices.SortFunc(upstreams, func(a, b placement.Upstream) int { return strings.Compare(a.Key, b.Key) })
	return upstreams, endpoints
}

// isEvacuated reports whether a service has no ready upstream but in evacuated zones, and has one
// there.
func (p *peers) isEvacuated(service model.ServiceName) bool {
	evacuated := p.evacuations.current()
	p.mu.Lock()
	defer p.mu.Unlock()
	found := false
	records := []*Record{&p.local}
	for _, other := range p.others {
		records = append(records, &other.record)
	}
	for _, r := range records {
		if r.Service != service || r.State != lifecycle.Ready {
			continue
		}
		if !evacuated.Includes(r.Zone) {
			return false
		}
		found = true
	}
	return found
}

// currentGeneration returns a counter that changes whenever the result of candidates may
// have changed.
func (p *peers) currentGeneration() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.generation
}

func (p *peers) updateCandidates() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
}

// upstreamKey returns the key of an upstream among the candidates. address is the address of its
// daemon.
func upstreamKey(address string, id model.UpstreamID) string { return address + " " + string(id) }

// endpoint identifies the daemon and the upstream to which calls to a candidate are sent.
type endpoint struct {
	address           string
	daemonIncarnation int64
	upstream          lifecycle.Incarnation
	// limit is what the upstream has stated in responses that this daemon has forwarded.
	limit RateLimit
}

// serviceState is the state that the entry keeps for one service. mu protects all fields.
type serviceState struct {
	mu     sync.Mutex
	placer *placement.Placer
	// endpoints holds the endpoint of each candidate, by upstream key.
	endpoints map[string]endpoint
	// responded holds the keys of the candidates whose guards have replied to a load query.
	responded map[string]bool
	// candidatesGeneration is peers.currentGeneration at the last update of the candidates.
	candidatesGeneration uint64
	candidatesLoaded     bool
	retryLimiter         *retryLimiter
	// callsPerRun is the average number of requests to other services that an upstream of
	// this service sends while it serves one request, as last reported by a guard.
	callsPerRun float64
}

// serviceStateOf returns the state of a service, and creates it if necessary.
func (e *entry) serviceStateOf(name model.ServiceName) *serviceState {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[name]
	if s == nil {
		s = &serviceState{
			placer:       placement.New(placement.Options{Zone: e.daemon.opts.Zone}),
			responded:    make(map[string]bool),
			retryLimiter: newRetryLimiter(e.daemon.tunables.Load().Retries),
		}
		e.services[name] = s
	}
	return s
}

func (e *entry) setRetryBudget(b RetryBudget) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.services {
		s.retryLimiter.setBudget(b)
	}
}

// retriesLeft returns the smallest number of retries that the retry budget of any service still
// allows. It returns 0 if no request has been sent to any service.
func (e *entry) retriesLeft() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	left, found := 0.0, false
	for _, s := range e.services {
		if n := s.retryLimiter.remaining(e.daemon.now()); !found || n < left {
			left, found = n, true
		}
	}
	return left
}

// refreshCandidates updates the candidates of a service if the records or the reachability of
// daemons have changed since the last update. It then removes the keys of former candidates from
// s.responded. s.mu is held.
func (e *entry) refreshCandidates(s *serviceState, name model.ServiceName) {
	generation := e.daemon.peers.currentGeneration()
	if s.candidatesLoaded && generation == s.candidatesGeneration {
		return
	}
	upstreams, endpoints := e.daemon.peers.candidates(name, e.daemon.config.coldRate(name))
	s.placer.SetUpstreams(upstreams)
	s.endpoints, s.candidatesGeneration, s.candidatesLoaded = endpoints, generation, true
	for key := range s.responded {
		if _, ok := endpoints[key]; !ok {
			delete(s.responded, key)
		}
	}
}
