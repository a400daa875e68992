package watch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/gossip"
	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// step is the time step of the simulation.
	step = 20 * time.Millisecond
	// pollWait is how long a read of the store waits for a new version.
	pollWait = 1500 * time.Millisecond
	// readTimeout is how long a daemon waits for the response to a read.
	readTimeout = 2900 * time.Millisecond
	// minRetryDelay is the delay after the first failed read. The delay doubles with each
	// further failed read.
	minRetryDelay = 100 * time.Millisecond
	// maxRetryDelay is the longest delay after a failed read.
	maxRetryDelay = time.Second
	// zoneCount is the number of availability zones.
	zoneCount = 5
)

// fleet simulates daemons that watch a store, in virtual time. A message arrives in the
// step after the one in which it was sent.
type fleet struct {
	now     model.Instant
	rng     *rand.Rand
	daemons []*daemon
	byName  map[string]*daemon
	// version is the latest version in the store.
	version int
	// storeServes reports whether the store serves a daemon.
	storeServes func(*daemon) bool
	// storeHangs reports whether the store accepts a daemon's reads but never responds.
	storeHangs func(*daemon) bool
	// storeCallCount counts the reads that daemons have started, including rejected ones.
	storeCallCount int
	// deliveries holds a function for each message that was sent and has not arrived yet. The
	// function delivers the message.
	deliveries []func()
}

// daemon is a simulated daemon.
type daemon struct {
	fleet   *fleet
	name    string
	zone    model.AvailabilityZone
	elector *Elector
	// version is the version that the daemon has in force.
	version int
	down    bool
	// partitioned is set if the daemon exchanges no messages with others.
	partitioned bool
	// nextReadAt is when the next read may start.
	nextReadAt model.Instant
	// readUntil is when the pending read ends at the latest.
	readUntil model.Instant
	// reading is set while a read is pending.
	reading bool
	// hung is set if the pending read will get no response.
	hung bool
	// retryDelay is the delay after the next failed read.
	retryDelay         time.Duration
	sentHeartbeatCount int
}

// newFleet returns n running daemons, spread over all zones.
func newFleet(n int) *fleet {
	f := &fleet{
		now: 1, rng: rand.New(rand.NewPCG(7, uint64(n))), byName: make(map[string]*daemon),
		storeServes: func(*daemon) bool { return true }, storeHangs: func(*daemon) bool { return false },
	}
	for i := range n {
		d := &daemon{fleet: f, name: fmt.Sprintf("d%04d", i), zone: model.AvailabilityZone(fmt.Sprint("z", i%zoneCount))}
		d.start()
		f.daemons = append(f.daemons, d)
		f.byName[d.name] = d
	}
	f.updateMembers()
	return f
}

// start starts or restarts the daemon without any state.
func (d *daemon) start() {
	*d = daemon{fleet: d.fleet, name: d.name, zone: d.zone, elector: New(d.name, d.fleet.now, d.fleet.rng.Float64), retryDelay: minRetryDelay}
}

// updateMembers tells all daemons which members of their zones are reachable.
func (f *fleet) updateMembers() {
	for _, d := range f.daemons {
		var zone []string
		for _, o := range f.daemons {
			if o.zone == d.zone && (o == d || !o.down && !d.partitioned) {
				zone = append(zone, o.name)
			}
		}
		d.elector.SetMembers(zone, zoneCount)
	}
}

// send has a message delivered in the next step. The message is lost if the sender is down, if
// either daemon is partitioned, or if the receiver is down when the message arrives.
func (f *fleet) send(from, to *daemon, deliver func()) {
	if !from.down && !from.partitioned && !to.partitioned {
		f.deliveries = append(f.deliveries, func() {
			if !to.down {
				deliver()
			}
		})
	}
}

// advance runs the simulation for the given time.
func (f *fleet) advance(duration time.Duration) {
	for end := f.now.Add(duration); f.now < end; {
		f.now = f.now.Add(step)
		dueDeliveries := f.deliveries
		f.deliveries = nil
		for _, deliver := range dueDeliveries {
			deliver()
		}
		for _, d := range f.daemons {
			if !d.down {
				d.tick()
			}
		}
	}
}

// tick does what a running daemon does in each step of the simulation.
func (d *daemon) tick() {
	now := d.fleet.now
	if d.reading {
		d.checkRead()
	}
	if !d.elector.UpdateWatching(now) {
		return
	}
	if !d.reading && now >= d.nextReadAt {
		d.startRead()
	}
	d.sendHeartbeat()
}

// sendHeartbeat sends a heartbeat if one is due.
func (d *daemon) sendHeartbeat() {
	if !d.elector.HeartbeatDue(d.fleet.now) {
		return
	}
	reachesStore := d.elector.ReachesStore()
	for _, other := range d.elector.CellPeers() {
		to := d.fleet.byName[other]
		d.sentHeartbeatCount++
		d.fleet.send(d, to, func() {
			to.elector.RecordHeartbeat(to.fleet.now, d.name, reachesStore)
			to.applyVersion(d.version)
		})
	}
}

// startRead starts a read of the store.
func (d *daemon) startRead() {
	d.fleet.storeCallCount++
	d.hung = d.fleet.storeHangs(d)
	if !d.hung && !d.fleet.storeServes(d) {
		d.failRead()
		return
	}
	d.reading, d.readUntil = true, d.fleet.now.Add(pollWait)
	if d.hung {
		d.readUntil = d.fleet.now.Add(readTimeout)
	}
}

// failRead records a failed read and schedules the next one.
func (d *daemon) failRead() {
	d.nextReadAt = d.fleet.now.Add(d.retryDelay)
	d.retryDelay = min(2*d.retryDelay, maxRetryDelay)
	d.recordStoreCall(false)
}

// recordStoreCall passes the result of a read to the elector.
func (d *daemon) recordStoreCall(ok bool) {
	d.elector.RecordStoreCall(d.fleet.now, ok)
	d.sendHeartbeat()
}

// checkRead ends the pending read if it has failed, timed out, found a new version or waited
// for pollWait.
func (d *daemon) checkRead() {
	switch {
	case d.hung && d.fleet.now >= d.readUntil:
		d.reading = false
		d.failRead()
	case d.hung:
	case !d.fleet.storeServes(d):
		d.reading = false
		d.failRead()
	case d.fleet.version > d.version || d.fleet.now >= d.readUntil:
		d.reading, d.retryDelay = false, minRetryDelay
		d.applyVersion(d.fleet.version)
		d.recordStoreCall(true)
	}
}

// applyVersion puts a version into force and forwards it. Versions that are not newer than the
// one in force are ignored.
func (d *daemon) applyVersion(version int) {
	if version <= d.version {
		return
	}
	d.version = version
	d.elector.TriggerHeartbeat()
	d.sendHeartbeat()
	var members []gossip.Member
	for _, o := range d.fleet.daemons {
		if o != d && !o.down {
			members = append(members, gossip.Member{Address: o.name, Zone: o.zone})
		}
	}
	for _, m := range (gossip.PeerSelector{Zone: d.zone, RandIntN: d.fleet.rng.IntN}).PushTargets(members, false) {
		to := d.fleet.byName[m.Address]
		d.fleet.send(d, to, func() { to.applyVersion(version) })
	}
}

// watchers returns the running daemons that watch the store.
func (f *fleet) watchers() []*daemon {
	var watchers []*daemon
	for _, d := range f.daemons {
		if !d.down && d.elector.watching {
			watchers = append(watchers, d)
		}
	}
	return watchers
}

// countOutdated returns the number of daemons that run, are not partitioned and do not
// have the latest version.
func (f *fleet) countOutdated() int {
	n := 0
	for _, d := range f.daemons {
		if !d.down && !d.partitioned && d.version < f.version {
			n++
		}
	}
	return n
}

// publishAndWait publishes a version and returns the time until all daemons have it.
func (f *fleet) publishAndWait(t *testing.T) time.Duration {
	t.Helper()
	f.version++
	start := f.now
	for f.countOutdated() > 0 {
		f.advance(step)
		require.Less(t, f.now.Sub(start), time.Minute, "%d daemons lack the version", f.countOutdated())
	}
	return f.now.Sub(start)
}
