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
	pollWait  = 1500 * time.Millisecond
	readLimit = 2900 * time.Millisecond
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
	serves func(*daemon) bool
	hangs  func(*daemon) bool
	calls  int
	// queue holds the messages of the last step.
	queue []func()
}

type daemon struct {
	f       *fleet
	name    string
	zone    model.AvailabilityZone
	roster  *Roster
	version int
	down    bool
	// cut daemons hear no others.
	cut bool
	// free is when the next call may be made, until when a read waits, hung whether it
	// gets no answer, and pause that after the next failure.
	free, until model.Instant
	reading     bool
	hung        bool
	pause       time.Duration
	sent        int
}

func newFleet(n int) *fleet {
	f := &fleet{
		now: 1, rng: rand.New(rand.NewPCG(7, uint64(n))), byName: make(map[string]*daemon),
		serves: func(*daemon) bool { return true }, hangs: func(*daemon) bool { return false },
	}
	for i := range n {
		d := &daemon{f: f, name: fmt.Sprintf("d%04d", i), zone: model.AvailabilityZone(fmt.Sprint("z", i%zones))}
		d.start()
		f.daemons = append(f.daemons, d)
		f.byName[d.name] = d
	}
	f.meet()
	return f
}

func (d *daemon) start() {
	*d = daemon{f: d.f, name: d.name, zone: d.zone, roster: New(d.name, d.f.now, d.f.rng.Float64), pause: minRetry}
}

// meet has all daemons know who is there.
func (f *fleet) meet() {
	for _, d := range f.daemons {
		var zone []string
		for _, o := range f.daemons {
			if o.zone == d.zone && (o == d || !o.down && !d.cut) {
				zone = append(zone, o.name)
			}
		}
		d.roster.SetMembers(zone, zones)
	}
}

func (f *fleet) send(from, to *daemon, deliver func()) {
	if !from.down && !from.cut && !to.cut {
		f.queue = append(f.queue, func() {
			if !to.down {
				deliver()
			}
		})
	}
}

func (f *fleet) pass(d time.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.now = f.now.Add(step)
		due := f.queue
		f.queue = nil
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
		d.read()
	}
	if !d.roster.Watching(now) {
		return
	}
	if !d.reading && now >= d.free {
		d.call()
	}
	d.beat()
}

// beat sends a heartbeat if one is due.
func (d *daemon) beat() {
	if !d.roster.HeartbeatDue(d.f.now) {
		return
	}
	reaches := d.roster.Reaches()
	for _, other := range d.roster.Others() {
		to := d.f.byName[other]
		d.sent++
		d.f.send(d, to, func() {
			to.roster.Heard(to.f.now, d.name, reaches)
			to.take(d.version)
		})
	}
}

// call begins a read of the store.
func (d *daemon) call() {
	d.f.calls++
	d.hung = d.f.hangs(d)
	if !d.hung && !d.f.serves(d) {
		d.fail()
		return
	}
	d.reading, d.until = true, d.f.now.Add(pollWait)
	if d.hung {
		d.until = d.f.now.Add(readLimit)
	}
}

func (d *daemon) fail() {
	d.free = d.f.now.Add(d.pause)
	d.pause = min(2*d.pause, maxRetry)
	d.called(false)
}

func (d *daemon) called(ok bool) {
	d.roster.Called(d.f.now, ok)
	d.beat()
}

// read looks whether a read that waits has come to its end.
func (d *daemon) read() {
	switch {
	case d.hung && d.f.now >= d.until:
		d.reading = false
		d.fail()
	case d.hung:
	case !d.f.serves(d):
		d.reading = false
		d.fail()
	case d.f.version > d.version || d.f.now >= d.until:
		d.reading, d.pause = false, minRetry
		d.take(d.f.version)
		d.called(true)
	}
}

// take brings a version into force and hands it on.
func (d *daemon) take(version int) {
	if version <= d.version {
		return
	}
	d.version = version
	d.roster.News()
	d.beat()
	var members []gossip.Member
	for _, o := range d.f.daemons {
		if o != d && !o.down {
			members = append(members, gossip.Member{Address: o.name, Zone: o.zone})
		}
	}
	for _, m := range (gossip.Targets{Zone: d.zone, Draw: d.f.rng.IntN}).Push(members, false) {
		to := d.f.byName[m.Address]
		d.f.send(d, to, func() { to.take(version) })
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
func (f *fleet) behind() int {
	n := 0
	for _, d := range f.daemons {
		if !d.down && !d.cut && d.version < f.version {
			n++
		}
	}
	return n
}

// inForce publishes a version and returns how long it takes to be in force everywhere.
func (f *fleet) inForce(t *testing.T) time.Duration {
	t.Helper()
	f.version++
	began := f.now
	for f.behind() > 0 {
		f.pass(step)
		require.Less(t, f.now.Sub(began), time.Minute, "%d daemons lack the version", f.behind())
	}
	return f.now.Sub(began)
}
