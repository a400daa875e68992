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
// virtual time. A message arrives one stepDuration after it was sent.
type testNetwork struct {
	now          time.Time
	rng          *rand.Rand
	daemons      []*testDaemon
	daemonByName map[string]*testDaemon
	// partitionedZone is a zone that exchanges no messages with other zones. Empty
	// means none.
	partitionedZone model.AvailabilityZone
	// lossRate is the fraction of messages that are lost.
	lossRate float64

	inTransit []datagram
	// crossZoneBytes is the number of bytes sent between zones.
	crossZoneBytes int
	// sentBytes is the number of bytes sent by all daemons together.
	sentBytes int
	// maxSentBytes is the number of bytes sent by the daemon that sent the most.
	maxSentBytes int
}

type testDaemon struct {
	*Gossip
	name      string
	zone      model.AvailabilityZone
	sentBytes int
	// otherMembers caches the result of testNetwork.others.
	otherMembers []gossip.Member
}

type datagram struct {
	from, to *testDaemon
	message  []byte
}

const (
	stepDuration        = 20 * time.Millisecond
	maxTestMessageBytes = 1400
	zoneCount           = 5
)

func newTestNetwork(daemonCount int) *testNetwork {
	network := &testNetwork{now: time.UnixMilli(1_000_000), rng: rand.New(rand.NewPCG(1, uint64(daemonCount))), daemonByName: make(map[string]*testDaemon)}
	for i := range daemonCount {
		network.addDaemon(i)
	}
	return network
}

// addDaemon adds the daemon with index i.
func (network *testNetwork) addDaemon(i int) {
	d := &testDaemon{name: fmt.Sprint("d", i), zone: model.AvailabilityZone(fmt.Sprint("z", i%zoneCount))}
	d.Gossip = &Gossip{
		Store: NewStore(Options{
			Rule:      func(model.ServiceName) quarantine.Rule { return quarantine.Rule{Crashes: 3, Duration: time.Minute} },
			WallClock: func() time.Time { return network.now },
			Logger:    slog.New(slog.DiscardHandler),
		}),
		Selector:        gossip.PeerSelector{Zone: d.zone, RandIntN: network.rng.IntN},
		MaxMessageBytes: maxTestMessageBytes,
		Members:         func() []gossip.Member { return network.others(d) },
		Send:            func(to string, message []byte) { network.send(d, network.daemonByName[to], message) },
	}
	network.daemons = append(network.daemons, d)
	network.daemonByName[d.name] = d
}

// others returns all daemons except d.
func (network *testNetwork) others(d *testDaemon) []gossip.Member {
	if len(d.otherMembers) == len(network.daemons)-1 {
		return d.otherMembers
	}
	d.otherMembers = nil
	for _, o := range network.daemons {
		if o != d {
			d.otherMembers = append(d.otherMembers, gossip.Member{Address: o.name, Zone: o.zone})
		}
	}
	return d.otherMembers
}

// send counts the bytes of a message and puts the message in transit, unless it is lost
// or crosses the boundary of the partitioned zone.
func (network *testNetwork) send(from, to *testDaemon, message []byte) {
	from.sentBytes += len(message)
	network.sentBytes += len(message)
	network.maxSentBytes = max(network.maxSentBytes, from.sentBytes)
	if from.zone != to.zone {
		network.crossZoneBytes += len(message)
	}
	acrossPartition := from.zone != to.zone && (from.zone == network.partitionedZone || to.zone == network.partitionedZone)
	if !acrossPartition && network.rng.Float64() >= network.lossRate {
		network.inTransit = append(network.inTransit, datagram{from: from, to: to, message: message})
	}
}

// advance advances the clock by d, step by step. In each step it delivers the messages
// that were sent in the previous step, then calls Tick of every daemon. Every 100 ms it
// also evaluates the tables.
func (network *testNetwork) advance(d time.Duration) {
	for endTime := network.now.Add(d); network.now.Before(endTime); {
		network.now = network.now.Add(stepDuration)
		arrived := network.inTransit
		network.inTransit = nil
		for _, p := range arrived {
			p.to.Receive(p.from.name, p.message)
		}
		for _, d := range network.daemons {
			if d.Store.HasRecords() && network.now.UnixMilli()%100 == 0 {
				d.Store.update(d.Store.evaluate)
			}
			d.Tick(model.Instant(network.now.UnixNano()))
		}
	}
}

func (network *testNetwork) resetCounters() {
	network.sentBytes, network.crossZoneBytes, network.maxSentBytes = 0, 0, 0
	for _, d := range network.daemons {
		d.sentBytes = 0
	}
}

// countRefusing returns how many daemons of a zone refuse the request with a target. An
// empty zone means all zones.
func (network *testNetwork) countRefusing(target string, zone model.AvailabilityZone) int {
	n := 0
	for _, d := range network.daemons {
		if d.Store.refusesTarget(target) && (zone == "" || d.zone == zone) {
			n++
		}
	}
	return n
}

// crashThreeUpstreams records that one request crashed three upstreams, one every
// second. The indexes of the daemons that record the crashes differ by stride.
func (network *testNetwork) crashThreeUpstreams(target string, stride int) {
	for i := range 3 {
		network.daemons[(stride*i+1)%len(network.daemons)].Store.recordTestCrash(target, i)
		network.advance(time.Second)
	}
}

// crashManyUpstreams crashes many upstreams at once, each while it runs four requests
// that no other upstream runs. 500 ms later each of these requests receives a response
// from another upstream, which shows that the request did not cause the crash.
func (network *testNetwork) crashManyUpstreams(upstreamCount int) {
	const requests = 4
	for i := range upstreamCount {
		for j := range requests {
			network.daemons[i%len(network.daemons)].Store.recordTestCrash(fmt.Sprintf("/crash/%d/%d", i, j), 1000+i)
		}
	}
	network.advance(500 * time.Millisecond)
	for i := range upstreamCount {
		for j := range requests {
			f := quarantine.FingerprintOf(newRequest(fmt.Sprintf("/crash/%d/%d", i, j)))
			network.daemons[(3*i+j)%len(network.daemons)].Store.RecordResponse(f)
		}
	}
}

func TestCrashingRequestIsRefusedByAllWithinTwoSeconds(t *testing.T) {
	for _, n := range []int{2, 10, 100, 300} {
		t.Run(fmt.Sprint(n, " daemons"), func(t *testing.T) {
			network := newTestNetwork(n)
			network.lossRate = 0.02
			network.crashThreeUpstreams("/crashing", 7)
			network.advance(time.Second)
			require.Equal(t, n, network.countRefusing("/crashing", ""))
		})
	}
}

// TestCrashingRequestIsRefusedDuringMassCrash requires that the record of a
// request that crashes upstreams repeatedly spreads ahead of the records of
// requests that merely ran at an upstream that crashed.
func TestCrashingRequestIsRefusedDuringMassCrash(t *testing.T) {
	const daemons = 300
	network := newTestNetwork(daemons)
	network.crashManyUpstreams(40)
	network.crashThreeUpstreams("/crashing", 7)
	network.advance(time.Second)
	require.Equal(t, daemons, network.countRefusing("/crashing", ""))
}

// TestReconnectedZoneLearnsOfQuarantine quarantines a request while a zone is
// partitioned from the others. The daemons of the zone must not refuse the request
// until the zone is reconnected, and must then refuse it within two seconds.
func TestReconnectedZoneLearnsOfQuarantine(t *testing.T) {
	const daemons = 100
	network := newTestNetwork(daemons)
	network.partitionedZone = "z0"
	network.crashThreeUpstreams("/crashing", zoneCount)
	network.advance(30 * time.Second)
	require.Equal(t, daemons-daemons/zoneCount, network.countRefusing("/crashing", ""))
	network.partitionedZone = ""
	for _, d := range network.daemons {
		d.ResetAntiEntropy() // as when the daemon reaches others again
	}
	network.advance(2 * time.Second)
	require.Equal(t, daemons, network.countRefusing("/crashing", ""))
}

// TestBytesSentGrowWithChanges crashes the same number of upstreams at once in networks
// of 10 to 1,000 daemons. No daemon may send more than its budget. The bytes sent
// between zones must be fewer for each of 1,000 daemons than for each of 10 daemons,
// because they depend on the numbers of zones and records.
func TestBytesSentGrowWithChanges(t *testing.T) {
	const (
		upstreams = 30
		seconds   = 10
		// maxBytesPerSecond is the budget of a daemon for control messages.
		maxBytesPerSecond = 19_000
	)
	crossZoneBytes := make(map[int]int)
	for _, n := range []int{10, 100, 300, 1000} {
		network := newTestNetwork(n)
		network.crashManyUpstreams(upstreams)
		network.advance(seconds * time.Second)
		require.LessOrEqual(t, network.maxSentBytes, seconds*maxBytesPerSecond, "%d daemons", n)
		crossZoneBytes[n] = network.crossZoneBytes
		t.Logf("%d daemons: %d bytes sent by each on average, %d at most, %d between zones in total", n, network.sentBytes/n, network.maxSentBytes, network.crossZoneBytes)
	}
	require.Less(t, crossZoneBytes[1000]/1000, crossZoneBytes[10]/10, "bytes between zones for each daemon")
}

// TestDaemonsInSyncSendLittle requires that daemons with equal tables send
// digests rarely and no records.
func TestDaemonsInSyncSendLittle(t *testing.T) {
	const (
		daemons = 100
		// maxIdleBytes bounds the bytes that all daemons together send in ten
		// seconds. On average, each daemon sends one digest and one reply that the
		// tables are equal. The sum is doubled to allow for random variation.
		maxIdleBytes = 2 * daemons * (1 + digestBytes + 1)
	)
	network := newTestNetwork(daemons)
	network.crashManyUpstreams(30)
	network.advance(30 * time.Second)
	network.resetCounters()
	network.advance(10 * time.Second)
	require.LessOrEqual(t, network.sentBytes, maxIdleBytes)
	require.Positive(t, network.sentBytes)
	for _, d := range network.daemons {
		require.Equal(t, network.daemons[0].Store.Digest(), d.Store.Digest())
	}
}

// TestNewDaemonLearnsOfQuarantine starts a daemon that sends its digest to one
// other daemon. 100 ms later the new daemon must refuse the quarantined request, like
// all others.
func TestNewDaemonLearnsOfQuarantine(t *testing.T) {
	network := newTestNetwork(20)
	network.crashThreeUpstreams("/crashing", 7)
	network.advance(30 * time.Second)
	network.addDaemon(20)
	network.daemons[20].SendDigest("d3")
	network.advance(100 * time.Millisecond)
	require.Equal(t, 21, network.countRefusing("/crashing", ""))
}

// TestFullTablesConverge records crashes by more requests than a table holds. All daemons
// must end up with the same records, and must then send fewer than 1,000 bytes together
// in ten seconds.
func TestFullTablesConverge(t *testing.T) {
	network := newTestNetwork(5)
	for i := range 1200 {
		network.daemons[i%5].Store.recordTestCrash(fmt.Sprint("/", i), i)
		if i%100 == 0 {
			network.advance(100 * time.Millisecond)
		}
	}
	network.advance(40 * time.Second)
	for _, d := range network.daemons {
		require.Equal(t, network.daemons[0].Store.Digest(), d.Store.Digest())
	}
	network.resetCounters()
	network.advance(10 * time.Second)
	require.Less(t, network.sentBytes, 1000)
}

// TestMalformedMessagesAreIgnored requires that a malformed message gets no
// reply and changes nothing.
func TestMalformedMessagesAreIgnored(t *testing.T) {
	s := newFleet(1).stores[0]
	s.recordTestCrash("/crashing", 1)
	digestBefore := s.Digest()
	for name, m := range map[string][]byte{
		"empty": {}, "unknown kind": []byte("?xyz"), "short digest": []byte("o123"), "short summary": []byte("s123"),
		"summary with a partial entry": append([]byte("s"), make([]byte, 2*prefixBytes+5)...), "request with a partial prefix": []byte("w123"), "truncated records": []byte("r123"),
	} {
		replies, inSync := s.Receive(m, 1400)
		require.Empty(t, replies, name)
		require.False(t, inSync, name)
	}
	require.Equal(t, digestBefore, s.Digest())
}
