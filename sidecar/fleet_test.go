package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/route"
)

const waitLimit = 20 * time.Second // for a condition, see eventually

// eventually waits until the condition holds. It fails the test after waitLimit.
func eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, waitLimit, 2*time.Millisecond, description)
}

// testCodec implements HeaderCodec with headers named T-*.
type testCodec struct{}

var errNoID = errors.New("no id")

func (testCodec) ReadAttempt(h http.Header) (Attempt, error) {
	if h.Get("T-Id") == "" {
		return Attempt{}, errNoID
	}
	ms, _ := strconv.Atoi(h.Get("T-Deadline"))
	return Attempt{ID: h.Get("T-Id"), Deadline: time.Duration(ms) * time.Millisecond, Key: h.Get("T-Key")}, nil
}

func (testCodec) WriteRequestInfo(h http.Header, info RequestInfo) {
	h.Set("T-Id", info.ID)
	h.Set("T-Deadline", strconv.FormatInt(info.Deadline.Milliseconds(), 10))
	h.Set("T-Caller", string(info.Caller))
	h.Set("T-Expect", string(info.Upstream))
	if info.Account != "" {
		h.Set("T-Account", string(info.Account))
	}
}

func (testCodec) RemoveAccountHeaders(h http.Header) {
	h.Del("T-Key")
	h.Del("T-Account")
}

func (testCodec) SetChallenge(h http.Header) { h.Set("T-Challenge", "key") }

func (c testCodec) ReadResponseInfo(status int, h http.Header) ResponseInfo {
	r := ResponseInfo{
		ID: h.Get("T-Id"), NotRun: h.Get("T-Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest,
		Intact: status >= 300 || h.Get("T-Seal") != "", Instance: model.UpstreamID(h.Get("T-Instance")),
	}
	r.Statements = c.ReadStatements(h)
	if slow, err := strconv.ParseFloat(h.Get("T-Slow"), 64); err == nil {
		r.Load = &UpstreamLoad{Slots: 6, Slowdown: slow}
	}
	return r
}

func (testCodec) ReadStatements(h http.Header) Statements {
	s := Statements{Leaving: h.Get("T-Leaving") != ""}
	if perSecond, err := strconv.ParseFloat(h.Get("T-Limit"), 64); err == nil {
		s.RateLimit = RateLimit{Limited: true, PerSecond: perSecond}
	}
	return s
}

func (testCodec) SetAttemptID(h http.Header, id string) { h.Set("T-Id", id) }

// upstream is a test server in the role of an upstream.
type upstream struct {
	id     string
	server *httptest.Server
	// omitsLoad suppresses the load header. It is not changed while requests run.
	omitsLoad bool
	// mu guards the fields that follow it.
	mu sync.Mutex
	// handler serves requests. Nil means respondOK.
	handler  func(w http.ResponseWriter, r *http.Request)
	received []*http.Request
	bodies   []string
	// healthStatus is the status of the health check. Zero means 200.
	healthStatus int
}

func newUpstream(t testing.TB, id string) *upstream {
	u := &upstream{id: id}
	// Tests close this server and expect that nothing else listens on its address then.
	ln, err := net.Listen("tcp", unusedAddress(t))
	require.NoError(t, err)
	u.server = httptest.NewUnstartedServer(u)
	_ = u.server.Listener.Close()
	u.server.Listener = ln
	u.server.Start()
	t.Cleanup(u.server.Close)
	return u
}

func (u *upstream) address() string { return u.server.Listener.Addr().String() }

func (u *upstream) setHandler(h func(w http.ResponseWriter, r *http.Request)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.handler = h
}

func (u *upstream) setHealth(status int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.healthStatus = status
}

func (u *upstream) requests() []*http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]*http.Request(nil), u.received...)
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("T-Instance", u.id)
	if !u.omitsLoad {
		w.Header().Set("T-Slow", "1")
	}
	if r.URL.Path == "/health" {
		u.mu.Lock()
		defer u.mu.Unlock()
		w.WriteHeader(max(u.healthStatus, http.StatusOK))
		return
	}
	body, _ := io.ReadAll(r.Body)
	u.mu.Lock()
	u.received = append(u.received, r)
	u.bodies = append(u.bodies, string(body))
	handle := u.handler
	u.mu.Unlock()
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	if handle != nil {
		handle(w, r)
		return
	}
	respondOK(w, u.id)
}

func respondOK(w http.ResponseWriter, id string) {
	w.Header().Set("T-Seal", "seal of "+id)
	_, _ = io.WriteString(w, "answer of "+id)
}

func shedRequest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("T-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func hangUp(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// member is a daemon under test and its upstream.
type member struct {
	*Daemon
	upstream *upstream
	source   *source
	scope    tally.TestScope
	stop     func()
}

func optionsFor(t testing.TB, s *store, up *upstream, service model.ServiceName) Options {
	return Options{
		Addresses: Addresses{
			Callers: unusedAddress(t), Peers: unusedAddress(t), Control: unusedAddress(t), Ready: unusedAddress(t), Upstream: up.address(),
		},
		Zone: "z", Bootstrap: true, ReadyPath: "/ready",
		Tunables:  Tunables{Service: service, Retries: RetryBudget{Ratio: 0.2, Slack: 50, Span: 10 * time.Second}, GracePeriod: 5 * time.Second},
		Control:   func(Registry) http.Handler { return http.NotFoundHandler() },
		Codec:     testCodec{},
		Directory: s,
	}
}

// startReady starts a daemon and reports its upstream as ready.
func startReady(t testing.TB, s *store, service model.ServiceName, id string) *member {
	t.Helper()
	return startReadyWith(t, s, service, id, func(*Options) {})
}

// startReadyWith does the same as startReady, but changes the options first.
func startReadyWith(t testing.TB, s *store, service model.ServiceName, id string, change func(*Options)) *member {
	t.Helper()
	up := newUpstream(t, id)
	o := optionsFor(t, s, up, service)
	change(&o)
	m := startDaemon(t, o, s)
	m.upstream = up
	m.Report(readyReport(id, 1, 1, service))
	return m
}

func readyReport(id string, born int64, seq uint64, service model.ServiceName) lifecycle.Report {
	return lifecycle.Report{
		Incarnation: lifecycle.Incarnation{ID: model.UpstreamID(id), Born: born}, Sequence: seq,
		State: lifecycle.Ready, Service: service, Slots: 6,
	}
}

// startDaemon starts a daemon and waits until it is ready. The daemon is killed after the test.
func startDaemon(t testing.TB, o Options, s *store) *member {
	t.Helper()
	return startPrepared(t, o, s, func(*Daemon) {})
}

// startPrepared does the same as startDaemon, but calls prepare before the daemon serves.
func startPrepared(t testing.TB, o Options, s *store, prepare func(*Daemon)) *member {
	t.Helper()
	m := &member{source: &source{store: s}, scope: tally.NewTestScope("", nil)}
	o.Source, o.Scope = m.source, m.scope
	d, err := New(o)
	require.NoError(t, err)
	m.Daemon = d
	prepare(d)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Serve(ctx)
	}()
	var once sync.Once
	m.stop = func() { once.Do(func() { cancel(); <-done }) }
	t.Cleanup(m.kill)
	eventually(t, "ready", d.ready.Load)
	return m
}

// kill stops the daemon without a grace period.
func (m *member) kill() {
	m.tunables.Store(&Tunables{})
	m.stop()
}

// waitForCandidates waits until the daemon has n candidates for a service.
func (m *member) waitForCandidates(t testing.TB, service model.ServiceName, n int) {
	t.Helper()
	eventually(t, "candidates", func() bool {
		ups, _ := m.peers.candidates(service, 0)
		return len(ups) == n
	})
}

// documentOf returns a configuration that routes /safe/ (idempotent) and /unsafe/ to a service.
func documentOf(version model.Version, service model.ServiceName) route.Document {
	newRoute := func(name string, idempotent bool) route.Route {
		return route.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: idempotent, MaxAttempts: 2,
			Timeout: 5 * time.Second, TargetLatency: time.Second, Split: []route.WeightedService{{Service: service, Weight: 1}},
		}
	}
	return route.Document{
		Version: version, Routes: []route.Route{newRoute("safe", true), newRoute("unsafe", false)},
		Services: []route.Service{{Name: service, HealthPath: "/health"}},
	}
}

var lastRequestID atomic.Int64

// sendRequest sends a request to the daemon's address for callers. It returns response and body.
func (m *member) sendRequest(t *testing.T, method, path, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+m.opts.Addresses.Callers+path, nil)
	require.NoError(t, err)
	if body != "" {
		req.Body = io.NopCloser(newReader(body))
		req.ContentLength = int64(len(body))
	}
	req.Host = "h"
	req.Header.Set("T-Id", fmt.Sprintf("r%d", lastRequestID.Add(1)))
	req.Header.Set("T-Deadline", "5000")
	req.Close = true
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(text)
}

func (m *member) get(t *testing.T, path string) (int, string) {
	resp, text := m.sendRequest(t, http.MethodGet, path, "")
	return resp.StatusCode, text
}

func (m *member) post(t *testing.T, path string) (int, string) {
	resp, text := m.sendRequest(t, http.MethodPost, path, "pay")
	return resp.StatusCode, text
}
