package sidecar

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/placement"
)

// replaceDaemon kills a daemon and starts another one at its address, with an upstream of
// a different service.
func replaceDaemon(t *testing.T, s *store, m *member, id string) *member {
	t.Helper()
	m.kill()
	eventually(t, "the address is free", func() bool { return isFree(m.opts.Addresses.Peers) })
	up := newUpstream(t, id)
	o := optionsFor(t, s, up, "c")
	o.Addresses.Peers = m.opts.Addresses.Peers
	replacement := startDaemon(t, o, s)
	replacement.upstream = up
	replacement.Report(readyReport(id, 2, 1, "c"))
	return replacement
}

// isFree reports whether a UDP socket can be bound to an address. After a daemon has ended, a
// write in progress can keep its socket open for a moment.
func isFree(address string) bool {
	conn, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

// attemptTo returns an attempt at the only upstream of service b that a daemon knows.
func attemptTo(t *testing.T, m *member) *attemptState {
	t.Helper()
	upstreams, endpoints := m.peers.candidates("b", 0)
	require.Len(t, upstreams, 1)
	return &attemptState{
		choice: placement.Choice{Upstream: upstreams[0]}, endpoint: endpoints[upstreams[0].Key], acknowledged: make(chan struct{}),
	}
}

// TestReplacedDaemonYieldsUnknownOutcome asks for the outcome of an attempt after the daemon that
// it was sent to has been replaced by another one at the same address. The new daemon has never
// received the call, so its statement that the call has not run would prove nothing. The outcome
// must be unknown. Without the replacement, the outcome must be that the call has not run.
func TestReplacedDaemonYieldsUnknownOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		replace bool
		want    outcome.Kind
	}{
		"same guard":                    {false, outcome.NotRun},
		"another daemon at the address": {true, outcome.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStore(documentOf(1, "b"))
			a, b := startReady(t, s, "a", "a1"), startReady(t, s, "b", "b1")
			a.waitForCandidates(t, "b", 1)
			attempt := attemptTo(t, a)
			if c.replace {
				replaceDaemon(t, s, b, "c1")
			}
			call := &Call{ID: "x", Method: http.MethodPost, Service: "b", Deadline: time.Minute}
			result, _ := a.entry.queryOutcome(t.Context(), a.peers.pool(attempt.endpoint.address), attempt, call)
			require.Equal(t, c.want, result.Outcome.Kind)
		})
	}
}

// TestLoadIsOfTheQueriedUpstream replaces the daemon and the upstream at an address. The load of the
// new upstream must not be attributed to the previous upstream, neither by a load query nor by the
// result of a call.
func TestLoadIsOfTheQueriedUpstream(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a, b := startReady(t, s, "a", "a1"), startReady(t, s, "b", "b1")
	a.waitForCandidates(t, "b", 1)
	attempt := attemptTo(t, a)
	query := loadQuery{
		upstreams: []placement.Upstream{attempt.choice.Upstream}, timeout: time.Second,
		onLate: func(queryReply) {}, tooFar: func(placement.Upstream) bool { return false },
	}
	require.Len(t, a.datagrams.queryLoads(query), 1)
	c := replaceDaemon(t, s, b, "c1")
	query.timeout = 100 * time.Millisecond
	require.Empty(t, a.datagrams.queryLoads(query))
	call := &Call{
		ID: "x", Method: http.MethodGet, Target: "/safe/", Host: "h", Header: http.Header{}, Service: "b",
		Upstream: attempt.endpoint.upstream, Idempotent: true, Deadline: time.Second,
	}
	got := c.guard.Do(t.Context(), call)
	require.Equal(t, outcome.ReasonNoUpstream, got.Outcome.Reason)
	require.Nil(t, got.Load, "the load belongs to another upstream")
}
