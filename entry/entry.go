package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/configuration"
	"github.com/dottereltiller/dottereltiller/core/calltoken"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/wire"
)

// Forwarder forwards calls to a guard.
type Forwarder interface {
	// Do forwards a call and returns the response. The caller must close the
	// response's body.
	Do(ctx context.Context, c *wire.Call) *wire.Result
}

// Options configure an Entry.
type Options struct {
	// Now reads the monotonic clock.
	Now func() model.Instant
	// Config returns the configuration in force. It returns nil until a first
	// configuration has been loaded.
	Config func() *configuration.InForce
	// Routers chooses the upstream of each attempt.
	Routers *Routers
	// Local forwards calls to the guard of this daemon.
	Local Forwarder
	// Remote returns the Forwarder for the guard of another daemon.
	Remote func(model.DaemonID) Forwarder
	// Self is the ID of this daemon.
	Self model.DaemonID
	// MaxBody bounds request bodies, in bytes. Default: 8 MiB.
	MaxBody int64
	// Ceilings enforces the ceilings of groups. Nil means no ceilings.
	Ceilings Ceilings
	// Quarantine keeps track of the requests that crash upstreams. Nil means that
	// no request is quarantined.
	Quarantine Quarantine
	// Tokens verifies the call tokens of nested calls. A nested call is a request
	// that an upstream makes while it serves another request. Nil means that nested
	// calls are refused.
	Tokens *calltoken.Signer
	// Scope receives the metrics. Nil means that none are recorded.
	Scope tally.Scope
	// Keyed forwards non-idempotent requests with an idempotency key. Nil means
	// that such requests are refused.
	Keyed KeyedForwarder
	// MaxKeyedBody bounds the bodies of requests that are passed to Keyed, in
	// bytes. These bodies are buffered. Default: 256 KiB.
	MaxKeyedBody int64
}

// Ceilings enforces the ceilings of groups: limits on the rate and concurrency of
// a group's requests over all daemons.
type Ceilings interface {
	// TryAcquire reports in ok whether a request of the group may proceed. If ok is
	// true, release must be called once the request has ended. If ok is false, wait
	// is the time after which the caller may try again.
	TryAcquire(model.ServiceName, model.GroupName) (release func(), wait time.Duration, ok bool)
}

const (
	// defaultMaxBody is the default of Options.MaxBody, in bytes.
	defaultMaxBody = 8 << 20
	// maxAttempts is the largest number of attempts for one request.
	maxAttempts = 3
	// maxReplayableBody is the largest body that is buffered for retries, in
	// bytes.
	maxReplayableBody = 64 << 10
)

// Entry is the HTTP handler for callers' requests. It is safe for concurrent use.
type Entry struct {
	opts         Options
	metrics      *metrics
	retryBudgets *retryBudgets
}

// New returns an Entry.
func New(opts Options) *Entry {
	if opts.MaxBody <= 0 {
		opts.MaxBody = defaultMaxBody
	}
	if opts.MaxKeyedBody <= 0 {
		opts.MaxKeyedBody = defaultMaxKeyedBody
	}
	return &Entry{opts: opts, metrics: newMetrics(opts.Scope), retryBudgets: newRetryBudgets(opts.Now, opts.Scope)}
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req, refusal := e.classify(w, r)
	if requestsUpgrade(r) {
		refusal = refusedBecause(outcome.ReasonUpgradeForbidden)
	}
	if refusal != nil {
		e.metrics.refused.Count(*refusal)
		writeProblem(w, *refusal)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), req.timeout)
	defer cancel()
	// The recorded outcome is unknown unless the complete response is written.
	o := outcome.UnknownBecause(outcome.ReasonTruncated)
	startedAt := e.opts.Now()
	defer func() { e.metrics.recordRequest(req, o, e.opts.Now().Sub(startedAt)) }()
	response := e.forwardWithinCeiling(ctx, req)
	if req.releaseCeiling != nil {
		defer req.releaseCeiling()
	}
	writeResponse(w, response)
	o = response.Outcome
	e.clearCrashes(req, o)
}

// forwardWithinCeiling forwards the request, or refuses it when its group is at
// its ceiling.
func (e *Entry) forwardWithinCeiling(ctx context.Context, req *request) *wire.Result {
	if e.opts.Ceilings == nil {
		return e.forwardOrSubmit(ctx, req)
	}
	release, wait, ok := e.opts.Ceilings.TryAcquire(req.service.Name, req.group)
	if !ok {
		o := outcome.NotRunBecause(outcome.ReasonCeiling)
		o.RetryAfter = wait
		return wire.NoResponse(o)
	}
	req.releaseCeiling = release
	return e.forwardOrSubmit(ctx, req)
}

// request is a caller's request after classification.
type request struct {
	http       *http.Request
	service    *policy.Service
	caller     policy.Caller
	group      model.GroupName
	idempotent bool
	timeout    time.Duration
	deadline   model.Instant
	body       *body
	// depth is the number of nested calls that led to this request, including the
	// request itself if it is a nested call. It is 0 for any other request.
	depth int
	// releaseCeiling is the release function that Ceilings.TryAcquire returned. It
	// is nil when no ceilings are enforced or the request was refused.
	releaseCeiling func()
	// cachedFingerprint holds the result of fingerprint.
	cachedFingerprint lazyFingerprint
	// crashCount counts the upstreams that crashed while they ran the request.
	crashCount int
}

// forward sends the request to one upstream after another until the request is
// answered or no further retry is allowed. It returns the last response. When the router
// finds no upstream for the first attempt, this is a response without a body whose
// outcome has ReasonNoUpstream. A request that is quarantined is refused before the
// next attempt.
func (e *Entry) forward(ctx context.Context, req *request) *wire.Result {
	var tried []model.UpstreamID
	lastResponse := wire.NoResponse(outcome.NotRunBecause(outcome.ReasonNoUpstream))
	e.retryBudgets.countRequest(req.service)
	for attempt := 0; ; attempt++ {
		if o, refused := e.checkQuarantine(req); refused {
			return wire.NoResponse(o.After(lastResponse.Outcome))
		}
		response, upstream, ok := e.attempt(ctx, req, tried, attempt)
		if !ok {
			return lastResponse
		}
		tried = append(tried, upstream)
		e.retryBudgets.countAttempt(req.service, response)
		response.Outcome, lastResponse = response.Outcome.After(lastResponse.Outcome), response
		if !e.waitForRetry(ctx, req, response, attempt) {
			return lastResponse
		}
		_ = response.Body.Close()
	}
}

// forwarder returns the Forwarder for the guard of an upstream.
func (e *Entry) forwarder(upstream model.Upstream) Forwarder {
	if upstream.Daemon == e.opts.Self {
		return e.opts.Local
	}
	return e.opts.Remote(upstream.Daemon)
}

// modelRequest returns the request in the form that the router takes. attempt is the
// number of the attempt, from 0.
func (r *request) modelRequest(attempt int) model.Request {
	return model.Request{
		Service:    r.service.Name,
		Group:      r.group,
		Caller:     r.caller.Name,
		Idempotent: r.idempotent,
		Deadline:   r.deadline,
		Attempt:    attempt,
	}
}

// call returns the call that forwards the request to an upstream. attempt is the
// number of the attempt, from 0.
func (r *request) call(upstream model.Upstream, attempt int) *wire.Call {
	h := r.http.Header.Clone()
	wire.StripInternalHeaders(h)
	wire.StripHopByHopHeaders(h)
	h.Del(wire.HeaderIdempotencyKey)
	h.Del("Authorization")
	c := &wire.Call{
		ID:          uuid.NewString(),
		Method:      r.http.Method,
		Target:      r.http.URL.RequestURI(),
		Host:        r.http.Host,
		Header:      h,
		Service:     r.service.Name,
		Group:       r.group,
		Caller:      r.caller.Name,
		Upstream:    upstream.ID,
		Incarnation: upstream.Incarnation,
		Idempotent:  r.idempotent,
		Attempt:     attempt,
		Depth:       r.depth,
		Key:         r.http.Header.Get(wire.HeaderIdempotencyKey),
	}
	c.Body, c.ContentLength = r.body.reader()
	return c
}
