package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// event returns a valid event for an upstream of service "s".
func event(id, daemon string, incarnation model.Incarnation, s State) Event {
	return Event{State: s, Upstream: model.Upstream{
		ID: model.UpstreamID(id), Service: "s", Incarnation: incarnation, Daemon: model.DaemonID(daemon), Zone: "z", Slots: 1,
	}}
}

func ids(upstreams []model.Upstream) []string {
	var out []string
	for _, u := range upstreams {
		out = append(out, string(u.ID))
	}
	return out
}

func seconds(n int) model.Instant { return model.Instant(n) * model.Instant(time.Second) }

func TestApplyKeepsEventWithHighestPrecedence(t *testing.T) {
	higherEpoch := event("a", "d", 1, Joined)
	higherEpoch.Epoch = 1
	for name, c := range map[string]struct {
		events []Event
		view   []string
	}{
		"joined":                             {[]Event{event("a", "d", 1, Joined)}, []string{"a"}},
		"left":                               {[]Event{event("a", "d", 1, Joined), event("a", "d", 1, Left)}, nil},
		"left before joined":                 {[]Event{event("a", "d", 1, Left), event("a", "d", 1, Joined)}, nil},
		"next incarnation":                   {[]Event{event("a", "d", 1, Left), event("a", "d", 2, Joined)}, []string{"a"}},
		"late event of an older incarnation": {[]Event{event("a", "d", 2, Joined), event("a", "d", 1, Left)}, []string{"a"}},
		"higher epoch":                       {[]Event{event("a", "d", 1, Left), higherEpoch}, []string{"a"}},
		"moved to another daemon":            {[]Event{event("a", "d", 1, Joined), event("a", "e", 2, Joined)}, []string{"a"}},
		"no slots":                           {[]Event{{State: Joined, Upstream: model.Upstream{ID: "a", Service: "s", Daemon: "d"}}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDirectory()
			for _, e := range c.events {
				d.Apply(e)
			}
			require.Equal(t, c.view, ids(d.Upstreams("s")))
		})
	}
}

func TestDrainingUpstreamStaysInView(t *testing.T) {
	d := NewDirectory()
	d.Apply(event("a", "d", 1, Joined))
	before := d.Generation()
	require.True(t, d.Apply(event("a", "d", 1, Draining)))
	require.Greater(t, d.Generation(), before)
	require.True(t, d.Upstreams("s")[0].Draining)
	require.False(t, d.Apply(event("a", "d", 1, Joined)))
}

func TestSuspectDaemonIsDeadUnlessItRefutes(t *testing.T) {
	observer := New(Options{Self: "o", Incarnation: 1})
	suspect := New(Options{Self: "d", Incarnation: 7})
	for _, d := range []*Directory{observer, suspect} {
		d.Tick(seconds(0), 1000)
	}
	suspect.Announce(event("a", "d", 1, Joined))
	observer.ApplyAll(recordsOf(suspect))
	observer.Apply(event("b", "other", 1, Joined))
	require.True(t, observer.Suspect("d"))
	require.False(t, observer.Suspect("d"), "already suspect")
	require.Equal(t, []string{"a", "b"}, ids(observer.Upstreams("s")), "the upstream of a suspect daemon is still in the view")

	// The suspect daemon learns that it is suspect. It refutes this with a higher
	// incarnation number.
	suspect.ApplyAll(recordsOf(observer))
	require.EqualValues(t, 8, suspect.Incarnation())
	observer.ApplyAll(recordsOf(suspect))
	require.Equal(t, Alive, observer.Health("d"))

	// A daemon that stays suspect for SuspicionTimeout is dead until it refutes
	// its death with a higher incarnation number.
	observer.Suspect("d")
	observer.Tick(seconds(2), 1002)
	require.Equal(t, Suspect, observer.Health("d"))
	require.True(t, observer.Tick(seconds(3), 1003))
	require.Equal(t, Dead, observer.Health("d"))
	require.Equal(t, []string{"b"}, ids(observer.Upstreams("s")))
	suspect.ApplyAll(recordsOf(observer))
	observer.ApplyAll(recordsOf(suspect))
	require.Equal(t, []string{"a", "b"}, ids(observer.Upstreams("s")))
}

// recordsOf returns all records of a directory.
func recordsOf(d *Directory) Records {
	r := Records{Events: d.Events()}
	for _, l := range d.liveness.all() {
		r.Liveness = append(r.Liveness, l)
	}
	return r
}

func TestViewNeverDropsMajorityOfService(t *testing.T) {
	d := New(Options{Self: "o"})
	d.Tick(0, 1)
	for i := range 4 {
		d.Apply(event(fmt.Sprint(i), fmt.Sprint("d", i), 1, Joined))
	}
	viewSizes := []int{4, 3, 2, 4, 4}
	for dead, want := range viewSizes {
		require.Len(t, d.Upstreams("s"), want, "%d dead", dead)
		d.ApplyLiveness(Liveness{Daemon: model.DaemonID(fmt.Sprint("d", dead)), Incarnation: 1, Health: Dead})
	}
}

func TestDaemonIsAuthoritativeForItsUpstreams(t *testing.T) {
	d := New(Options{Self: "d", Incarnation: 1})
	d.Tick(seconds(0), 1000)
	d.Announce(event("a", "d", 3, Joined))
	// While this daemon was partitioned, others marked its upstream as left.
	d.Apply(event("a", "d", 3, Left))
	require.Equal(t, []string{"a"}, ids(d.Upstreams("s")))
	require.EqualValues(t, 1, d.Events()[0].Epoch)

	// An upstream of an earlier incarnation of this daemon is not announced again.
	// The upstream leaves the view after StartupGrace.
	d.Apply(event("old", "d", 1, Joined))
	d.Tick(seconds(20), 1020)
	require.Len(t, d.Upstreams("s"), 2, "the upstream may still be announced during the grace period")
	require.True(t, d.Tick(seconds(31), 1031))
	require.Equal(t, []string{"a"}, ids(d.Upstreams("s")))

	// The lease of an upstream expires, then the same incarnation returns.
	d.Announce(event("a", "d", 3, Left))
	require.Empty(t, d.Upstreams("s"))
	d.Announce(event("a", "d", 3, Joined))
	require.Equal(t, []string{"a"}, ids(d.Upstreams("s")))
}

func TestDeletedTombstoneIsNotReintroduced(t *testing.T) {
	a, b := New(Options{TombstoneRetention: time.Minute}), New(Options{TombstoneRetention: time.Minute})
	a.Tick(seconds(0), 1000)
	b.Tick(seconds(0), 990)
	tombstone := event("a", "d", 1, Left)
	tombstone.Unix = 1000
	a.Apply(tombstone)
	b.Apply(tombstone)
	a.Tick(seconds(61), 1061)
	b.Tick(seconds(61), 1051)
	require.Zero(t, a.Len())
	require.Equal(t, 1, b.Len(), "the clock of b is behind")
	a.ApplyAll(recordsOf(b))
	require.Zero(t, a.Len(), "a peer that still holds the tombstone does not reintroduce it")
	require.Empty(t, a.upstreamsPerDaemon)
}

func TestUpstreamsOfDeadDaemonLeave(t *testing.T) {
	d := New(Options{TombstoneRetention: time.Minute, SuspicionTimeout: time.Second})
	d.Tick(seconds(0), 1000)
	d.Apply(event("a", "d", 1, Joined))
	d.Suspect("d")
	d.Tick(seconds(1), 1001)
	d.Tick(seconds(62), 1062)
	require.Equal(t, Left, d.Events()[0].State)
	d.Tick(seconds(130), 1130)
	require.Zero(t, d.Len())
	require.Empty(t, d.remainingState())
}

// remainingState lists the entries of the maps that must be empty when the directory
// holds no upstreams.
func (d *Directory) remainingState() []string {
	var out []string
	for id := range d.suspectedSince {
		out = append(out, "suspect "+string(id))
	}
	for id := range d.deadSince {
		out = append(out, "dead "+string(id))
	}
	for id := range d.liveness.rows {
		out = append(out, "liveness "+string(id))
	}
	for id := range d.unloggedSince {
		out = append(out, "unlogged "+string(id))
	}
	for s := range d.services {
		out = append(out, "service "+string(s))
	}
	return out
}

func TestNumberOfUpstreamsIsBounded(t *testing.T) {
	d := New(Options{MaxUpstreams: 3})
	for i := range 3 {
		require.True(t, d.Apply(event(fmt.Sprint(i), "d", 1, Joined)))
	}
	require.False(t, d.Apply(event("new", "d", 1, Joined)), "rejected because no upstream has left")
	d.Apply(event("1", "d", 1, Left))
	require.True(t, d.Apply(event("new", "d", 1, Joined)), "replaces the upstream that left")
	require.Equal(t, []string{"0", "2", "new"}, ids(d.Upstreams("s")))
}

func TestUnloggedReturnsEventsNotReadFromLog(t *testing.T) {
	d := NewDirectory()
	d.Tick(seconds(0), 1)
	d.Apply(event("a", "d", 1, Joined))
	d.Apply(event("b", "d", 1, Joined))
	d.Tick(seconds(5), 6)
	d.MarkLogged(event("a", "d", 1, Joined))
	d.Apply(event("b", "d", 1, Draining))
	d.MarkLogged(event("b", "d", 1, Joined))
	require.Empty(t, d.Unlogged(time.Second), "the latest event of b has just arrived")
	require.Len(t, d.Unlogged(0), 1)
}

// TestOrderDoesNotMatter applies the same events to two directories in different
// orders and replicates them to a third with small deltas. All three must end
// with the same state.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := NewDirectory(), NewDirectory(), NewDirectory()
		eventCount := rapid.IntRange(1, 300).Draw(t, "events")
		var events []Event
		for range eventCount {
			e := event(fmt.Sprint("u", rapid.IntRange(0, 60).Draw(t, "id")), "d", model.Incarnation(rapid.IntRange(1, 3).Draw(t, "inc")),
				State(rapid.IntRange(1, 3).Draw(t, "state")))
			e.Epoch = uint64(rapid.IntRange(0, 2).Draw(t, "epoch"))
			events = append(events, e)
		}
		for _, e := range events {
			a.Apply(e)
		}
		rng := rand.New(rand.NewPCG(uint64(eventCount), 1))
		rng.Shuffle(eventCount, func(i, j int) { events[i], events[j] = events[j], events[i] })
		for _, e := range events {
			b.Apply(e)
		}
		require.Equal(t, a.Digest(), b.Digest())
		require.Nil(t, a.Delta(b.Digest(), 1<<20))
		for range 400 {
			delta := a.Delta(c.Digest(), 300)
			if delta == nil {
				break
			}
			require.LessOrEqual(t, len(delta), 300)
			r, err := Decode(delta)
			require.NoError(t, err)
			c.ApplyAll(r)
		}
		require.Equal(t, a.Upstreams("s"), c.Upstreams("s"))
	})
}

func TestEncodingRoundTrip(t *testing.T) {
	e := event("a", "d", 1<<60, Draining)
	e.Upstream.Draining = true
	e.Upstream.Labels = model.Labels{"tier": "bench", "z": "tier"}
	e.Epoch, e.Unix = 3, 1<<40
	r := Records{Events: []Event{e, event("b", "d", 2, Joined)}, Liveness: []Liveness{{Daemon: "d", Incarnation: 9, Health: Suspect}}}
	got, err := Decode(r.Encode())
	require.NoError(t, err)
	require.Equal(t, r, got)
}

func TestDecodeRejectsDamagedRecords(t *testing.T) {
	validEncoding := Records{Events: []Event{event("a", "d", 1, Joined)}}.Encode()
	for n := range validEncoding {
		_, err := Decode(validEncoding[:n])
		require.ErrorIs(t, err, ErrRecords, "cut to %d bytes", n)
	}
	for _, data := range [][]byte{{9}, append(validEncoding, 0), {codecVersion, 0xff, 0xff, 0xff, 0xff, 0x0f}, {codecVersion, 1, 5}} {
		_, err := Decode(data)
		require.ErrorIs(t, err, ErrRecords, "%x", data)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Records{Events: []Event{event("a", "d", 1, Joined)}}.Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		redecoded, err := Decode(r.Encode())
		if err != nil || len(redecoded.Events) != len(r.Events) || len(redecoded.Liveness) != len(r.Liveness) {
			t.Fatalf("decoding the re-encoded records: %v", err)
		}
	})
}

func TestSubsetIsStableAndBalanced(t *testing.T) {
	var all []model.Upstream
	for i := range 200 {
		all = append(all, model.Upstream{ID: model.UpstreamID(fmt.Sprintf("u%03d", i))})
	}
	selectionsPerUpstream := map[model.UpstreamID]int{}
	const daemonCount, subsetSize = 400, 20
	for i := range daemonCount {
		self := model.DaemonID(fmt.Sprint("d", i))
		subset := Subset(self, all, subsetSize)
		require.Len(t, subset, subsetSize)
		require.True(t, slices.IsSortedFunc(subset, func(a, b model.Upstream) int { return slices.Compare([]byte(a.ID), []byte(b.ID)) }))
		subsetWithoutLast := Subset(self, all[:199], subsetSize)
		kept := 0
		for _, u := range subset {
			selectionsPerUpstream[u.ID]++
			if slices.ContainsFunc(subsetWithoutLast, func(v model.Upstream) bool { return v.ID == u.ID }) {
				kept++
			}
		}
		require.GreaterOrEqual(t, kept, subsetSize-1)
	}
	for id, count := range selectionsPerUpstream {
		require.InDelta(t, daemonCount*subsetSize/200, count, daemonCount*subsetSize/200*0.7, "%s", id)
	}
}
