package sidecar

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/route"
)

// TestLeavingReachesTheOthers has the other daemons choose elsewhere.
func TestLeavingUpstreamIsAnnounced(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a := join(t, s, "a", "a1")
	b1 := join(t, s, "b", "b1")
	join(t, s, "b", "b2")
	a.knows(t, "b", 2)
	s.setDown(true)
	b1.Leave(lifecycle.Incarnation{ID: "b1"})
	a.knows(t, "b", 1)
}

// TestConfiguration holds versions to rise, whatever the store shows.
func TestConfigVersionsOnlyRise(t *testing.T) {
	s := newStore(documentOf(5, "a"))
	a := join(t, s, "a", "a1")
	for name, doc := range map[string]route.Document{
		"an older one":    documentOf(4, "x"),
		"the same":        documentOf(5, "x"),
		"none":            {},
		"one that cannot": {Version: 9, Routes: []route.Route{{Name: "r", Host: "h", Prefix: "no-slash", MaxAttempts: 1}}},
	} {
		s.publish(doc)
		status, _ := a.get(t, "/safe/")
		require.Equal(t, http.StatusOK, status, name)
	}
	a.config.apply([]byte("unreadable"), "test")
	require.EqualValues(t, 5, a.config.version())
	s.publish(documentOf(6, "x"))
	eventually(t, "the newer one", func() bool { return a.config.version() == 6 })
}

// TestConfigurationComesFromPeers cuts one daemon from the store.
func TestConfigurationComesFromPeers(t *testing.T) {
	s := newStore(documentOf(1, "a"))
	a, b := join(t, s, "a", "a1"), join(t, s, "a", "a2")
	a.knows(t, "a", 2)
	b.knows(t, "a", 2)
	b.source.disconnected.Store(true)
	s.publish(documentOf(1, "a")) // wakes its source, which finds itself cut
	time.Sleep(20 * time.Millisecond)
	s.publish(documentOf(2, "a"))
	eventually(t, "the new version", func() bool { return b.config.version() == 2 })
}

// TestRestartWhileTheStoreIsAway has the others tell a daemon that starts anew
// what it needs: the configuration, who is there, and that its upstream is
// leaving.
func TestRestartWithStoreDown(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a := join(t, s, "a", "a1")
	b := join(t, s, "b", "b1")
	c := join(t, s, "b", "b2")
	for _, m := range []*member{a, b, c} {
		m.knows(t, "b", 2)
	}
	b.Leave(lifecycle.Incarnation{ID: "b1", Born: 1})
	a.knows(t, "b", 1)
	s.setDown(true)
	b.kill()
	a.peers.missed(b.opts.Addresses.Peers, errStoreDown) // as a call would notice
	o := b.opts
	o.First = false
	restarted := start(t, o, s)
	require.EqualValues(t, 1, restarted.config.version())
	restarted.knows(t, "b", 1)
	require.Equal(t, lifecycle.Stale, restarted.Report(ready("b1", 1, 9, "b")))
}

// TestOwnRecordOutlivesAClockThatWasAhead has a daemon restart with a clock behind
// that of its former life.
func TestLocalRecordSurvivesClockSetBack(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a := join(t, s, "a", "a1")
	b := join(t, s, "b", "b1")
	a.knows(t, "b", 1)
	old := b.peers.self()
	old.Incarnation += int64(time.Hour / time.Millisecond)
	old.State = lifecycle.Draining
	a.peers.merge([]Record{old})
	a.knows(t, "b", 0)
	b.Report(ready("b1", 1, 2, "b"))
	b.peers.updateLocal(func(*Record) {})
	a.knows(t, "b", 1)
}

// TestVersionsRideOnAsks cuts a daemon from the store in silence: its long read
// hangs, and nothing tells it that the store is away.
func TestLoadQueriesCarryConfigVersion(t *testing.T) {
	s := newStore(documentOf(1, "a"))
	a, b := join(t, s, "a", "a1"), join(t, s, "a", "a2")
	a.knows(t, "a", 2)
	b.knows(t, "a", 2)
	a.config.apply(encodeDocument(documentOf(2, "a")), "test") // only a hears of it
	eventually(t, "the new version", func() bool {
		status, _ := b.get(t, "/safe/")
		require.Equal(t, http.StatusOK, status)
		return b.config.version() == 2
	})
}

// TestRecordsTravelByDatagram needs no connection to tell of a change.
func TestRecordsArePushedByDatagram(t *testing.T) {
	s := newStore(documentOf(1, "a"))
	a, b := join(t, s, "a", "a1"), join(t, s, "a", "a2")
	a.knows(t, "a", 2)
	b.knows(t, "a", 2)
	require.True(t, a.datagrams.pushRecord(b.opts.Addresses.Peers, a.peers.self()))
	old := a.peers.self()
	old.Incarnation--
	require.False(t, a.datagrams.pushRecord(b.opts.Addresses.Peers, old), "an older record gets no answer")
	require.False(t, a.datagrams.pushRecord(freePort(t), a.peers.self()), "nobody is there")
}

// TestNewVersionsSpread has one of several daemons hear of a version, and nobody
// send a request.
func TestNewVersionsSpread(t *testing.T) {
	const daemons = 4
	s := newStore(documentOf(1, "a"))
	var all []*member
	for i := range daemons {
		all = append(all, join(t, s, "a", fmt.Sprint("a", i)))
	}
	for _, m := range all {
		m.knows(t, "a", daemons)
	}
	all[0].config.apply(encodeDocument(documentOf(2, "a")), "test")
	for _, m := range all {
		eventually(t, "the new version", func() bool { return m.config.version() == 2 })
	}
}

// TestPlannedRestartWhileTheStoreIsAway has nobody call the daemon that starts
// again, as its record says that it has stopped: the others look for it.
func TestPlannedRestartWithStoreDown(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a := join(t, s, "a", "a1")
	b := join(t, s, "b", "b1")
	a.knows(t, "b", 1)
	s.setDown(true)
	b.stop()
	o := b.opts
	o.First = false
	restarted := start(t, o, s)
	require.EqualValues(t, 1, restarted.config.version())
	a.knows(t, "b", 1)
}

// TestStartedWithin counts the daemons that have started of late, by their clocks.
func TestStartedWithin(t *testing.T) {
	const (
		span = 10 * time.Second
		// onlyListed stands for a daemon that has not been heard of.
		onlyListed = time.Duration(-1)
	)
	for name, c := range map[string]struct {
		ages []time.Duration
		want float64
	}{
		"all of late":              {[]time.Duration{0, time.Second, 5 * time.Second}, 1},
		"one of three":             {[]time.Duration{time.Minute, time.Second, time.Hour}, 1.0 / 3},
		"a clock a little ahead":   {[]time.Duration{time.Minute, -5 * time.Second}, 0.5},
		"a clock an hour ahead":    {[]time.Duration{time.Minute, -time.Hour}, 0},
		"alone, started long ago":  {[]time.Duration{time.Hour}, 0},
		"alone, started right now": {[]time.Duration{0}, 1},
		"one of three only listed": {[]time.Duration{time.Minute, onlyListed, time.Hour}, 1.0 / 3},
	} {
		t.Run(name, func(t *testing.T) {
			p := &peers{all: map[string]*peer{}}
			for i, age := range c.ages {
				r := Record{Incarnation: time.Now().Add(-age).UnixMilli(), Sequence: 1}
				if age == onlyListed {
					r = Record{}
				}
				if i == 0 {
					p.own = r
				} else {
					p.all[strconv.Itoa(i)] = &peer{record: r}
				}
			}
			daemons, share := p.startedWithin(span)
			require.Equal(t, len(c.ages), daemons)
			require.InDelta(t, c.want, share, 1e-9)
		})
	}
}
