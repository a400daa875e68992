package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/configuration"
	"github.com/dottereltiller/dottereltiller/core/calltoken"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/core/routing"
	"github.com/dottereltiller/dottereltiller/wire"
)

// serviceChain is a chain of services, each of which calls the next through the
// same entry. The test defines the response of the last service.
type serviceChain struct {
	t           *testing.T
	entry       *Entry
	tokens      *calltoken.Signer
	length      int
	path        string
	lastService func(*wire.Call) *wire.Result

	mu sync.Mutex
	// timeouts holds the timeouts of all calls to upstreams.
	timeouts []time.Duration
	// groups holds the groups of all calls to upstreams.
	groups []model.GroupName
	// attemptCount is the number of calls to the last service.
	attemptCount atomic.Int64
}

// chainTimeout is the deadline setting of every service of a serviceChain.
const chainTimeout = 5 * time.Second

func newServiceChain(t *testing.T, length int, lastService func(*wire.Call) *wire.Result) *serviceChain {
	c := &serviceChain{t: t, tokens: calltoken.NewSigner("secret"), length: length, path: "/", lastService: lastService}
	docs := []policy.Document{
		{Kind: policy.KindCaller, Name: "bench", Labels: model.Labels{"role": "sorter"}, Spec: json.RawMessage(`{"certificate_names":["bench"]}`)},
		{Kind: policy.KindSharingPolicy, Name: "p", Spec: json.RawMessage(`{"services":"","default_group":"rest","groups":[
			{"name":"sorters","callers":"role=sorter","weight":8},{"name":"rest","callers":"","weight":1}]}`)},
	}
	for i := range length {
		docs = append(docs, policy.Document{Kind: policy.KindService, Name: fmt.Sprint("s", i), Spec: json.RawMessage(`{"deadline":"5s"}`)})
	}
	set, problems := policy.Compile(docs)
	require.Empty(t, problems)
	config := &configuration.InForce{Version: 1, Set: set}
	var clock atomic.Int64
	now := func() model.Instant { return model.Instant(clock.Add(int64(10 * time.Microsecond))) }
	view := staticView{
		{ID: "u-1", Incarnation: 1, Slots: 6, Zone: "a", Daemon: "self"},
		{ID: "u-2", Incarnation: 1, Slots: 6, Zone: "a", Daemon: "self"},
		{ID: "u-3", Incarnation: 1, Slots: 6, Zone: "a", Daemon: "self"},
	}
	c.entry = New(Options{
		Now:     now,
		Config:  func() *configuration.InForce { return config },
		Routers: NewRouters(view, now, routing.Options{Zone: "a", Seed: 1}),
		Local:   c,
		Self:    "self",
		Tokens:  c.tokens,
	})
	return c
}

// Do simulates the guard and the upstream. The upstream calls the next service with
// the call token that a guard would have issued. The upstream then returns the status
// and the headers of the response as its own, even if the nested call failed.
func (c *serviceChain) Do(_ context.Context, call *wire.Call) *wire.Result {
	c.mu.Lock()
	c.timeouts = append(c.timeouts, call.Timeout)
	c.groups = append(c.groups, call.Group)
	c.mu.Unlock()
	var index int
	_, err := fmt.Sscanf(string(call.Service), "s%d", &index)
	require.NoError(c.t, err)
	if index == c.length-1 {
		c.attemptCount.Add(1)
		return c.lastService(call)
	}
	token := c.tokens.Sign(calltoken.Token{
		Caller: call.Caller, Group: call.Group, Depth: call.Depth + 1,
		Deadline: time.Now().Add(call.Timeout), TimeLeft: call.Timeout,
	})
	w := c.send(index+1, map[string]string{wire.HeaderCallToken: token})
	response := wire.NoResponse(outcome.ResponseComplete())
	response.Status, response.Header = w.Code, w.Header()
	return response
}

// send sends a request to the service at index and returns the response.
func (c *serviceChain) send(index int, headers map[string]string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, c.path, nil)
	r.Header.Set(wire.HeaderService, fmt.Sprint("s", index))
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	c.entry.ServeHTTP(w, r)
	return w
}

// respondOK is a last service that answers with status 200.
func respondOK(*wire.Call) *wire.Result {
	response := wire.NoResponse(outcome.ResponseComplete())
	response.Status, response.Header = http.StatusOK, make(http.Header)
	return response
}

// benchTokenHeader returns the headers of a nested call on behalf of the caller "bench".
func (c *serviceChain) benchTokenHeader(depth int, remaining time.Duration) map[string]string {
	return map[string]string{wire.HeaderCallToken: c.tokens.Sign(calltoken.Token{
		Caller: "bench", Group: "sorters", Depth: depth, Deadline: time.Now().Add(remaining), TimeLeft: remaining,
	})}
}

// TestFailureAtDepthSixteenIsNotAmplified makes the deepest of sixteen services
// unreachable. If every layer retried, one request would cause 3^16 attempts. One request
// may cause at most maxAttempts attempts. Over many requests there may be at most 1.1
// attempts per request, plus ten attempts in all.
func TestFailureAtDepthSixteenIsNotAmplified(t *testing.T) {
	fail := func(*wire.Call) *wire.Result {
		return wire.NoResponse(outcome.NotRunBecause(outcome.ReasonConnect))
	}
	c := newServiceChain(t, calltoken.MaxDepth, fail)
	w := c.send(0, nil)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.LessOrEqual(t, c.attemptCount.Load(), int64(maxAttempts), "only one layer may retry")

	const requestCount = 500
	for range requestCount {
		c.send(0, nil)
	}
	amplification := float64(c.attemptCount.Load()) / (requestCount + 1)
	t.Logf("amplification at depth 16: %.3f attempts per request", amplification)
	require.LessOrEqual(t, amplification, 1.1+10.0/requestCount)
}

func TestNestedCallsInheritDeadlineAndGroup(t *testing.T) {
	c := newServiceChain(t, calltoken.MaxDepth, respondOK)
	require.Equal(t, http.StatusOK, c.send(0, c.benchTokenHeader(0, 3*time.Second)).Code)
	require.Len(t, c.timeouts, calltoken.MaxDepth)
	for i, timeout := range c.timeouts {
		require.LessOrEqual(t, timeout, 3*time.Second)
		if i > 0 {
			require.LessOrEqual(t, timeout, c.timeouts[i-1], "call %d", i)
		}
		require.EqualValues(t, "sorters", c.groups[i], "call %d", i)
	}
}

func TestInvalidNestedCallsAreRefused(t *testing.T) {
	c := newServiceChain(t, 1, respondOK)
	tokenOfOtherSecret := calltoken.NewSigner("other").Sign(calltoken.Token{Caller: "bench", Depth: 1, Deadline: time.Now().Add(time.Minute), TimeLeft: time.Minute})
	tests := []struct {
		name    string
		headers map[string]string
		code    int
		reason  outcome.Reason
	}{
		{"token of wrong format", map[string]string{wire.HeaderCallToken: "sorters"}, http.StatusUnauthorized, outcome.ReasonUnauthenticated},
		{"empty token", map[string]string{wire.HeaderCallToken: ""}, http.StatusUnauthorized, outcome.ReasonUnauthenticated},
		{"token signed with another secret", map[string]string{wire.HeaderCallToken: tokenOfOtherSecret}, http.StatusUnauthorized, outcome.ReasonUnauthenticated},
		{"too deep", c.benchTokenHeader(calltoken.MaxDepth, time.Second), http.StatusBadRequest, outcome.ReasonDepth},
		{"past its deadline", c.benchTokenHeader(1, -time.Second), http.StatusGatewayTimeout, outcome.ReasonDeadline},
		{"bad credentials without a token", map[string]string{"Authorization": "Bearer x"}, http.StatusUnauthorized, outcome.ReasonUnauthenticated},
		{"deadline of zero", map[string]string{wire.HeaderTimeout: "0s"}, http.StatusBadRequest, outcome.ReasonBadRequest},
		{"negative deadline", map[string]string{wire.HeaderTimeout: "-1s"}, http.StatusBadRequest, outcome.ReasonBadRequest},
		{"deadline without a unit", map[string]string{wire.HeaderTimeout: "99999999999999999999"}, http.StatusBadRequest, outcome.ReasonBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := c.send(0, tt.headers)
			require.Equal(t, tt.code, w.Code)
			require.EqualValues(t, tt.reason, w.Header().Get(wire.HeaderReason))
			require.Equal(t, "not-run", w.Header().Get(wire.HeaderOutcome))
		})
	}
	require.Zero(t, c.attemptCount.Load(), "no refused call reached an upstream")
}

func TestHugeTimeoutIsCapped(t *testing.T) {
	c := newServiceChain(t, 1, respondOK)
	require.Equal(t, http.StatusOK, c.send(0, map[string]string{wire.HeaderTimeout: "2000000h"}).Code)
	require.LessOrEqual(t, c.timeouts[0], chainTimeout)
}

// TestForgedGroupHeadersAreIgnored has a caller send the headers with which daemons
// tell each other the group of a call. The caller must not be able to choose its
// group with these headers.
func TestForgedGroupHeadersAreIgnored(t *testing.T) {
	c := newServiceChain(t, 1, respondOK)
	forgedHeaders := map[string]string{wire.HeaderGroup: "sorters", "Dottereltiller-Hop-Group": "sorters", "Dottereltiller-Hop-Caller": "bench"}
	for range 100 {
		require.Equal(t, http.StatusOK, c.send(0, forgedHeaders).Code)
	}
	for _, g := range c.groups {
		require.EqualValues(t, "rest", g)
	}
}

// TestNestedNotRunOutcomeIsNotPassedToOuterCaller has a nested call refused. The
// upstream copies the refusal, with all its headers, into its own response. The outer
// request did run, so the outcome of the outer request must not be "not run".
func TestNestedNotRunOutcomeIsNotPassedToOuterCaller(t *testing.T) {
	c := newServiceChain(t, 2, func(*wire.Call) *wire.Result {
		return wire.NoResponse(outcome.NotRunBecause(outcome.ReasonQuarantined))
	})
	w := c.send(0, nil)
	require.Equal(t, "answered", w.Header().Get(wire.HeaderOutcome))
	require.Empty(t, w.Header().Get(wire.HeaderReason))
}

// TestRetriesStopWhenAllUpstreamsFail sends requests to upstreams that all fail
// immediately. Retries must stop, since they would only add load. At most 20 retries are
// allowed for all requests together.
func TestRetriesStopWhenAllUpstreamsFail(t *testing.T) {
	loseConnection := func(*wire.Call) *wire.Result {
		return wire.NoResponse(outcome.UnknownBecause(outcome.ReasonConnectionLost))
	}
	c := newServiceChain(t, 1, loseConnection)
	const requestCount = 1000
	for range requestCount {
		require.Equal(t, http.StatusBadGateway, c.send(0, nil).Code)
	}
	retryCount := c.attemptCount.Load() - requestCount
	t.Logf("%d retries for %d failing requests", retryCount, requestCount)
	require.LessOrEqual(t, retryCount, int64(20), "retries are off while most attempts fail")
}
