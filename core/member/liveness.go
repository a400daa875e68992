package member

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Life returns the life of Self as others are to know it.
func (d *Directory) Life() model.Incarnation { return d.incarnation }

// Health returns what is thought of a daemon. One that nobody spoke of is
// alive.
func (d *Directory) Health(id model.DaemonID) Health {
	if l, ok := d.lives.get(id); ok {
		return l.Health
	}
	return Alive
}

// Suspect records that a daemon did not answer, and reports whether that is
// news. A daemon that is suspect or dead already stays what it is.
func (d *Directory) Suspect(id model.DaemonID) bool {
	l, _ := d.lives.get(id)
	if l.Health > Alive {
		return false
	}
	return d.ApplyLiveness(Liveness{Daemon: id, Life: l.Life, Health: Suspect})
}

// Answered records that a daemon answered with a life, and reports whether that
// is news.
func (d *Directory) Answered(id model.DaemonID, life model.Incarnation) bool {
	l, known := d.lives.get(id)
	if !known || life <= l.Life {
		return false
	}
	return d.ApplyLiveness(Liveness{Daemon: id, Life: life, Health: Alive})
}

// ApplyLiveness takes in what others think of a daemon and reports whether it
// won. Of Self it is answered by a higher life, unless Self is thought alive.
func (d *Directory) ApplyLiveness(l Liveness) bool {
	if !l.valid() {
		return false
	}
	if l.Daemon == d.opts.Self && d.opts.Self != "" {
		if l.Health == Alive || l.Life < d.incarnation {
			return false
		}
		d.incarnation = l.Life + 1
		l = Liveness{Daemon: d.opts.Self, Life: d.incarnation, Health: Alive}
	}
	if d.upstreamsPerDaemon[l.Daemon] == 0 {
		return false
	}
	return d.setLiveness(l)
}

func (d *Directory) setLiveness(l Liveness) bool {
	old, known := d.lives.get(l.Daemon)
	if known && !l.newer(old) {
		return false
	}
	d.lives.set(l.Daemon, l)
	d.trackHealth(l)
	if (old.Health == Dead) != (l.Health == Dead) {
		d.invalidateViews(l.Daemon)
	}
	return true
}

func (d *Directory) trackHealth(l Liveness) {
	delete(d.suspectedSince, l.Daemon)
	delete(d.deadSince, l.Daemon)
	switch l.Health {
	case Suspect:
		d.suspectedSince[l.Daemon] = d.now
	case Dead:
		d.deadSince[l.Daemon] = d.now
	case Alive:
	}
}

// invalidateViews makes the lists anew of services with upstreams at a daemon.
func (d *Directory) invalidateViews(id model.DaemonID) {
	for _, e := range d.events.all() {
		if e.Upstream.Daemon == id {
			if s := d.services[e.Upstream.Service]; s != nil {
				s.sorted = nil
			}
		}
	}
	d.generation++
}

// sweepInterval is the time between two walks through all records.
const sweepInterval = 5 * time.Second

// Tick moves the time on and does what has become due. It reports whether any
// record changed. It is called at least every second.
func (d *Directory) Tick(now model.Instant, unix int64) bool {
	if !d.started {
		d.started, d.startedAt = true, now
	}
	d.now, d.wallSeconds = now, unix
	changed := d.expireSuspicions()
	if now.Sub(d.lastSweep) >= sweepInterval {
		d.lastSweep = now
		changed = d.expireDeadDaemons() || changed
		changed = d.removeUnannounced() || changed
		d.deleteOldTombstones()
	}
	return changed
}

func (d *Directory) expireSuspicions() bool {
	changed := false
	for id, since := range d.suspectedSince {
		if d.now.Sub(since) < d.opts.SuspicionTimeout {
			continue
		}
		l, _ := d.lives.get(id)
		l.Health = Dead
		changed = d.ApplyLiveness(l) || changed
	}
	return changed
}

// expireDeadDaemons lets the upstreams of daemons leave that have long been dead.
func (d *Directory) expireDeadDaemons() bool {
	changed := false
	for id, since := range d.deadSince {
		if d.now.Sub(since) < d.opts.TombstoneRetention {
			continue
		}
		for _, e := range d.events.all() {
			if e.Upstream.Daemon == id && e.State != Left {
				e.State, e.Unix = Left, d.wallSeconds
				changed = d.Apply(e) || changed
			}
		}
		delete(d.deadSince, id)
	}
	return changed
}

// removeUnannounced tells, once Self has run for a while, that upstreams have left that
// name Self as their daemon and have not announced themselves.
func (d *Directory) removeUnannounced() bool {
	if d.opts.Self == "" || d.now.Sub(d.startedAt) < d.opts.Grace {
		return false
	}
	changed := false
	for _, e := range d.events.all() {
		_, announced := d.announced[e.Upstream.ID]
		if e.Upstream.Daemon != d.opts.Self || announced || e.State == Left {
			continue
		}
		e.State, e.Unix = Left, d.wallSeconds
		changed = d.Apply(e) || changed
	}
	return changed
}

// deleteOldTombstones drops the events of upstreams that left long ago.
func (d *Directory) deleteOldTombstones() {
	if d.wallSeconds <= 0 {
		return
	}
	for _, e := range d.events.all() {
		if e.State == Left && time.Duration(d.wallSeconds-e.Unix)*time.Second > d.opts.TombstoneRetention {
			d.remove(e)
		}
	}
}
