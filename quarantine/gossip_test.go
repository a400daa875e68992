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

// testNetwork connects daemons of several zones that exchange records in
// virtual time. A message takes one step.
type testNetwork struct {
	now     time.Time
	rng     *rand.Rand
	daemons []*testDaemon
	byName  map[string]*testDaemon
	// partitioned is a zone that exchanges no messages with other zones. Empty
	// means none.
	partitioned model.AvailabilityZone
	// lossRate is the fraction of messages that are lost.
	lossRate float64

	inTransit []datagram
	// Bytes sent: between zones, in total, and by the daemon that sent most.
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

// others returns all daemons except d.
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
	separated := from.zone != to.zone && (from.zone == m.partitioned || to.zone == m.partitioned)
	if !separated && m.rng.Float64() >= m.lossRate {
		m.inTransit = append(m.inTransit, datagram{from: from, to: to, message: message})
	}
}

// advance advances the clock step by step, delivering messages and calling
// Tick.
func (m *testNetwork) advance(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(step)
		arrived := m.inTransit
		m.inTransit = nil
		for _, p := range arrived {
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

// countRefusing returns how many daemons, of one zone or of all, refuse a
// request.
func (m *testNetwork) countRefusing(target string, zone model.AvailabilityZone) int {
	n := 0
	for _, d := range m.daemons {
		if d.Store.refusesTarget(target) && (zone == "" || d.zone == zone) {
			n++
		}
	}
	return n
}

// crashThreeUpstreams has a request crash three upstreams at daemons that are
// stride positions apart, one a second.
func (m *testNetwork) crashThreeUpstreams(target string, stride int) {
	for i := range 3 {
		m.daemons[(stride*i+1)%len(m.daemons)].Store.recordTestCrash(target, i)
		m.advance(time.Second)
	}
}

// crashManyUpstreams crashes many upstreams at once, each while it runs several
// requests. All of these requests receive a response elsewhere 500 ms later.
func (m *testNetwork) crashManyUpstreams(upstreams int) {
	const requests = 4
	for i := range upstreams {
		for j := range requests {
			m.daemons[i%len(m.daemons)].Store.recordTestCrash(fmt.Sprintf("/crash/%d/%d", i, j), 1000+i)
		}
	}
	m.advance(500 * time.Millisecond)
	for i := range upstreams {
		for j := range requests {
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
			m.crashThreeUpstreams("/crashing", 7)
			m.advance(time.Second)
			require.Equal(t, n, m.countRefusing("/crashing", ""))
		})
	}
}

// TestCrashingRequestIsRefusedDuringMassCrash requires that the record of a
// request that crashes upstreams repeatedly spreads ahead of the records of
// requests that merely ran at an upstream that crashed.
func TestCrashingRequestIsRefusedDuringMassCrash(t *testing.T) {
	const daemons = 300
	m := newTestNetwork(daemons)
	m.crashManyUpstreams(40)
	m.crashThreeUpstreams("/crashing", 7)
	m.advance(time.Second)
	require.Equal(t, daemons, m.countRefusing("/crashing", ""))
}

// TestReconnectedZoneLearnsOfQuarantine quarantines a request while a zone is
// partitioned from the others.
func TestReconnectedZoneLearnsOfQuarantine(t *testing.T) {
	const daemons = 100
	m := newTestNetwork(daemons)
	m.partitioned = "z0"
	m.crashThreeUpstreams("/crashing", zones)
	m.advance(30 * time.Second)
	require.Equal(t, daemons-daemons/zones, m.countRefusing("/crashing", ""))
	m.partitioned = ""
	for _, d := range m.daemons {
		d.ResetAntiEntropy() // as when the daemon reaches others again
	}
	m.advance(2 * time.Second)
	require.Equal(t, daemons, m.countRefusing("/crashing", ""))
}

// TestBytesSentGrowWithChanges crashes many upstreams at once. The bytes that a
// daemon sends must stay bounded, and the bytes between zones must grow with
// the number of zones and records rather than daemons.
func TestBytesSentGrowWithChanges(t *testing.T) {
	const (
		upstreams = 30
		seconds   = 10
		// maxBytesPerSecond is the budget of a daemon for control messages.
		maxBytesPerSecond = 19_000
	)
	crossZoneBytes := make(map[int]int)
	for _, n := range []int{10, 100, 300, 1000} {
		m := newTestNetwork(n)
		m.crashManyUpstreams(upstreams)
		m.advance(seconds * time.Second)
		require.LessOrEqual(t, m.maxSentBytes, seconds*maxBytesPerSecond, "%d daemons", n)
		crossZoneBytes[n] = m.crossZoneBytes
		t.Logf("%d daemons: %d bytes sent by each on average, %d at most, %d between zones in total", n, m.sentBytes/n, m.maxSentBytes, m.crossZoneBytes)
	}
	require.Less(t, crossZoneBytes[1000]/1000, crossZoneBytes[10]/10, "bytes between zones for each daemon")
}

// TestDaemonsInSyncSendLittle requires that daemons with equal tables send
// digests rarely and no records.
func TestDaemonsInSyncSendLittle(t *testing.T) {
	const (
		daemons = 100
		// Each daemon sends one digest in ten seconds and receives one reply
		// that the tables are equal; doubled for random variation.
		maxIdleBytes = 2 * daemons * (1 + digestBytes + 1)
	)
	m := newTestNetwork(daemons)
	m.crashManyUpstreams(30)
	m.advance(30 * time.Second)
	m.resetCounters()
	m.advance(10 * time.Second)
	require.LessOrEqual(t, m.sentBytes, maxIdleBytes)
	require.Positive(t, m.sentBytes)
	for _, d := range m.daemons {
		require.Equal(t, m.daemons[0].Store.Digest(), d.Store.Digest())
	}
}

// TestNewDaemonLearnsOfQuarantine starts a daemon that sends its digest to one
// other daemon.
func TestNewDaemonLearnsOfQuarantine(t *testing.T) {
	m := newTestNetwork(20)
	m.crashThreeUpstreams("/crashing", 7)
	m.advance(30 * time.Second)
	m.add(20)
	m.daemons[20].SendDigest("d3")
	m.advance(100 * time.Millisecond)
	require.Equal(t, 21, m.countRefusing("/crashing", ""))
}

// TestFullTablesConverge records more crashes than a table holds.
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

// TestMalformedMessagesAreIgnored requires that a malformed message gets no
// reply and changes nothing.
func TestMalformedMessagesAreIgnored(t *testing.T) {
	s := newFleet(1).stores[0]
	s.recordTestCrash("/crashing", 1)
	before := s.Digest()
	for name, m := range map[string][]byte{
		"empty": {}, "unknown kind": []byte("?xyz"), "short digest": []byte("o123"), "short summary": []byte("s123"),
		"summary with a partial entry": append([]byte("s"), make([]byte, 2*prefixBytes+5)...), "request with a partial prefix": []byte("w123"), "truncated records": []byte("r123"),
	} {
		replies, inSync := s.Receive(m, 1400)
		require.Empty(t, replies, name)
		require.False(t, inSync, name)
	}
	require.Equal(t, before, s.Digest())
}
