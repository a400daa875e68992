package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/account"
	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/route"
	"github.com/dottereltiller/dottereltiller/decision"
)

// accountsOf returns documentOf with client accounts, and with a public route /open/.
func accountsOf(version model.Version, service model.ServiceName, accounts ...account.Account) route.Document {
	doc := documentOf(version, service)
	open := doc.Routes[0]
	open.Name, open.Prefix, open.Public = "open", "/open/", true
	doc.Routes = append(doc.Routes, open)
	doc.Accounts = append([]account.Account{}, accounts...)
	return doc
}

func accountWithKeys(name account.Name, keys ...string) account.Account {
	return account.Account{Name: name, Keys: keys}
}

// callerResponse is what a caller gets.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

// sendAs sends a request with a key, none if it is empty, and further headers. Unlike sendRequest, it
// may be called by any goroutine: errors are in the result.
func (m *member) sendAs(key, path string, headers ...string) callerResponse {
	req, err := http.NewRequest(http.MethodGet, "http://"+m.opts.Addresses.Callers+path, nil)
	if err != nil {
		return callerResponse{err: err}
	}
	req.Host, req.Close = "h", true
	req.Header.Set("T-Id", fmt.Sprintf("r%d", lastRequestID.Add(1)))
	req.Header.Set("T-Deadline", "5000")
	if key != "" {
		req.Header.Set("T-Key", key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return callerResponse{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}

// requireStatus sends a request with a key and requires the status of the response.
func (m *member) requireStatus(t *testing.T, want int, key, path string) callerResponse {
	t.Helper()
	r := m.sendAs(key, path)
	require.NoError(t, r.err)
	require.Equal(t, want, r.status, r.body)
	return r
}

// keepBehind lets a daemon learn no new version, except by asking for it itself.
func (m *member) keepBehind() {
	m.source.disconnected.Store(true)
	m.fetching.Store(true)
}

// TestUpstreamGetsAccountAndNoKey sends requests with each key of an account, with headers that claim
// another account, over one and two daemons. The upstream must get the account of the key and no key.
func TestUpstreamGetsAccountAndNoKey(t *testing.T) {
	s := newStore(accountsOf(1, "b", accountWithKeys("große Firma, Süd", "old", "new"), accountWithKeys("other", "else")))
	a, b := startReady(t, s, "a", "a1"), startReady(t, s, "b", "b1")
	a.waitForCandidates(t, "b", 1)
	b.waitForCandidates(t, "b", 1)
	for _, m := range []*member{a, b} {
		for _, key := range []string{"old", "new"} {
			r := m.sendAs(key, "/safe/", "T-Account", "other", accountHeader, "other 1 1", "Connection", "close, T-Account")
			require.NoError(t, r.err)
			require.Equal(t, http.StatusOK, r.status)
			require.Empty(t, r.header.Get(accountHeader))
		}
	}
	received := b.upstream.requests()
	require.Len(t, received, 4)
	for _, r := range received {
		require.Equal(t, []string{"große Firma, Süd"}, r.Header["T-Account"])
		require.Empty(t, r.Header["T-Key"])
		require.Empty(t, r.Header[http.CanonicalHeaderKey(accountHeader)])
	}
}

// TestPublicRouteNeedsNoKey sends requests on a public route with and without a key. They must run
// without an account, and no key or account that the caller sent may reach the upstream.
func TestPublicRouteNeedsNoKey(t *testing.T) {
	s := newStore(accountsOf(1, "b", accountWithKeys("firm", "key")))
	a, b := startReady(t, s, "a", "a1"), startReady(t, s, "b", "b1")
	a.waitForCandidates(t, "b", 1)
	for _, key := range []string{"", "key", "invented"} {
		r := a.sendAs(key, "/open/", "T-Account", "firm", accountHeader, "firm 1 1")
		require.NoError(t, r.err)
		require.Equal(t, http.StatusOK, r.status)
	}
	for _, r := range b.upstream.requests() {
		require.Empty(t, r.Header["T-Account"])
		require.Empty(t, r.Header["T-Key"])
	}
}

// TestHeadersPassWithoutAccounts checks that a configuration without client accounts leaves the headers
// of keys and accounts alone.
func TestHeadersPassWithoutAccounts(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a, b := startReady(t, s, "a", "a1"), startReady(t, s, "b", "b1")
	a.waitForCandidates(t, "b", 1)
	require.Equal(t, http.StatusOK, a.sendAs("key", "/safe/", "T-Account", "own").status)
	received := b.upstream.requests()
	require.Equal(t, "key", received[0].Header.Get("T-Key"))
	require.Equal(t, "own", received[0].Header.Get("T-Account"))
}

// TestUnknownKeyIsRefused sends requests without a key and with an invented one. They must be refused
// with status 401 and must not run.
func TestUnknownKeyIsRefused(t *testing.T) {
	s := newStore(accountsOf(1, "a", accountWithKeys("firm", "key")))
	a, b := startReady(t, s, "a", "a1"), startReady(t, s, "a", "a2")
	a.waitForCandidates(t, "a", 2)
	for _, key := range []string{"", "invented", "Key"} {
		r := a.requireStatus(t, http.StatusUnauthorized, key, "/safe/")
		require.Equal(t, "unauthenticated\n", r.body)
		require.NotEmpty(t, r.header.Get("T-Challenge"))
		require.Empty(t, r.header.Get("Retry-After"))
	}
	require.Empty(t, a.upstream.requests())
	require.Empty(t, b.upstream.requests())
}

// TestLoneDaemonRefusesUnknownKey has one daemon only, which reads the store. With the store down, it
// cannot know whether the key was added.
func TestLoneDaemonRefusesUnknownKey(t *testing.T) {
	s := newStore(accountsOf(1, "a", accountWithKeys("firm", "key")))
	a := startReady(t, s, "a", "a1")
	a.requireStatus(t, http.StatusUnauthorized, "invented", "/safe/")
	s.setDown(true)
	s.publish(accountsOf(2, "a", accountWithKeys("firm", "key", "new")))
	eventually(t, "the store is lost", func() bool { return !a.follower.readsStore() })
	eventually(t, "the confirmation is too old", func() bool { return a.sendAs("new", "/safe/").status == http.StatusServiceUnavailable })
	a.requireStatus(t, http.StatusOK, "key", "/safe/")
}

// Load pattern: callers use a key right after it was added, at a daemon that is cut off from the store
// and has not heard of the new version. The daemon must ask others and must not answer 401. The guard,
// which knows less than the entry, must not refuse the call either.
func TestAddedKeyIsNotRefusedByOutdatedDaemon(t *testing.T) {
	s := newStore(accountsOf(1, "b", accountWithKeys("firm", "key")))
	a, b, c := startReady(t, s, "a", "a1"), startReady(t, s, "b", "b1"), startReady(t, s, "a", "a2")
	for _, m := range []*member{a, b, c} {
		m.waitForCandidates(t, "a", 2)
		m.waitForCandidates(t, "b", 1)
	}
	a.requireStatus(t, http.StatusUnauthorized, "added", "/safe/")
	a.keepBehind()
	b.keepBehind()
	s.publish(accountsOf(2, "b", accountWithKeys("firm", "key"), accountWithKeys("new", "added")))
	eventually(t, "the new version", func() bool { return c.config.version() == 2 })
	require.EqualValues(t, 1, a.config.version())
	// The refusal above was confirmed by version 1, and holds for that long.
	eventually(t, "the key is known", func() bool { return a.sendAs("added", "/safe/").status == http.StatusOK })
	require.EqualValues(t, 1, b.config.version())
	received := b.upstream.requests()
	require.Equal(t, "new", received[len(received)-1].Header.Get("T-Account"))
}

// TestKeyIsNotRefusedWithoutContact cuts a daemon off from the store and from all others. Keys of its
// version must go on. It must not claim that another key is unknown, and must say why in the log.
func TestKeyIsNotRefusedWithoutContact(t *testing.T) {
	s := newStore(accountsOf(1, "a", accountWithKeys("firm", "key")))
	recorder := &logRecorder{}
	a, b := startWithLog(t, s, "a1", recorder), startReady(t, s, "a", "a2")
	a.waitForCandidates(t, "a", 2)
	a.source.disconnected.Store(true)
	s.publish(accountsOf(1, "a", accountWithKeys("firm", "key"))) // wakes the source of a
	b.kill()
	eventually(t, "the store is lost", func() bool { return !a.follower.readsStore() })
	r := a.requireStatus(t, http.StatusServiceUnavailable, "added", "/safe/")
	require.NotEmpty(t, r.header.Get("Retry-After"))
	a.requireStatus(t, http.StatusOK, "key", "/safe/")
	refused := recorder.ofKind(decision.Refused)
	require.NotEmpty(t, refused)
	require.Equal(t, causeUnconfirmed, refused[len(refused)-1]["cause"])
}

// Load pattern: a flood of requests with invented keys. The number of checks must be bounded by time,
// not by requests.
func TestFloodOfInventedKeysCostsFewChecks(t *testing.T) {
	s := newStore(accountsOf(1, "a", accountWithKeys("firm", "key")))
	a, b := startReady(t, s, "a", "a1"), startReady(t, s, "a", "a2")
	a.waitForCandidates(t, "a", 2)
	b.waitForCandidates(t, "a", 2)
	started := time.Now()
	var wg sync.WaitGroup
	statuses := make([]int, 300)
	for i := range statuses {
		wg.Go(func() { statuses[i] = a.sendAs(fmt.Sprint("invented-", i), "/safe/").status })
	}
	wg.Wait()
	for _, status := range statuses {
		require.Equal(t, http.StatusUnauthorized, status)
	}
	checks := int64(0)
	for _, c := range a.scope.Snapshot().Counters() {
		if c.Name() == "key_checks" {
			checks += c.Value()
		}
	}
	require.LessOrEqual(t, checks, int64(time.Since(started)/account.RecheckInterval)+1)
}

// blockRuns makes an upstream hold all runs until the returned function is called.
func (u *upstream) blockRuns() (release func()) {
	released := make(chan struct{})
	u.setHandler(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-released:
		case <-r.Context().Done():
		}
		respondOK(w, u.id)
	})
	return sync.OnceFunc(func() { close(released) })
}

// sendInBackground sends a request with a key and returns a channel for the response.
func (m *member) sendInBackground(key, path string) <-chan callerResponse {
	responses := make(chan callerResponse, 1)
	go func() { responses <- m.sendAs(key, path) }()
	return responses
}

func (g *guard) runningAndWaiting() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Running(), g.queue.Waiting()
}

// fill occupies all slots of an upstream with requests of a key, and returns their responses.
func (m *member) fill(t *testing.T, target *member, key string) []<-chan callerResponse {
	t.Helper()
	var responses []<-chan callerResponse
	target.guard.mu.Lock()
	limit := target.guard.queue.Limit()
	target.guard.mu.Unlock()
	for range limit {
		responses = append(responses, m.sendInBackground(key, "/unsafe/"))
	}
	eventually(t, "all slots are taken", func() bool { running, _ := target.guard.runningAndWaiting(); return running == limit })
	return responses
}

// Load pattern: all slots of the only upstream are taken, and requests wait for it when their key is
// removed. They must leave the queue at once with status 401 and must not run, also if the entry has
// not heard of the new version. Requests that run already go on, and so do those of other keys.
func TestRemovedKeyStopsWaitingRequests(t *testing.T) {
	for name, outdatedEntry := range map[string]bool{"entry knows the new version": false, "entry is outdated": true} {
		t.Run(name, func(t *testing.T) {
			s := newStore(accountsOf(1, "b", accountWithKeys("firm", "key", "kept")))
			a, b := startReady(t, s, "a", "a1"), startReady(t, s, "b", "b1")
			a.waitForCandidates(t, "b", 1)
			b.waitForCandidates(t, "b", 1)
			release := b.upstream.blockRuns()
			defer release()
			running := a.fill(t, b, "key")
			remote, local := a.sendInBackground("key", "/safe/"), b.sendInBackground("key", "/unsafe/")
			kept := a.sendInBackground("kept", "/safe/")
			const waitingCount = 3
			eventually(t, "requests wait", func() bool { _, waiting := b.guard.runningAndWaiting(); return waiting == waitingCount })
			if outdatedEntry {
				a.keepBehind()
			}
			s.publish(accountsOf(2, "b", accountWithKeys("firm", "kept")))
			for _, waiting := range []<-chan callerResponse{remote, local} {
				r := <-waiting
				require.NoError(t, r.err)
				require.Equal(t, http.StatusUnauthorized, r.status)
			}
			ran := len(b.upstream.requests())
			release()
			for _, response := range append(running, kept) {
				require.Equal(t, http.StatusOK, (<-response).status)
			}
			require.Len(t, b.upstream.requests(), ran+1, "only the request of the kept key starts")
			if !outdatedEntry {
				a.requireStatus(t, http.StatusUnauthorized, "key", "/safe/")
			}
		})
	}
}

// TestKeyOfOtherAccountIsNotRefused moves a key to another account while a request of the key waits.
// The request must not run as one of its former account. It may be sent again.
func TestKeyOfOtherAccountIsNotRefused(t *testing.T) {
	s := newStore(accountsOf(1, "b", accountWithKeys("firm", "key"), accountWithKeys("other", "x")))
	a, b := startReady(t, s, "a", "a1"), startReady(t, s, "b", "b1")
	a.waitForCandidates(t, "b", 1)
	release := b.upstream.blockRuns()
	defer release()
	a.fill(t, b, "x")
	waiting := a.sendInBackground("key", "/safe/")
	eventually(t, "the request waits", func() bool { _, waiting := b.guard.runningAndWaiting(); return waiting == 1 })
	s.publish(accountsOf(2, "b", accountWithKeys("firm"), accountWithKeys("other", "x", "key")))
	require.Equal(t, http.StatusServiceUnavailable, (<-waiting).status)
	release()
	a.requireStatus(t, http.StatusOK, "key", "/safe/")
	received := b.upstream.requests()
	require.Equal(t, "other", received[len(received)-1].Header.Get("T-Account"))
}

// TestKeyIsCheckedBeforeEachAttempt removes a key while the first attempt of a request runs, which then
// fails. There must be no second attempt.
func TestKeyIsCheckedBeforeEachAttempt(t *testing.T) {
	s := newStore(accountsOf(1, "b", accountWithKeys("firm", "key")))
	a := startReady(t, s, "a", "a1")
	upstreams := []*member{startReady(t, s, "b", "b1"), startReady(t, s, "b", "b2")}
	a.waitForCandidates(t, "b", len(upstreams))
	for _, m := range upstreams {
		m.upstream.setHandler(func(w http.ResponseWriter, r *http.Request) {
			s.publish(accountsOf(2, "b", accountWithKeys("firm")))
			for a.config.version() < 2 && r.Context().Err() == nil {
				time.Sleep(time.Millisecond)
			}
			shedRequest(w, r)
		})
	}
	a.requireStatus(t, http.StatusUnauthorized, "key", "/safe/")
	require.Equal(t, 1, len(upstreams[0].upstream.requests())+len(upstreams[1].upstream.requests()))
}

// TestRestartWithStoreDownKnowsKeys restarts a daemon while the store is down. It must take the keys
// from another daemon: those added since its start must work, those removed must not.
func TestRestartWithStoreDownKnowsKeys(t *testing.T) {
	s := newStore(accountsOf(1, "a", accountWithKeys("firm", "removed")))
	a, b := startReady(t, s, "a", "a1"), startReady(t, s, "a", "a2")
	a.waitForCandidates(t, "a", 2)
	b.waitForCandidates(t, "a", 2)
	s.publish(accountsOf(2, "a", accountWithKeys("firm", "added")))
	eventually(t, "the new version", func() bool { return a.config.version() == 2 && b.config.version() == 2 })
	b.kill()
	s.setDown(true)
	o := b.opts
	o.Bootstrap = false
	o.Directory = &directoryOf{entries: []DirectoryEntry{{Address: a.opts.Addresses.Peers, Zone: "z"}}}
	restarted := startDaemon(t, o, s)
	restarted.Report(readyReport("a2", 1, 1, "a"))
	restarted.waitForCandidates(t, "a", 2)
	restarted.requireStatus(t, http.StatusOK, "added", "/safe/")
	restarted.requireStatus(t, http.StatusUnauthorized, "removed", "/safe/")
}

// directoryOf is a Directory that lists fixed entries.
type directoryOf struct{ entries []DirectoryEntry }

func (d *directoryOf) Announce(context.Context, DirectoryEntry) error { return nil }
func (d *directoryOf) List(context.Context) ([]DirectoryEntry, error) { return d.entries, nil }
func (d *directoryOf) Remove(context.Context, string) error           { return nil }

// TestInvalidAccountsKeepVersionInForce publishes a version in which two accounts share a key. It must
// be refused, and the log must name the account and not the key.
func TestInvalidAccountsKeepVersionInForce(t *testing.T) {
	s := newStore(accountsOf(1, "a", accountWithKeys("firm", "secret-1")))
	recorder := &logRecorder{}
	a := startWithLog(t, s, "a1", recorder)
	a.waitForCandidates(t, "a", 1)
	s.publish(accountsOf(2, "a", accountWithKeys("firm", "secret-1", "secret-2"), accountWithKeys("twin", "secret-2")))
	eventually(t, "the version is refused", func() bool { return len(recorder.ofKind(decision.ConfigRefused)) == 1 })
	require.Contains(t, recorder.ofKind(decision.ConfigRefused)[0]["error"], `client account "twin": keys`)
	a.requireStatus(t, http.StatusOK, "secret-1", "/safe/")
	require.EqualValues(t, 1, a.config.version())
}

// Load pattern: all slots are taken, and requests of accounts of different priorities wait. Those of
// the higher priority must start first, whatever the ranks of their routes.
func TestAccountPriorityPrecedesRouteRank(t *testing.T) {
	low, high := account.Account{Name: "low", Keys: []string{"l"}, Priority: 1}, account.Account{Name: "high", Keys: []string{"h"}}
	doc := accountsOf(1, "b", low, high)
	doc.Routes[0].Rank, doc.Routes[1].Rank = 0, 1
	s := newStore(doc)
	a, b := startReady(t, s, "a", "a1"), startReady(t, s, "b", "b1")
	a.waitForCandidates(t, "b", 1)
	release := b.upstream.blockRuns()
	defer release()
	a.fill(t, b, "h")
	rankOfWaiting := func(key, path string) int {
		_, before := b.guard.runningAndWaiting()
		a.sendInBackground(key, path)
		eventually(t, "the request waits", func() bool { _, waiting := b.guard.runningAndWaiting(); return waiting == before+1 })
		b.guard.mu.Lock()
		defer b.guard.mu.Unlock()
		return b.guard.waiters[b.guard.lastItemID].call.Rank
	}
	lowRank, highRank := rankOfWaiting("l", "/safe/"), rankOfWaiting("h", "/unsafe/")
	require.Greater(t, lowRank, highRank)
	require.Equal(t, 1, highRank, "a route's rank counts as before for accounts of priority 0")
}

// TestLoadQueryClampsRank checks that a rank that does not fit into a load query counts as the last.
func TestLoadQueryClampsRank(t *testing.T) {
	for rank, want := range map[int]int{0: 0, maxUint8: maxUint8, maxUint8 + 1: maxUint8, 1 << 20: maxUint8, -1: 0} {
		got := decodeLoadQuery(loadQueryMessage{rank: rank}.appendTo(make([]byte, datagramHeaderBytes)))
		require.Equal(t, want, got.rank)
	}
}

// TestAccountEncodingRoundTrip encodes and decodes the accounts of calls. The value must be valid in a
// header.
func TestAccountEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Call{
			Account: account.Name(rapid.StringN(1, 40, -1).Draw(t, "name")), Credential: account.Credential(rapid.Uint64().Draw(t, "credential")),
			AccountVersion: model.Version(rapid.Uint64().Draw(t, "version")),
		}
		var got Call
		encoded := want.encodeAccount()
		require.NoError(t, got.decodeAccount(encoded))
		require.Equal(t, want, got)
		require.Regexp(t, `^[!-~]+ [!-~]+ [!-~]+$`, encoded)
	})
	for _, s := range []string{"a", "a 1", "a 1 1 1", " 1 1", "a x 1", "a 1 x", "%zz 1 1", "a 1 -1"} {
		require.ErrorAs(t, (&Call{}).decodeAccount(s), new(*FieldError), s)
	}
}

// TestCallWithoutAccountIsSentAsBefore compares the bytes of a call without an account with those that
// daemons without client accounts send.
func TestCallWithoutAccountIsSentAsBefore(t *testing.T) {
	want := []string{
		"", "Authorization: Bearer key", "Content-Length: 3", "Dt-Limit: 2.5", "Dt: r1 1 b a i-1 7 false 2 3000 400 500 600 9",
		"Host: h", "POST /unsafe/ HTTP/1.1", "T-Id: r1", "X-Tenant: own", "pay",
	}
	numBytes := len(strings.Join(want, "\r\n"))
	c := &Call{
		ID: "r1", AttemptIndex: 1, Method: http.MethodPost, Target: "/unsafe/", Host: "h",
		Header: http.Header{"T-Id": {"r1"}, "Authorization": {"Bearer key"}, "X-Tenant": {"own"}}, Body: []byte("pay"),
		Service: "b", Caller: "a", Upstream: lifecycle.Incarnation{ID: "i-1", Born: 7}, Rank: 2, Kind: 9,
		ServiceTime: 3 * time.Millisecond, TimeToTarget: 400 * time.Millisecond, Deadline: 500 * time.Millisecond, Alternative: 600 * time.Millisecond,
		RateLimit: RateLimit{Limited: true, PerSecond: 2.5},
	}
	require.Equal(t, want, sentLines(t, c, numBytes))
	c.Account, c.Credential, c.AccountVersion = "firm", 0xab, 3
	require.Contains(t, sentLines(t, c, numBytes+1), "Dt-Account: firm ab 3")
}

// sentLines returns the lines that are sent for a call, sorted, since the order of headers is random. It
// waits for n bytes at least.
func sentLines(t *testing.T, c *Call, n int) []string {
	t.Helper()
	ln, err := net.Listen("tcp", unusedAddress(t))
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	received := make(chan string, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		b := make([]byte, 1<<12)
		got, _ := io.ReadAtLeast(conn, b, n)
		received <- string(b[:got])
	}()
	d := &Daemon{}
	d.peers = newPeers(Record{}, func() model.Instant { return 0 }, nil)
	e := &entry{daemon: d}
	go func() {
		_, _ = e.sendOnConnection(t.Context(), newPeerPool(ln.Addr().String()), &attemptState{acknowledged: make(chan struct{})}, c)
	}()
	lines := strings.Split(<-received, "\r\n")
	slices.Sort(lines)
	return lines
}

// TestKeysAppearNowhere sends requests whose keys are valid, invented, removed while the request waits,
// and of an invalid version. No key may be in a log line, a metric or a response.
func TestKeysAppearNowhere(t *testing.T) {
	const secret = "secret"
	s := newStore(accountsOf(1, "a", accountWithKeys("firm", secret+"-1", secret+"-2")))
	var output syncBuffer
	logger := slog.NewJSONHandler(&output, &slog.HandlerOptions{Level: slog.LevelDebug})
	m := startReadyWith(t, s, "a", "a1", func(o *Options) {
		o.Decisions = decision.New(decision.Options{Handler: logger})
		o.Logger = slog.New(logger)
	})
	other := startReady(t, s, "a", "a2")
	m.waitForCandidates(t, "a", 2)
	var responses []callerResponse
	for _, key := range []string{secret + "-1", secret + "-2", secret + "-3"} {
		for _, path := range []string{"/safe/", "/unsafe/", "/open/", "/none/"} {
			responses = append(responses, m.sendAs(key, path), m.sendAs(key, path, "T-Deadline", "1"), m.sendAs(key, path, "T-Id", ""))
		}
	}
	hangUps := func(w http.ResponseWriter, r *http.Request) { hangUp(w, r) }
	m.upstream.setHandler(hangUps)
	other.upstream.setHandler(hangUps)
	responses = append(responses, m.sendAs(secret+"-1", "/unsafe/"), m.sendAs(secret+"-1", "/safe/"))
	s.publish(accountsOf(2, "a", accountWithKeys("firm", secret+"-1"), accountWithKeys("twin", secret+"-1")))
	s.publish(accountsOf(3, "a", accountWithKeys("firm", secret+"-4")))
	eventually(t, "the new version", func() bool { return m.config.version() == 3 })
	responses = append(responses, m.sendAs(secret+"-1", "/safe/"))
	m.kill()
	for _, r := range responses {
		require.NotContains(t, fmt.Sprint(r), secret)
	}
	require.NotContains(t, output.String(), secret)
	require.Contains(t, output.String(), `"account":"firm"`)
	require.Contains(t, output.String(), causeUnknownKey)
	snapshot, err := json.Marshal(m.scope.Snapshot())
	require.NoError(t, err)
	require.NotContains(t, string(snapshot), secret)
}

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// TestRefusalsOfKeysAreCountedByCause checks that the number of series does not grow with accounts or
// keys.
func TestRefusalsOfKeysAreCountedByCause(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newMetrics(scope)
	for _, cause := range []string{causeNoKey, causeUnknownKey, causeUnconfirmed, causeKeyRemoved, "", "other"} {
		m.countKeyRefusal(cause)
	}
	series := 0
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == "keys_refused" {
			series++
			require.EqualValues(t, 1, c.Value(), c.Tags())
		}
	}
	require.Equal(t, 4, series)
}
