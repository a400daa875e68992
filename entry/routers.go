package entry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/routing"
)

// View is the membership view that a Routers follows.
type View interface {
	Upstreams(model.ServiceName) ([]model.Upstream, uint64)
	Generation() uint64
}

// Routers holds one router for each service that this entry calls. It is safe
// for concurrent use.
type Routers struct {
	view     View
	now      func() model.Instant
	opts     routing.Options
	policyOf func(model.ServiceName) string
	scope    tally.Scope

	mu       sync.Mutex
	services map[model.ServiceName]*serviceRouter
}

// serviceRouter is the router of one service.
type serviceRouter struct {
	mu              sync.Mutex
	router          *routing.Router
	policy          string
	generation      uint64
	upstreamsLoaded bool
	counters        *routingCounters
}

// NewRouters returns a Routers over a membership view. opts.Policy holds for
// services that name none.
func NewRouters(view View, now func() model.Instant, opts routing.Options) *Routers {
	return &Routers{
		view:     view,
		now:      now,
		opts:     opts,
		policyOf: func(model.ServiceName) string { return "" },
		scope:    tally.NoopScope,
		services: make(map[model.ServiceName]*serviceRouter),
	}
}

// Follow sets where the routing policy of a service comes from; an empty name
// means the default. It must be called before the first request.
func (r *Routers) Follow(policyOf func(model.ServiceName) string) { r.policyOf = policyOf }

// CountTo sets where decisions are counted. It must be called before the first
// request.
func (r *Routers) CountTo(scope tally.Scope) { r.scope = scope }

// Place chooses the upstream for a request that guards have given back the
// given number of times. See routing.Router.Place.
func (r *Routers) Place(req model.Request, exclude []model.UpstreamID, rejections int) (routing.Choice, bool) {
	s := r.service(req.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.refresh(s, req.Service)
	return s.router.Place(r.now(), req, exclude, rejections)
}

// HedgeDelay returns how long to wait for an answer before the request is
// hedged. See routing.Router.HedgeDelay.
func (r *Routers) HedgeDelay(req model.Request) (time.Duration, bool) {
	s := r.service(req.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.HedgeDelay(req)
}

// Hedge chooses a second upstream for a request that was sent to the first at
// the given instant. See routing.Router.Hedge.
func (r *Routers) Hedge(first model.Upstream, sentAt model.Instant, exclude []model.UpstreamID) (routing.Choice, bool) {
	s := r.service(first.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.Hedge(r.now(), first.ID, sentAt, exclude)
}

// Done tells how an attempt went.
func (r *Routers) Done(upstream model.Upstream, reply routing.Reply) {
	s := r.service(upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.Done(r.now(), upstream.ID, reply)
	s.counters.update(s.router.Stats())
}

func (r *Routers) service(name model.ServiceName) *serviceRouter {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil {
		s = &serviceRouter{counters: newRoutingCounters(r.scope, name)}
		s.rebuild(r, r.policyOf(name))
		r.services[name] = s
	}
	return s
}

// refresh follows the policy and the membership view. s.mu is held.
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

// rebuild starts a router with the named policy. A name that does not exist,
// which validation refuses, counts as the default.
func (s *serviceRouter) rebuild(r *Routers, name string) {
	opts := r.opts
	if name != "" {
		opts.Policy = name
	}
	router, err := routing.New(opts)
	if err != nil {
		opts.Policy = ""
		router, err = routing.New(opts)
	}
	if err != nil {
		panic(err)
	}
	s.router, s.policy, s.upstreamsLoaded = router, name, false
	s.counters.exported = routing.Stats{}
}
