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
	step = 20 * time.Millisecond
	// pollWait and readLimit are how long a read of the store waits, and after which it is
	// given up.
	pollWait    = 1500 * time.Millisecond
	readTimeout = 2900 * time.Millisecond
	// minRetry and maxRetry bound the pause after a call that failed.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Second
	zones    = 5
)

// fleet is daemons that follow a store in virtual time. A message takes one step.
type fleet struct {
	now     model.Instant
	rng     *rand.Rand
	daemons []*daemon
	byName  map[string]*daemon
	version int
	// serves tells whether the store serves a daemon; hangs whether it answers nothing.
	storeServes func(*daemon) bool
	storeHangs  func(*daemon) bool
	storeCalls  int
	// queue holds the messages of the last step.
	inTransit []func()
}

type daemon struct {
	f       *fleet
	name    string
	zone    model.AvailabilityZone
	roster  *Roster
	version int
	down    bool
	// cut daemons hear no others.
	partitioned bool
	// free is when the next call may be made, until when a read waits, hung whether it
	// gets no answer, and pause that after the next failure.
	nextReadAt, readUntil model.Instant
	reading               bool
	hung                  bool
	retryDelay            time.Duration
	heartbeatsSent        int
}

func newFleet(n int) *fleet {
	f := &fleet{
		now: 1, rng: rand.New(rand.NewPCG(7, uint64(n))), byName: make(map[string]*daemon),
		storeServes: func(*daemon) bool { return true }, storeHangs: func(*daemon) bool { return false },
	}
	for i := range n {
		d := &daemon{f: f, name: fmt.Sprintf("d%04d", i), zone: model.AvailabilityZone(fmt.Sprint("z", i%zones))}
		d.start()
		f.daemons = append(f.daemons, d)
		f.byName[d.name] = d
	}
	f.updateMembers()
	return f
}

func (d *daemon) start() {
	*d = daemon{f: d.f, name: d.name, zone: d.zone, roster: New(d.name, d.f.now, d.f.rng.Float64), retryDelay: minRetry}
}

// meet has all daemons know who is there.
func (f *fleet) updateMembers() {
	for _, d := range f.daemons {
		var zone []string
		for _, o := range f.daemons {
			if o.zone == d.zone && (o == d || !o.down && !d.partitioned) {
				zone = append(zone, o.name)
			}
		}
		d.roster.SetMembers(zone, zones)
	}
}

func (f *fleet) send(from, to *daemon, deliver func()) {
	if !from.down && !from.partitioned && !to.partitioned {
		f.inTransit = append(f.inTransit, func() {
			if !to.down {
				deliver()
			}
		})
	}
}

func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.now = f.now.Add(step)
		due := f.inTransit
		f.inTransit = nil
		for _, deliver := range due {
			deliver()
		}
		for _, d := range f.daemons {
			if !d.down {
				d.tick()
			}
		}
	}
}

func (d *daemon) tick() {
	now := d.f.now
	if d.reading {
		d.checkRead()
	}
	if !d.roster.Watching(now) {
		return
	}
	if !d.reading && now >= d.nextReadAt {
		d.startRead()
	}
	d.sendHeartbeat()
}

// beat sends a heartbeat if one is due.
func (d *daemon) sendHeartbeat() {
	if !d.roster.HeartbeatDue(d.f.now) {
		return
	}
	reaches := d.roster.Reaches()
	for _, other := range d.roster.Others() {
		to := d.f.byName[other]
		d.heartbeatsSent++
		d.f.send(d, to, func() {
			to.roster.Heard(to.f.now, d.name, reaches)
			to.applyVersion(d.version)
		})
	}
}

// call begins a read of the store.
func (d *daemon) startRead() {
	d.f.storeCalls++
	d.hung = d.f.storeHangs(d)
	if !d.hung && !d.f.storeServes(d) {
		d.failRead()
		return
	}
	d.reading, d.readUntil = true, d.f.now.Add(pollWait)
	if d.hung {
		d.readUntil = d.f.now.Add(readTimeout)
	}
}

func (d *daemon) failRead() {
	d.nextReadAt = d.f.now.Add(d.retryDelay)
	d.retryDelay = min(2*d.retryDelay, maxRetry)
	d.recordStoreCall(false)
}

func (d *daemon) recordStoreCall(ok bool) {
	d.roster.Called(d.f.now, ok)
	d.sendHeartbeat()
}

// read looks whether a read that waits has come to its end.
func (d *daemon) checkRead() {
	switch {
	case d.hung && d.f.now >= d.readUntil:
		d.reading = false
		d.failRead()
	case d.hung:
	case !d.f.storeServes(d):
		d.reading = false
		d.failRead()
	case d.f.version > d.version || d.f.now >= d.readUntil:
		d.reading, d.retryDelay = false, minRetry
		d.applyVersion(d.f.version)
		d.recordStoreCall(true)
	}
}

// take brings a version into force and hands it on.
func (d *daemon) applyVersion(version int) {
	if version <= d.version {
		return
	}
	d.version = version
	d.roster.News()
	d.sendHeartbeat()
	var members []gossip.Member
	for _, o := range d.f.daemons {
		if o != d && !o.down {
			members = append(members, gossip.Member{Address: o.name, Zone: o.zone})
		}
	}
	for _, m := range (gossip.Targets{Zone: d.zone, Draw: d.f.rng.IntN}).Push(members, false) {
		to := d.f.byName[m.Address]
		d.f.send(d, to, func() { to.applyVersion(version) })
	}
}

func (f *fleet) watchers() []*daemon {
	var out []*daemon
	for _, d := range f.daemons {
		if !d.down && d.roster.watching {
			out = append(out, d)
		}
	}
	return out
}

// behind returns how many daemons that run and are not cut off lack the last version.
func (f *fleet) countOutdated() int {
	n := 0
	for _, d := range f.daemons {
		if !d.down && !d.partitioned && d.version < f.version {
			n++
		}
	}
	return n
}

// inForce publishes a version and returns how long it takes to be in force everywhere.
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
