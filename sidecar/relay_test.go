package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/decision"
)

// joinZone starts a daemon in a zone.
func startInZone(t *testing.T, s *store, zone model.AvailabilityZone, service model.ServiceName, id string) *member {
	t.Helper()
	up := newUpstream(t, id)
	o := optionsFor(t, s, up, service)
	o.Zone = zone
	m := start(t, o, s)
	m.up = up
	m.Report(ready(id, 1, 1, service))
	return m
}

// TestChangesReachOtherZones has few daemons of a zone told, and all of them know.
func TestChangesReachOtherZones(t *testing.T) {
	const perZone = 4
	s := newStore(documentOf(1, "b"))
	var all []*member
	for _, zone := range []model.AvailabilityZone{"x", "y"} {
		for i := range perZone {
			all = append(all, startInZone(t, s, zone, "b", fmt.Sprint(zone, i)))
		}
	}
	for _, m := range all {
		m.knows(t, "b", 2*perZone)
	}
	all[0].Leave(lifecycle.Incarnation{ID: "x0", Born: 1})
	for _, m := range all {
		m.knows(t, "b", 2*perZone-1)
	}
}

// TestMissedChangesAreLearned has a daemon of another zone miss a change.
func TestMissedChangesAreRepaired(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a, b, c := startInZone(t, s, "x", "b", "x1"), startInZone(t, s, "y", "b", "y1"), startInZone(t, s, "y", "b", "y2")
	for _, m := range []*member{a, b, c} {
		m.knows(t, "b", 3)
	}
	changed := a.peers.self()
	changed.Sequence += 5
	changed.State = lifecycle.Draining
	b.peers.merge([]Record{changed}) // as if only b had heard of it
	c.knows(t, "b", 2)
}

// tellings counts the daemons that are told, by zone.
type pushCounts struct {
	mu     sync.Mutex
	byZone map[string]int
}

func (t *pushCounts) count(zone string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byZone[zone]
}

// TestTellingGrowsWithZones changes the record of one daemon among many: the daemons of
// its zone are told, and as many of each other zone at every size.
func TestAnnouncementsGrowWithZones(t *testing.T) {
	const zones = 5
	zoneOf := func(i int) string { return fmt.Sprint("z", i%zones) }
	for _, n := range []int{10, 100, 300, 1000} {
		t.Run(fmt.Sprint(n, " daemons"), func(t *testing.T) {
			pushes := &pushCounts{byZone: make(map[string]int)}
			now := func() model.Instant { return 0 }
			p := newPeers(Record{Address: "d0", Incarnation: 1, Sequence: 1, Zone: model.AvailabilityZone(zoneOf(0))}, now, decision.New(decision.Options{Handler: slog.DiscardHandler}))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			p.ctx = ctx
			p.asked = fullAsks
			zoneAt := make(map[string]string)
			for i := 1; i < n; i++ {
				r := Record{Address: fmt.Sprint("d", i), Incarnation: 1, Sequence: 1, Zone: model.AvailabilityZone(zoneOf(i))}
				zoneAt[r.Address] = zoneOf(i)
				p.merge([]Record{r})
			}
			p.pushByDatagram = func(address string, _ Record) bool {
				pushes.mu.Lock()
				defer pushes.mu.Unlock()
				pushes.byZone[zoneAt[address]]++
				return true
			}
			p.updateLocal(func(r *Record) { r.State = lifecycle.Draining })
			zonePeers := (n+zones-1)/zones - 1
			eventually(t, "all near", func() bool { return pushes.count(zoneOf(0)) == zonePeers })
			for z := 1; z < zones; z++ {
				eventually(t, "relays", func() bool { return pushes.count(zoneOf(z)) == min(relaysPerZone, n/zones) })
			}
		})
	}
}

// TestRelayPacksRecords has records that come together travel together.
func TestRelayPacksRecords(t *testing.T) {
	const records = 60
	var mu sync.Mutex
	got := make(map[string]map[string]bool)
	messages := 0
	r := &relay{
		zonePeers: func() []string { return []string{"a", "b"} },
		send: func(address string, body []byte) {
			mu.Lock()
			defer mu.Unlock()
			messages++
			if got[address] == nil {
				got[address] = make(map[string]bool)
			}
			for _, rec := range unpackRecords(body) {
				got[address][rec.Address] = true
			}
		},
	}
	for i := range records {
		r.add(Record{Address: fmt.Sprint("10.0.0.", i, ":7000"), Incarnation: 1, Sequence: 2, Zone: "far", Service: "s", State: lifecycle.Ready})
	}
	eventually(t, "all arrive", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(got["a"]) == records && len(got["b"]) == records
	})
	mu.Lock()
	defer mu.Unlock()
	require.LessOrEqual(t, messages, 2*records/5)
}

// TestComparisonsEnd has two daemons with equal records send none.
func TestEqualRecordsHaveEqualDigests(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a, b := join(t, s, "b", "b1"), join(t, s, "b", "b2")
	a.knows(t, "b", 2)
	b.knows(t, "b", 2)
	eventually(t, "equal records", func() bool { return a.peers.digest() == b.peers.digest() })
	changed := a.peers.digest()
	changed[3]++
	require.NotEqual(t, changed, b.peers.digest())
	require.Empty(t, unpackRecords([]byte("{broken")))
}

// TestOneRelayIsEnough has another relay of the zone hand a record on first.
func TestRelaySkipsRecordsSentByAnother(t *testing.T) {
	const seq = 5
	for name, c := range map[string]struct {
		relayed []Record
		sent    int
	}{
		"none before":    {nil, 1},
		"the same":       {[]Record{{Address: "far", Incarnation: 1, Sequence: seq}}, 0},
		"a newer one":    {[]Record{{Address: "far", Incarnation: 1, Sequence: seq + 1}}, 0},
		"an older one":   {[]Record{{Address: "far", Incarnation: 1, Sequence: seq - 1}}, 1},
		"another record": {[]Record{{Address: "other", Incarnation: 1, Sequence: seq}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent := 0
				r := &relay{
					zonePeers: func() []string { return []string{"a"} },
					send:      func(string, []byte) { sent++ },
				}
				r.add(Record{Address: "far", Incarnation: 1, Sequence: seq})
				r.relayed(c.relayed)
				time.Sleep(relayDelay + relayJitter)
				synctest.Wait()
				require.Equal(t, c.sent, sent)
			})
		})
	}
}
