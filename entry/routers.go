package entry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/routing"
)

// View is the part of the membership view that Routers needs.
type View interface {
	// Upstreams returns the upstreams of a service and the generation of the view
	// that they come from.
	Upstreams(model.ServiceName) ([]model.Upstream, uint64)
	// Generation returns a number that changes whenever any upstream changes.
	Generation() uint64
}

// Routers holds a routing.Router for each service that the entry has received
// requests for. It is safe for concurrent use.
type Routers struct {
	view View
	now  func() model.Instant
	opts routing.Options
	// policyOf returns the name of a service's routing policy; see
	// SetPolicySource.
	policyOf func(model.ServiceName) string
	scope    tally.Scope

	mu      sync.Mutex
	routers map[model.ServiceName]*serviceRouter
}

// serviceRouter is the router of one service.
type serviceRouter struct {
	mu     sync.Mutex
	router *routing.Router
	// policy is the name of the routing policy. It is empty for the policy of
	// Routers.opts.
	policy string
	// generation is the generation of the view that the router's upstreams come
	// from. It is valid when upstreamsLoaded is set.
	generation uint64
	// upstreamsLoaded reports whether the router has been given its upstreams.
	upstreamsLoaded bool
	counters        *routingCounters
}

// NewRouters returns Routers that choose among the upstreams of a membership view.
// opts.Policy is the routing policy of services that set none.
func NewRouters(view View, now func() model.Instant, opts routing.Options) *Routers {
	return &Routers{
		view:     view,
		now:      now,
		opts:     opts,
		policyOf: func(model.ServiceName) string { return "" },
		scope:    tally.NoopScope,
		routers:  make(map[model.ServiceName]*serviceRouter),
	}
}

// SetPolicySource sets the function that returns the name of a service's routing
// policy. An empty name means the policy that was given to NewRouters. SetPolicySource
// must be called before the first request.
func (r *Routers) SetPolicySource(policyOf func(model.ServiceName) string) { r.policyOf = policyOf }

// SetMetricsScope sets the scope of the routing metrics. It must be called before
// the first request.
func (r *Routers) SetMetricsScope(scope tally.Scope) { r.scope = scope }

// Place chooses the upstream for a request. The upstreams in exclude are not chosen.
// rejections is how many times guards have rejected the request so far. See
// routing.Router.Place.
func (r *Routers) Place(req model.Request, exclude []model.UpstreamID, rejections int) (routing.Choice, bool) {
	s := r.routerFor(req.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.refresh(s, req.Service)
	return s.router.Place(r.now(), req, exclude, rejections)
}

// HedgeDelay returns how long to wait for a response before the request is hedged,
// that is sent to a second upstream too. It reports false when the request may not be
// hedged. See routing.Router.HedgeDelay.
func (r *Routers) HedgeDelay(req model.Request) (time.Duration, bool) {
	s := r.routerFor(req.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.HedgeDelay(req)
}

// Hedge chooses a second upstream for a request that was sent to the first at
// the given instant. See routing.Router.Hedge.
func (r *Routers) Hedge(first model.Upstream, sentAt model.Instant, exclude []model.UpstreamID) (routing.Choice, bool) {
	s := r.routerFor(first.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.Hedge(r.now(), first.ID, sentAt, exclude)
}

// Done reports the result of an attempt to the router of the upstream's service, and
// updates the routing metrics.
func (r *Routers) Done(upstream model.Upstream, reply routing.Reply) {
	s := r.routerFor(upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.Done(r.now(), upstream.ID, reply)
	s.counters.update(s.router.Stats())
}

// routerFor returns the router of a service, and creates it if there is none.
func (r *Routers) routerFor(name model.ServiceName) *serviceRouter {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.routers[name]
	if s == nil {
		s = &serviceRouter{counters: newRoutingCounters(r.scope, name)}
		s.rebuild(r, r.policyOf(name))
		r.routers[name] = s
	}
	return s
}

// refresh applies changes of the routing policy and of the membership view to the
// router. The caller must hold s.mu.
func (r *Routers) refresh(s *serviceRouter, name model.ServiceName) {
	if p := r.policyOf(name); p != s.policy {
		s.rebuild(r, p)
	}
	if s.upstreamsLoaded && s.generation == r.view.Generation() {
		return
	}
	upstreams, generation := r.view.Upstreams(name)
	s.router.SetUpstreams(r.now(), upstreams)
	s.generation = generation
	s.upstreamsLoaded = true
}

// rebuild replaces s.router by a new router with the named policy. An empty name means
// the policy of r.opts. An unknown name means the default policy of package routing, but
// the checks of the configuration reject unknown names.
func (s *serviceRouter) rebuild(r *Routers, policy string) {
	opts := r.opts
	if policy != "" {
		opts.Policy = policy
	}
	router, err := routing.New(opts)
	if err != nil {
		opts.Policy = ""
		router, err = routing.New(opts)
	}
	if err != nil {
		panic(err)
	}
	s.router, s.policy, s.upstreamsLoaded = router, policy, false
	s.counters.lastStats = routing.Stats{}
}
