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

// replaceWith ends a daemon without a word and starts another one under its address,
// beside an upstream of another service.
func replaceDaemon(t *testing.T, s *store, m *member, id string) *member {
	t.Helper()
	m.kill()
	eventually(t, "the address is free", func() bool { return isFree(m.opts.Addresses.Peers) })
	up := newUpstream(t, id)
	o := optionsFor(t, s, up, "c")
	o.Addresses.Peers = m.opts.Addresses.Peers
	n := start(t, o, s)
	n.up = up
	n.Report(ready(id, 2, 1, "c"))
	return n
}

// isFree reports whether datagrams can be taken at an address. A write under way keeps the
// socket of a daemon for a moment after its end.
func isFree(address string) bool {
	conn, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

// tryAt returns an attempt at the only upstream of a service, as the entry sees it now.
func attemptTo(t *testing.T, m *member) *try {
	t.Helper()
	ups, targets := m.peers.candidates("b")
	require.Len(t, ups, 1)
	return &try{
		choice: placement.Choice{Upstream: ups[0]}, endpoint: targets[ups[0].Key], acknowledged: make(chan struct{}),
	}
}

// TestOnlyTheGuardThatGotACallProvesAnything replaces the VM of a guard. The daemon
// that has its address afterwards never heard of the call, which proves nothing.
func TestReplacedDaemonProvesNothing(t *testing.T) {
	for name, c := range map[string]struct {
		replace bool
		want    outcome.Kind
	}{
		"the guard that was called": {false, outcome.NotRun},
		"another at its address":    {true, outcome.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStore(documentOf(1, "b"))
			a, b := join(t, s, "a", "a1"), join(t, s, "b", "b1")
			a.knows(t, "b", 1)
			try := attemptTo(t, a)
			if c.replace {
				replaceDaemon(t, s, b, "c1")
			}
			call := &Call{ID: "x", Method: http.MethodPost, Service: "b", Deadline: time.Minute}
			got, _ := a.entry.queryOutcome(t.Context(), a.peers.pool(try.endpoint.address), try, call)
			require.Equal(t, c.want, got.Outcome.Kind)
		})
	}
}

// TestLoadIsOfTheUpstreamAskedAbout replaces the VM of a guard: the load of the
// upstream that is there now is not that of the one before.
func TestLoadIsOfTheQueriedUpstream(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a, b := join(t, s, "a", "a1"), join(t, s, "b", "b1")
	a.knows(t, "b", 1)
	try := attemptTo(t, a)
	question := inquiry{
		ups: []placement.Upstream{try.choice.Upstream}, wait: time.Second,
		late: func(heard) {}, tooFar: func(placement.Upstream) bool { return false },
	}
	require.Len(t, a.datagrams.ask(question), 1)
	c := replaceDaemon(t, s, b, "c1")
	question.wait = 100 * time.Millisecond
	require.Empty(t, a.datagrams.ask(question))
	call := &Call{
		ID: "x", Method: http.MethodGet, Target: "/safe/", Host: "h", Header: http.Header{}, Service: "b",
		Upstream: try.endpoint.upstream, Idempotent: true, Deadline: time.Second,
	}
	got := c.guard.Do(t.Context(), call)
	require.Equal(t, outcome.ReasonNoUpstream, got.Outcome.Reason)
	require.Nil(t, got.Load, "it is another upstream's")
}
