package sidecar

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/account"
)

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
			ran := len(running)
			eventually(t, "the upstream has received the running requests", func() bool { return len(b.upstream.requests()) == ran })
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
