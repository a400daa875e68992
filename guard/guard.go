package guard

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/admission"
	"github.com/dottereltiller/dottereltiller/core/calltoken"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/hop"
	"github.com/dottereltiller/dottereltiller/membership"
	"github.com/dottereltiller/dottereltiller/telemetry"
	"github.com/dottereltiller/dottereltiller/wire"
)

// Options configure a Guard.
type Options struct {
	// Now reads the monotonic clock.
	Now func() model.Instant
	// Groups returns the configuration of the groups of a service.
	Groups func(model.ServiceName) []admission.Group
	// Hop configures the connections to upstreams.
	Hop hop.Options
	// MeasuringBudget returns, for a service, the share of each upstream's slot time
	// (time multiplied by slots) that may be spent on polling the upstream's load
	// report. Nil means DefaultMeasuringBudget for all services.
	MeasuringBudget func(model.ServiceName) float64
	// Evacuated reports whether the availability zone of the VM is evacuated. Upstreams then get no
	// calls. Nil means that it never is.
	Evacuated func() bool
	// OnLeaving is called when a response of an upstream states that the upstream is about to leave. Nil
	// means that nobody is told.
	OnLeaving func(model.Upstream)
	// Tokens signs the call tokens that upstreams pass on in nested calls. A nested
	// call is a request that an upstream makes while it serves a call. Nil means no
	// tokens.
	Tokens *calltoken.Signer
	// Scope receives the metrics. Nil means that none are recorded.
	Scope tally.Scope
}

// Guard admits and forwards calls to this VM's upstreams. It is safe for
// concurrent use.
type Guard struct {
	opts   Options
	client *hop.Client
	poller *poller
	// calls counts the outcomes of calls.
	calls *telemetry.OutcomeCounter

	mu        sync.RWMutex
	upstreams map[model.UpstreamID]*upstreamProxy
}

// New returns a Guard without upstreams.
func New(opts Options) *Guard {
	if opts.MeasuringBudget == nil {
		opts.MeasuringBudget = func(model.ServiceName) float64 { return DefaultMeasuringBudget }
	}
	if opts.Evacuated == nil {
		opts.Evacuated = func() bool { return false }
	}
	if opts.OnLeaving == nil {
		opts.OnLeaving = func(model.Upstream) {}
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	return &Guard{
		opts:      opts,
		client:    hop.NewClient(opts.Hop),
		poller:    newPoller(opts.Scope),
		calls:     telemetry.NewOutcomeCounter(opts.Scope, "calls"),
		upstreams: make(map[model.UpstreamID]*upstreamProxy),
	}
}

// Attach adds an upstream. If an earlier incarnation of the upstream is attached,
// Attach replaces and drains it. It does nothing when the same incarnation is attached
// already.
func (g *Guard) Attach(upstream membership.LocalUpstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	previous := g.upstreams[upstream.ID]
	if previous != nil && previous.upstream.Incarnation == upstream.Incarnation {
		return
	}
	u := newUpstreamProxy(upstream, g.client, g.opts.Now)
	u.tokens, u.onLeaving = g.opts.Tokens, g.opts.OnLeaving
	u.countStatement = g.countStatement
	u.configure(g.opts.Groups(upstream.Service), g.opts.MeasuringBudget(upstream.Service))
	u.setEvacuated(g.opts.Evacuated())
	g.upstreams[upstream.ID] = u
	if previous != nil {
		go previous.drain()
	}
}

// Drain refuses the waiting calls to an upstream and all calls that arrive later.
// Running calls are not affected. Drain does nothing when no such upstream is attached.
func (g *Guard) Drain(id model.UpstreamID) {
	if u := g.upstream(id); u != nil {
		u.drain()
	}
}

// Configure applies the current results of Options.Groups, Options.MeasuringBudget and
// Options.Evacuated to all upstreams.
func (g *Guard) Configure() {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, u := range g.upstreams {
		u.configure(g.opts.Groups(u.upstream.Service), g.opts.MeasuringBudget(u.upstream.Service))
		u.setEvacuated(g.opts.Evacuated())
	}
}

// Loads returns the load of every upstream of a service. An empty name means all
// services.
func (g *Guard) Loads(service model.ServiceName) map[model.UpstreamID]model.Load {
	g.mu.RLock()
	defer g.mu.RUnlock()
	loads := make(map[model.UpstreamID]model.Load, len(g.upstreams))
	for id, u := range g.upstreams {
		if service == "" || u.upstream.Service == service {
			loads[id] = u.load()
		}
	}
	return loads
}

// Do admits a call, sends the call to its upstream at most once, and returns the
// response. The caller must close the response's body.
func (g *Guard) Do(ctx context.Context, c *wire.Call) *wire.Result {
	u := g.upstream(c.Upstream)
	if u == nil || u.upstream.Incarnation != c.Incarnation {
		o := outcome.NotRunBecause(outcome.ReasonNoUpstream)
		g.calls.Count(o)
		return wire.NoResponse(o)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	response := u.do(ctx, c)
	g.calls.Count(response.Outcome)
	return response.CancelOnClose(cancel)
}

func (g *Guard) upstream(id model.UpstreamID) *upstreamProxy {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.upstreams[id]
}

// Advance refuses waiting calls whose deadline has passed. Without Advance, such a call
// would leave the queue later, when its own context ends. It also starts calls that have
// waited because an upstream limits the rate of its requests.
func (g *Guard) Advance() {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, u := range g.upstreams {
		u.advance()
	}
}

const (
	// advanceInterval is the time between two runs of Serve's loop while calls
	// wait.
	advanceInterval = 5 * time.Millisecond
	// idleAdvanceInterval is the time between two runs of Serve's loop while no
	// calls wait. It is short enough for polling load reports. A shorter interval
	// would waste CPU time on an idle VM, since each wake-up costs CPU time.
	idleAdvanceInterval = 50 * time.Millisecond
)

// Serve refuses expired calls, starts calls that a rate limit has held back, and polls load reports until the context ends.
func (g *Guard) Serve(ctx context.Context) error {
	timer := time.NewTimer(idleAdvanceInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			g.Advance()
			g.startDuePolls(ctx)
			timer.Reset(g.nextInterval())
		}
	}
}

// nextInterval returns the time until Serve's loop runs again.
func (g *Guard) nextInterval() time.Duration {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, u := range g.upstreams {
		if u.load().Waiting > 0 {
			return advanceInterval
		}
	}
	return idleAdvanceInterval
}

// String returns the name of the component in the supervisor tree.
func (g *Guard) String() string { return "guard" }
