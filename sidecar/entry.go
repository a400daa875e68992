package sidecar

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/core/quarantine"
	"github.com/dottereltiller/dottereltiller/core/route"
	"github.com/dottereltiller/dottereltiller/decision"
	"github.com/dottereltiller/dottereltiller/inbound"
)

const (
	// defaultDeadline is given to requests whose caller and route state none.
	defaultDeadline = 30 * time.Second
	// maxBody bounds request bodies where the configuration does not, in bytes.
	defaultMaxBody = 64 << 20
	// notReadyRetry is the advice while there is no configuration yet.
	notReadyRetryAfter = 300 * time.Millisecond
	// noUpstreamRetry is the advice while no upstream is known: one that starts
	// reports within a second or two.
	noUpstreamRetryAfter = 500 * time.Millisecond
	// busyRetry is the least advice when all upstreams are full.
	minRetryAfter = 100 * time.Millisecond
)

// request is a caller's request on its way.
type request struct {
	http    *http.Request
	id      string
	route   *route.Route
	table   *route.Table
	service model.ServiceName
	body    []byte
	// held is the room that the body takes.
	buffer            *bufferedBody
	began             model.Instant
	deadline          model.Instant
	targetTime        model.Instant
	ctx               context.Context
	rejections        int
	attemptsDelivered int
	candidateCount    int
	expectedTime      time.Duration
	upstreamKey       string
	// print is nil until somebody asks for it.
	print *quarantine.Fingerprint
}

// cut reports whether this daemon has closed the caller's connection.
func (r *request) connectionClosed() bool { return inbound.Closed(r.http.Context()) }

// entry takes callers' requests. It is safe for concurrent use.
type entry struct {
	daemon *Daemon
	// bootClock tells the time since the VM started, suspensions included.
	bootClock func() time.Duration

	mu       sync.Mutex
	splitter route.Splitter
	services map[model.ServiceName]*service
	// works holds what is known of each route's work.
	serviceTimes map[string]routeServiceTime
}

func newEntry(d *Daemon) *entry {
	return &entry{
		daemon: d, bootClock: bootTime, services: make(map[model.ServiceName]*service), serviceTimes: make(map[string]routeServiceTime),
	}
}

// ServeHTTP answers one request.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt, err := e.daemon.opts.Edge.Attempt(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	req := &request{http: r, id: attempt.ID, began: e.daemon.now()}
	if !e.daemon.requests.begin() {
		e.respond(w, req, refuse(outcome.ReasonDraining, noUpstreamRetryAfter))
		return
	}
	defer e.daemon.requests.done()
	defer func() { req.buffer.release() }()
	refused := e.classify(req, attempt)
	if refused == nil && e.daemon.stopping.Load() {
		left := req.deadline.Sub(req.began)
		refused = e.daemon.guard.rejectIfTooLong(e.serviceTimeOf(req.route.Name, left), left)
	}
	if refused == nil {
		refused = e.readBody(w, req)
	}
	if refused != nil {
		e.respond(w, req, refused)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), req.deadline.Sub(e.daemon.now()))
	defer cancel()
	req.ctx = ctx
	e.respond(w, req, e.forward(req))
}

// classify finds the route and the service. It returns an answer when the
// request is refused.
func (e *entry) classify(req *request, attempt Attempt) *Answer {
	table := e.daemon.config.table()
	if table == nil {
		return refuse(outcome.ReasonNotReady, notReadyRetryAfter)
	}
	path, _, _ := strings.Cut(req.http.RequestURI, "?")
	rt, ok := table.Lookup(req.http.Host, path)
	if !ok {
		return notRun(outcome.ReasonNoService)
	}
	req.table, req.route = table, rt
	e.mu.Lock()
	req.service = e.splitter.Pick(rt)
	e.mu.Unlock()
	left := attempt.Deadline
	if left <= 0 {
		left = defaultDeadline
	}
	if rt.Timeout > 0 {
		left = min(left, rt.Timeout)
	}
	req.deadline = req.began.Add(left)
	if rt.Target > 0 {
		req.targetTime = req.began.Add(rt.Target)
	}
	return nil
}

func refuse(r outcome.Reason, after time.Duration) *Answer {
	a := notRun(r)
	a.Outcome.RetryAfter = after
	return a
}

func (e *entry) readBody(w http.ResponseWriter, req *request) *Answer {
	limit := req.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	held, err := e.daemon.bodies.read(http.MaxBytesReader(w, req.http.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large), errors.Is(err, errTooLarge):
		return notRun(outcome.ReasonTooLarge)
	case errors.Is(err, errNoRoom):
		return refuse(outcome.ReasonNoMemory, jittered(minRetryAfter))
	case err != nil:
		return notRun(outcome.ReasonBadRequest)
	}
	req.buffer, req.body = held, held.bytes
	return nil
}

// statuses are the statuses of reasons that have one of their own.
var reasonStatus = map[outcome.Reason]int{
	outcome.ReasonNoService:  http.StatusNotFound,
	outcome.ReasonBadRequest: http.StatusBadRequest,
	outcome.ReasonTooLarge:   http.StatusRequestEntityTooLarge,
}

// statusOf returns the status of an outcome that is no answer. 503 promises that
// the request has not run.
func statusOf(o outcome.Outcome) int {
	if status, ok := reasonStatus[o.Reason]; ok {
		return status
	}
	switch {
	case o.Kind == outcome.NotRun:
		return http.StatusServiceUnavailable
	case o.Reason == outcome.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// write answers the caller and logs how the request ended.
func (e *entry) respond(w http.ResponseWriter, req *request, a *Answer) {
	took := e.daemon.now().Sub(req.began)
	name := "none"
	if req.route != nil {
		name = req.route.Name
	}
	e.daemon.metrics.answered(string(req.service), name, a.Outcome, took)
	if req.connectionClosed() {
		e.daemon.metrics.cut.Inc(1)
	}
	if e.daemon.stopping.Load() {
		// The caller sends no more on this connection. Idle ones stay open: a
		// request may be on its way on each of them.
		w.Header().Set("Connection", "close")
	}
	if a.Outcome.Kind == outcome.Answered {
		copyHeader(w.Header(), a.Header)
		writeWhole(w, req.http.Method, a)
		e.logOutcome(decision.Answered, req, name, a, a.Status, took)
		return
	}
	status := statusOf(a.Outcome)
	h := w.Header()
	e.daemon.opts.Edge.Sign(h, req.id)
	h.Set("Content-Type", "text/plain")
	if a.Outcome.RetryAfter > 0 {
		h.Set("Retry-After", formatSeconds(a.Outcome.RetryAfter))
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, string(a.Outcome.Reason)+"\n")
	kind := decision.Failed
	if a.Outcome.Kind == outcome.NotRun {
		kind = decision.Refused
	}
	e.logOutcome(kind, req, name, a, status, took)
}

// seconds returns a duration as Retry-After has it, with a fraction.
func formatSeconds(d time.Duration) string {
	const digits, bits = 3, 64
	return strconv.FormatFloat(math.Max(d.Seconds(), 0.001), 'f', digits, bits)
}

func (e *entry) logOutcome(k decision.Kind, req *request, name string, a *Answer, status int, took time.Duration) {
	if k == decision.Answered && !req.connectionClosed() && !e.daemon.opts.Decisions.Keeps(req.id) {
		return
	}
	e.daemon.opts.Decisions.Write(k, req.id,
		slog.String("route", name), slog.String("service", string(req.service)), slog.String("upstream", req.upstreamKey),
		slog.String("reason", string(a.Outcome.Reason)), slog.Int("status", status),
		slog.Int64("retry_after_ms", a.Outcome.RetryAfter.Milliseconds()), slog.Int64("took_ms", took.Milliseconds()),
		slog.Int("sends", req.attemptsDelivered), slog.Int("given_back", req.rejections), slog.Int("candidates", req.candidateCount),
		slog.Int64("expected_ms", req.expectedTime.Milliseconds()), slog.Uint64("config", uint64(e.daemon.config.version())),
		slog.Bool("idempotent", req.route != nil && req.route.Idempotent), slog.Bool("cut", req.connectionClosed()))
}

// service is what the entry holds of one service. Its mutex guards all of it.
type service struct {
	mu        sync.Mutex
	placer    *placement.Placer
	endpoints map[string]endpoint
	// answered holds the candidates whose guards have answered a question.
	answered     map[string]bool
	generation   uint64
	loaded       bool
	retryLimiter *retryLimiter
	// callsPerRun is how many calls to other services a run of this one makes.
	callsPerRun float64
}

// service returns the state of a service.
func (e *entry) service(name model.ServiceName) *service {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[name]
	if s == nil {
		s = &service{
			placer:       placement.New(placement.Options{Zone: e.daemon.opts.Zone}),
			answered:     make(map[string]bool),
			retryLimiter: newRetryLimiter(e.daemon.tunables.Load().Resends),
		}
		e.services[name] = s
	}
	return s
}

// setResends changes the re-send budgets.
func (e *entry) setResends(b ResendBudget) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.services {
		s.retryLimiter.set(b)
	}
}

// resendsLeft returns what the tightest re-send budget holds.
func (e *entry) resendsLeft() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	left, found := 0.0, false
	for _, s := range e.services {
		if n := s.retryLimiter.left(e.daemon.now()); !found || n < left {
			left, found = n, true
		}
	}
	return left
}

// refresh follows what is known of the other daemons. s.mu is held.
func (e *entry) refreshCandidates(s *service, name model.ServiceName) {
	generation := e.daemon.peers.currentGeneration()
	if s.loaded && generation == s.generation {
		return
	}
	ups, targets := e.daemon.peers.candidates(name)
	s.placer.Set(ups)
	s.endpoints, s.generation, s.loaded = targets, generation, true
	for key := range s.answered {
		if _, ok := targets[key]; !ok {
			delete(s.answered, key)
		}
	}
}

// routeWork is the usual time of a route's requests where nothing slows them, as last
// taken in.
type routeServiceTime struct {
	mean      time.Duration
	updatedAt model.Instant
}

const (
	// firstWork is assumed of a route that nothing is known of.
	defaultServiceTime = 50 * time.Millisecond
	// workWeight makes the mean cover about 16 requests.
	serviceTimeWeight = 1.0 / 16
	// maxWorks bounds the routes whose work is known.
	maxServiceTimes = 4096
	// workTrusted is how long after the last answer the work alone may have a request
	// refused as too long for its deadline. Work that was learned of upstreams that
	// were slow would have every later request refused, and none would correct it.
	serviceTimeMaxAge = time.Second
	// trialShare is the share of a request's time that its work takes at most after
	// that.
	staleServiceTimeShare = 1.0 / 3
	// staleFactor is how far above the next answer what was known before may be then.
	staleFactor = 2
)

// workOf returns the usual work of a route, for a request that has so much time.
func (e *entry) serviceTimeOf(name string, left time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	w, ok := e.serviceTimes[name]
	switch {
	case !ok:
		return defaultServiceTime
	case e.daemon.now().Sub(w.updatedAt) > serviceTimeMaxAge:
		return min(w.mean, time.Duration(staleServiceTimeShare*float64(left)))
	default:
		return w.mean
	}
}

// worked takes in the work of a request of a route.
func (e *entry) recordServiceTime(name string, usual time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w, ok := e.serviceTimes[name]
	if !ok {
		if len(e.serviceTimes) >= maxServiceTimes {
			clear(e.serviceTimes)
		}
		w.mean = usual
	}
	now := e.daemon.now()
	if now.Sub(w.updatedAt) > serviceTimeMaxAge {
		w.mean = min(w.mean, staleFactor*usual)
	}
	w.mean += time.Duration(float64(usual-w.mean) * serviceTimeWeight)
	w.updatedAt = now
	e.serviceTimes[name] = w
}
