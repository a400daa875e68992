package sidecar

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/evacuation"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// evacuate makes a daemon learn a state of the evacuations as if from the store.
func (m *member) evacuate(version uint64, zones ...model.AvailabilityZone) {
	m.follower.ReceiveEvacuations(evacuation.State{Version: version, Zones: zones})
}

// waitForEvacuations waits until a daemon has a version of the evacuations.
func (m *member) waitForEvacuations(t *testing.T, version uint64) {
	t.Helper()
	eventually(t, "evacuations", func() bool { return m.evacuations.current().Version == version })
}

// TestEvacuationReachesAllDaemons has one daemon learn that a zone is evacuated and later taken back.
// All daemons must learn it from each other. Meanwhile no upstream of the zone gets a request.
func TestEvacuationReachesAllDaemons(t *testing.T) {
	const daemonsPerZone = 4
	s := newStore(documentOf(1, "b"))
	var members []*member
	for _, zone := range []model.AvailabilityZone{"x", "y"} {
		for i := range daemonsPerZone {
			members = append(members, startInZone(t, s, zone, "b", string(zone)+string(rune('0'+i))))
		}
	}
	for _, m := range members {
		m.waitForCandidates(t, "b", 2*daemonsPerZone)
	}
	members[0].evacuate(7, "x")
	for _, m := range members {
		m.waitForEvacuations(t, 7)
		m.waitForCandidates(t, "b", daemonsPerZone)
	}
	for _, m := range members {
		status, body := m.get(t, "/safe/")
		require.Equal(t, http.StatusOK, status)
		require.Contains(t, body, "answer of y")
	}
	members[2*daemonsPerZone-1].evacuate(9)
	for _, m := range members {
		m.waitForEvacuations(t, 9)
		m.waitForCandidates(t, "b", 2*daemonsPerZone)
	}
	members[1].evacuate(8, "x")
	require.Empty(t, members[1].evacuations.current().Zones, "a stale read")
}

// TestGuardEnforcesEvacuation sends calls to the guard of an evacuated zone, as an entry does that has
// not heard of the evacuation. Calls that wait must be returned with the proof that they have not run,
// a running one must end.
func TestGuardEnforcesEvacuation(t *testing.T) {
	m := startReady(t, newStore(documentOf(1, "a")), "a", "a1")
	release := make(chan struct{})
	m.upstream.setHandler(func(w http.ResponseWriter, _ *http.Request) { <-release; respondOK(w, "a1") })
	limit := m.guard.currentLoad().Limit
	results := make(chan *Result, limit+1)
	for i := range limit + 1 {
		go func() {
			results <- m.guard.Do(context.Background(), &Call{
				ID: string(rune('a' + i)), Method: http.MethodPost, Target: "/unsafe/", Host: "h", Header: http.Header{}, Service: "a",
				Upstream: m.peers.localRecord().Upstream, Deadline: 10 * time.Second, ServiceTime: time.Millisecond,
			})
		}()
	}
	eventually(t, "one call waits", func() bool { l := m.guard.currentLoad(); return l.Running == limit && l.Waiting == 1 })
	m.evacuate(3, "z")
	require.Equal(t, outcome.NotRun, (<-results).Outcome.Kind)
	result := m.guard.Do(t.Context(), &Call{ID: "z", Service: "a", Upstream: m.peers.localRecord().Upstream, Deadline: time.Second, Header: http.Header{}})
	require.Equal(t, outcome.NotRunBecause(outcome.ReasonDraining), result.Outcome)
	close(release)
	for range limit {
		require.Equal(t, outcome.Answered, (<-results).Outcome.Kind)
	}
	status, body := m.get(t, "/safe/")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, string(outcome.ReasonEvacuated))
	m.evacuate(4)
	status, _ = m.get(t, "/safe/")
	require.Equal(t, http.StatusOK, status)
}

// TestRestartDuringEvacuation restarts a daemon while its zone is evacuated and the store is down. The
// daemon must know of the evacuation before its guard lets a call start.
func TestRestartDuringEvacuation(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a, b := startInZone(t, s, "x", "a", "a1"), startInZone(t, s, "y", "b", "b1")
	a.waitForCandidates(t, "b", 1)
	a.evacuate(5, "y")
	b.waitForEvacuations(t, 5)
	s.setDown(true)
	b.kill()
	a.peers.reportUnreachable(b.opts.Addresses.Peers, errStoreDown) // as a failed call would
	o := b.opts
	o.Bootstrap = false
	restarted := startDaemon(t, o, s)
	require.EqualValues(t, 5, restarted.evacuations.current().Version)
	restarted.Report(readyReport("b1", 1, 9, "b"))
	result := restarted.guard.Do(t.Context(), &Call{ID: "r", Service: "b", Upstream: readyReport("b1", 1, 9, "b").Incarnation, Deadline: time.Second, Header: http.Header{}})
	require.Equal(t, outcome.NotRunBecause(outcome.ReasonDraining), result.Outcome)
}

// TestMalformedEvacuationsAreIgnored guards against a message that makes a daemon forget evacuations.
func TestMalformedEvacuationsAreIgnored(t *testing.T) {
	m := startReady(t, newStore(documentOf(1, "a")), "a", "a1")
	m.evacuate(3, "q")
	m.evacuations.receiveMessage([]byte{1, 2, 3}, "other")
	h := http.Header{}
	h.Set(evacuationsHeader, "%%%")
	m.evacuations.receiveHeader(h, "other")
	m.datagrams.handleEvacuations(datagram{raw: make([]byte, datagramHeaderBytes+4)})
	require.Equal(t, evacuation.State{Version: 3, Zones: []model.AvailabilityZone{"q"}}, m.evacuations.current())
}
