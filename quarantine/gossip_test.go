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

// mesh is daemons of several zones that exchange records in virtual time. A message
// takes one step.
type mesh struct {
	now     time.Time
	rng     *rand.Rand
	daemons []*meshDaemon
	byName  map[string]*meshDaemon
	// cut zones neither send nor receive beyond themselves.
	cut model.AvailabilityZone
	// lossy is the part of the messages that are lost.
	lossy float64

	queue []parcel
	// crossed, sent and largest count bytes: between zones, in all, and by the daemon
	// that sent most.
	crossed, sent, largest int
}

type meshDaemon struct {
	*Gossip
	name   string
	zone   model.AvailabilityZone
	sent   int
	others []gossip.Member
}

type parcel struct {
	from, to *meshDaemon
	message  []byte
}

const (
	meshStep  = 20 * time.Millisecond
	meshLimit = 1400
	meshZones = 5
)

func newMesh(daemons int) *mesh {
	m := &mesh{now: time.UnixMilli(1_000_000), rng: rand.New(rand.NewPCG(1, uint64(daemons))), byName: make(map[string]*meshDaemon)}
	for i := range daemons {
		m.add(i)
	}
	return m
}

func (m *mesh) add(i int) {
	d := &meshDaemon{name: fmt.Sprint("d", i), zone: model.AvailabilityZone(fmt.Sprint("z", i%meshZones))}
	d.Gossip = &Gossip{
		Store: NewStore(Options{
			Rule:   func(model.ServiceName) quarantine.Rule { return quarantine.Rule{Crashes: 3, Duration: time.Minute} },
			Wall:   func() time.Time { return m.now },
			Logger: slog.New(slog.DiscardHandler),
		}),
		Selector:        gossip.PeerSelector{Zone: d.zone, RandIntN: m.rng.IntN},
		MaxMessageBytes: meshLimit,
		Members:         func() []gossip.Member { return m.others(d) },
		Send:            func(to string, message []byte) { m.send(d, m.byName[to], message) },
	}
	m.daemons = append(m.daemons, d)
	m.byName[d.name] = d
}

// others returns all daemons but one.
func (m *mesh) others(d *meshDaemon) []gossip.Member {
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

func (m *mesh) send(from, to *meshDaemon, message []byte) {
	from.sent += len(message)
	m.sent += len(message)
	m.largest = max(m.largest, from.sent)
	if from.zone != to.zone {
		m.crossed += len(message)
	}
	apart := from.zone != to.zone && (from.zone == m.cut || to.zone == m.cut)
	if !apart && m.rng.Float64() >= m.lossy {
		m.queue = append(m.queue, parcel{from: from, to: to, message: message})
	}
}

// pass lets time pass.
func (m *mesh) pass(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(meshStep)
		due := m.queue
		m.queue = nil
		for _, p := range due {
			p.to.Receive(p.from.name, p.message)
		}
		for _, d := range m.daemons {
			if d.Store.HasRecords() && m.now.UnixMilli()%100 == 0 {
				d.Store.change(d.Store.settle)
			}
			d.Tick(model.Instant(m.now.UnixNano()))
		}
	}
}

func (m *mesh) reset() {
	m.sent, m.crossed, m.largest = 0, 0, 0
	for _, d := range m.daemons {
		d.sent = 0
	}
}

// refusing returns how many daemons refuse a request.
func (m *mesh) refusing(target string, zone model.AvailabilityZone) int {
	n := 0
	for _, d := range m.daemons {
		if d.Store.refuses(target) && (zone == "" || d.zone == zone) {
			n++
		}
	}
	return n
}

// kill has a request crash three upstreams, beside daemons that are a stride apart.
func (m *mesh) kill(target string, stride int) {
	for i := range 3 {
		m.daemons[(stride*i+1)%len(m.daemons)].Store.died(target, i)
		m.pass(time.Second)
	}
}

// crash has many upstreams end at once, each with some requests that ran there, most of
// which are answered a little later elsewhere.
func (m *mesh) crash(upstreams int) {
	const running = 4
	for i := range upstreams {
		for j := range running {
			m.daemons[i%len(m.daemons)].Store.died(fmt.Sprintf("/crash/%d/%d", i, j), 1000+i)
		}
	}
	m.pass(500 * time.Millisecond)
	for i := range upstreams {
		for j := range running {
			f := quarantine.FingerprintOf(asked(fmt.Sprintf("/crash/%d/%d", i, j)))
			m.daemons[(3*i+j)%len(m.daemons)].Store.RecordResponse(f)
		}
	}
}

func TestKillerIsRefusedByAllInTwoSeconds(t *testing.T) {
	for _, n := range []int{2, 10, 100, 300} {
		t.Run(fmt.Sprint(n, " daemons"), func(t *testing.T) {
			m := newMesh(n)
			m.lossy = 0.02
			m.kill("/kill", 7)
			m.pass(time.Second)
			require.Equal(t, n, m.refusing("/kill", ""))
		})
	}
}

// TestKillerAmongManyCrashes has the request that crashes upstreams spread ahead of those
// that ran beside it.
func TestKillerAmongManyCrashes(t *testing.T) {
	const daemons = 300
	m := newMesh(daemons)
	m.crash(40)
	m.kill("/kill", 7)
	m.pass(time.Second)
	require.Equal(t, daemons, m.refusing("/kill", ""))
}

// TestZoneThatReturnsLearnsOfKillers cuts a zone off while a request becomes known.
func TestZoneThatReturnsLearnsOfKillers(t *testing.T) {
	const daemons = 100
	m := newMesh(daemons)
	m.cut = "z0"
	m.kill("/kill", meshZones)
	m.pass(30 * time.Second)
	require.Equal(t, daemons-daemons/meshZones, m.refusing("/kill", ""))
	m.cut = ""
	for _, d := range m.daemons {
		d.ResetAntiEntropy() // as when it reaches others again
	}
	m.pass(2 * time.Second)
	require.Equal(t, daemons, m.refusing("/kill", ""))
}

// TestBytesFollowNews crashes many upstreams at once. What a daemon sends is bounded, and
// what crosses zones grows with the number of zones and records.
func TestBytesFollowNews(t *testing.T) {
	const (
		upstreams = 30
		seconds   = 10
		// control is what a daemon may send for control, in bytes a second.
		control = 19_000
	)
	crossed := make(map[int]int)
	for _, n := range []int{10, 100, 300, 1000} {
		m := newMesh(n)
		m.crash(upstreams)
		m.pass(seconds * time.Second)
		require.LessOrEqual(t, m.largest, seconds*control, "%d daemons", n)
		crossed[n] = m.crossed
		t.Logf("%d daemons: %d bytes each, %d most, %d between zones", n, m.sent/n, m.largest, m.crossed)
	}
	require.Less(t, crossed[1000]/1000, crossed[10]/10, "bytes between zones for each daemon")
}

// TestAgreementIsQuiet has all daemons know the same: they compare seldom, and send no
// records.
func TestAgreementIsQuiet(t *testing.T) {
	const (
		daemons = 100
		// opening and agreement, one each in ten seconds, with room for chance.
		quiet = 2 * daemons * (1 + digestBytes + 1)
	)
	m := newMesh(daemons)
	m.crash(30)
	m.pass(30 * time.Second)
	m.reset()
	m.pass(10 * time.Second)
	require.LessOrEqual(t, m.sent, quiet)
	require.Positive(t, m.sent)
	for _, d := range m.daemons {
		require.Equal(t, m.daemons[0].Store.Digest(), d.Store.Digest())
	}
}

// TestFreshDaemonLearnsOfKillers starts a daemon anew.
func TestFreshDaemonLearnsOfKillers(t *testing.T) {
	m := newMesh(20)
	m.kill("/kill", 7)
	m.pass(30 * time.Second)
	m.add(20)
	m.daemons[20].SendDigest("d3")
	m.pass(100 * time.Millisecond)
	require.Equal(t, 21, m.refusing("/kill", ""))
}

// TestDaemonsAgreeWhoseTablesWereFull has more records than a table holds.
func TestDaemonsAgreeWhoseTablesWereFull(t *testing.T) {
	m := newMesh(5)
	for i := range 1200 {
		m.daemons[i%5].Store.died(fmt.Sprint("/", i), i)
		if i%100 == 0 {
			m.pass(100 * time.Millisecond)
		}
	}
	m.pass(40 * time.Second)
	for _, d := range m.daemons {
		require.Equal(t, m.daemons[0].Store.Digest(), d.Store.Digest())
	}
	m.reset()
	m.pass(10 * time.Second)
	require.Less(t, m.sent, 1000)
}

// TestUnreadableMessages changes nothing.
func TestUnreadableMessages(t *testing.T) {
	s := newFleet(1).stores[0]
	s.died("/kill", 1)
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
