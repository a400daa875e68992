package quarantine

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/gossip"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/quarantine"
)

// testNetwork is daemons of several zones that exchange records in virtual time. A message
// takes one step.
type testNetwork struct {
	now     time.Time
	rng     *rand.Rand
	daemons []*testDaemon
	byName  map[string]*testDaemon
	// partitioned zones neither send nor receive beyond themselves.
	partitioned model.AvailabilityZone
	// lossRate is the part of the messages that are lost.
	lossRate float64

	inTransit []datagram
	// crossZoneBytes, sent and largest count bytes: between zones, in all, and by the daemon
	// that sent most.
	crossZoneBytes, sentBytes, maxSentBytes int
}

type testDaemon struct {
	*Gossip
	name      string
	zone      model.AvailabilityZone
	sentBytes int
	others    []gossip.Member
}

type datagram struct {
	from, to *testDaemon
	message  []byte
}

const (
	step                = 20 * time.Millisecond
	maxTestMessageBytes = 1400
	zones               = 5
)

func newTestNetwork(daemons int) *testNetwork {
	m := &testNetwork{now: time.UnixMilli(1_000_000), rng: rand.New(rand.NewPCG(1, uint64(daemons))), byName: make(map[string]*testDaemon)}
	for i := range daemons {
		m.add(i)
	}
	return m
}

func (m *testNetwork) add(i int) {
	d := &testDaemon{name: fmt.Sprint("d", i), zone: model.AvailabilityZone(fmt.Sprint("z", i%zones))}
	d.Gossip = &Gossip{
		Store: NewStore(Options{
			Rule:      func(model.ServiceName) quarantine.Rule { return quarantine.Rule{Crashes: 3, Duration: time.Minute} },
			WallClock: func() time.Time { return m.now },
			Logger:    slog.New(slog.DiscardHandler),
		}),
		Selector:        gossip.PeerSelector{Zone: d.zone, RandIntN: m.rng.IntN},
		MaxMessageBytes: maxTestMessageBytes,
		Members:         func() []gossip.Member { return m.others(d) },
		Send:            func(to string, message []byte) { m.send(d, m.byName[to], message) },
	}
	m.daemons = append(m.daemons, d)
	m.byName[d.name] = d
}

// others returns all daemons but one.
func (m *testNetwork) others(d *testDaemon) []gossip.Member {
	if len(d.others) == len(m.daemons)-1 {
		return d.others
	}
	d.others = nil
	for _, o := range m.daemons {
		if o != d {
			d.others = append(d.others, gossip.Member{Address: o.name, Zone: o.zone})
		}
	}
	return d.others
}

func (m *testNetwork) send(from, to *testDaemon, message []byte) {
	from.sentBytes += len(message)
	m.sentBytes += len(message)
	m.maxSentBytes = max(m.maxSentBytes, from.sentBytes)
	if from.zone != to.zone {
		m.crossZoneBytes += len(message)
	}
	apart := from.zone != to.zone && (from.zone == m.partitioned || to.zone == m.partitioned)
	if !apart && m.rng.Float64() >= m.lossRate {
		m.inTransit = append(m.inTransit, datagram{from: from, to: to, message: message})
	}
}

// advance lets time pass.
func (m *testNetwork) advance(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(step)
		due := m.inTransit
		m.inTransit = nil
		for _, p := range due {
			p.to.Receive(p.from.name, p.message)
		}
		for _, d := range m.daemons {
			if d.Store.HasRecords() && m.now.UnixMilli()%100 == 0 {
				d.Store.update(d.Store.evaluate)
			}
			d.Tick(model.Instant(m.now.UnixNano()))
		}
	}
}

func (m *testNetwork) resetCounters() {
	m.sentBytes, m.crossZoneBytes, m.maxSentBytes = 0, 0, 0
	for _, d := range m.daemons {
		d.sentBytes = 0
	}
}

// countRefusing returns how many daemons refuse a request.
func (m *testNetwork) countRefusing(target string, zone model.AvailabilityZone) int {
	n := 0
	for _, d := range m.daemons {
		if d.Store.refusesTarget(target) && (zone == "" || d.zone == zone) {
			n++
		}
	}
	return n
}

// crashThreeUpstreams has a request crash three upstreams, beside daemons that are a stride apart.
func (m *testNetwork) crashThreeUpstreams(target string, stride int) {
	for i := range 3 {
		m.daemons[(stride*i+1)%len(m.daemons)].Store.recordTestCrash(target, i)
		m.advance(time.Second)
	}
}

// crashManyUpstreams has many upstreams end at once, each with some requests that ran there, most of
// which are answered a little later elsewhere.
func (m *testNetwork) crashManyUpstreams(upstreams int) {
	const running = 4
	for i := range upstreams {
		for j := range running {
			m.daemons[i%len(m.daemons)].Store.recordTestCrash(fmt.Sprintf("/crash/%d/%d", i, j), 1000+i)
		}
	}
	m.advance(500 * time.Millisecond)
	for i := range upstreams {
		for j := range running {
			f := quarantine.FingerprintOf(newRequest(fmt.Sprintf("/crash/%d/%d", i, j)))
			m.daemons[(3*i+j)%len(m.daemons)].Store.RecordResponse(f)
		}
	}
}

func TestCrashingRequestIsRefusedByAllWithinTwoSeconds(t *testing.T) {
	for _, n := range []int{2, 10, 100, 300} {
		t.Run(fmt.Sprint(n, " daemons"), func(t *testing.T) {
			m := newTestNetwork(n)
			m.lossRate = 0.02
			m.crashThreeUpstreams("/kill", 7)
			m.advance(time.Second)
			require.Equal(t, n, m.countRefusing("/kill", ""))
		})
	}
}

// TestCrashingRequestIsRefusedDuringMassCrash has the request that crashes upstreams spread ahead of those
// that ran beside it.
func TestCrashingRequestIsRefusedDuringMassCrash(t *testing.T) {
	const daemons = 300
	m := newTestNetwork(daemons)
	m.crashManyUpstreams(40)
	m.crashThreeUpstreams("/kill", 7)
	m.advance(time.Second)
	require.Equal(t, daemons, m.countRefusing("/kill", ""))
}

// TestReconnectedZoneLearnsOfQuarantine cuts a zone off while a request becomes known.
func TestReconnectedZoneLearnsOfQuarantine(t *testing.T) {
	const daemons = 100
	m := newTestNetwork(daemons)
	m.partitioned = "z0"
	m.crashThreeUpstreams("/kill", zones)
	m.advance(30 * time.Second)
	require.Equal(t, daemons-daemons/zones, m.countRefusing("/kill", ""))
	m.partitioned = ""
	for _, d := range m.daemons {
		d.ResetAntiEntropy() // as when it reaches others again
	}
	m.advance(2 * time.Second)
	require.Equal(t, daemons, m.countRefusing("/kill", ""))
}

// TestBytesSentGrowWithChanges crashes many upstreams at once. What a daemon sends is bounded, and
// what crosses zones grows with the number of zones and records.
func TestBytesSentGrowWithChanges(t *testing.T) {
	const (
		upstreams = 30
		seconds   = 10
		// control is what a daemon may send for control, in bytes a second.
		control = 19_000
	)
	crossed := make(map[int]int)
	for _, n := range []int{10, 100, 300, 1000} {
		m := newTestNetwork(n)
		m.crashManyUpstreams(upstreams)
		m.advance(seconds * time.Second)
		require.LessOrEqual(t, m.maxSentBytes, seconds*control, "%d daemons", n)
		crossed[n] = m.crossZoneBytes
		t.Logf("%d daemons: %d bytes each, %d most, %d between zones", n, m.sentBytes/n, m.maxSentBytes, m.crossZoneBytes)
	}
	require.Less(t, crossed[1000]/1000, crossed[10]/10, "bytes between zones for each daemon")
}

// TestDaemonsInSyncSendLittle has all daemons know the same: they compare seldom, and send no
// records.
func TestDaemonsInSyncSendLittle(t *testing.T) {
	const (
		daemons = 100
		// opening and agreement, one each in ten seconds, with room for chance.
		quiet = 2 * daemons * (1 + digestBytes + 1)
	)
	m := newTestNetwork(daemons)
	m.crashManyUpstreams(30)
	m.advance(30 * time.Second)
	m.resetCounters()
	m.advance(10 * time.Second)
	require.LessOrEqual(t, m.sentBytes, quiet)
	require.Positive(t, m.sentBytes)
	for _, d := range m.daemons {
		require.Equal(t, m.daemons[0].Store.Digest(), d.Store.Digest())
	}
}

// TestNewDaemonLearnsOfQuarantine starts a daemon anew.
func TestNewDaemonLearnsOfQuarantine(t *testing.T) {
	m := newTestNetwork(20)
	m.crashThreeUpstreams("/kill", 7)
	m.advance(30 * time.Second)
	m.add(20)
	m.daemons[20].SendDigest("d3")
	m.advance(100 * time.Millisecond)
	require.Equal(t, 21, m.countRefusing("/kill", ""))
}

// TestFullTablesConverge has more records than a table holds.
func TestFullTablesConverge(t *testing.T) {
	m := newTestNetwork(5)
	for i := range 1200 {
		m.daemons[i%5].Store.recordTestCrash(fmt.Sprint("/", i), i)
		if i%100 == 0 {
			m.advance(100 * time.Millisecond)
		}
	}
	m.advance(40 * time.Second)
	for _, d := range m.daemons {
		require.Equal(t, m.daemons[0].Store.Digest(), d.Store.Digest())
	}
	m.resetCounters()
	m.advance(10 * time.Second)
	require.Less(t, m.sentBytes, 1000)
}

// TestMalformedMessagesAreIgnored changes nothing.
func TestMalformedMessagesAreIgnored(t *testing.T) {
	s := newFleet(1).stores[0]
	s.recordTestCrash("/kill", 1)
	before := s.Digest()
	for name, m := range map[string][]byte{
		"empty": {}, "unknown kind": []byte("?xyz"), "short opening": []byte("o123"), "short summary": []byte("s123"),
		"odd summary": append([]byte("s"), make([]byte, 2*prefixBytes+5)...), "odd wish": []byte("w123"), "cut records": []byte("r123"),
	} {
		answers, agreed := s.Receive(m, 1400)
		require.Empty(t, answers, name)
		require.False(t, agreed, name)
	}
	require.Equal(t, before, s.Digest())
}
