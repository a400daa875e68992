package member

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Incarnation returns the current incarnation number of Self. It increases when
// Self refutes a report that it is suspect or dead.
func (d *Directory) Incarnation() model.Incarnation { return d.incarnation }

// Health returns the health of a daemon. A daemon without a liveness record
// counts as alive.
func (d *Directory) Health(id model.DaemonID) Health {
	if l, ok := d.liveness.get(id); ok {
		return l.Health
	}
	return Alive
}

// Suspect marks a daemon as suspect because it did not respond. It does not change a
// daemon that is already suspect or dead. It returns false if nothing changed.
func (d *Directory) Suspect(id model.DaemonID) bool {
	l, _ := d.liveness.get(id)
	if l.Health > Alive {
		return false
	}
	return d.ApplyLiveness(Liveness{Daemon: id, Incarnation: l.Incarnation, Health: Suspect})
}

// RecordResponse records that a daemon responded with the given incarnation number. A
// higher number than the known one makes the daemon alive. RecordResponse returns false if
// nothing changed: the number is not higher, or the daemon has no liveness record.
func (d *Directory) RecordResponse(id model.DaemonID, incarnation model.Incarnation) bool {
	l, known := d.liveness.get(id)
	if !known || incarnation <= l.Incarnation {
		return false
	}
	return d.ApplyLiveness(Liveness{Daemon: id, Incarnation: incarnation, Health: Alive})
}

// ApplyLiveness applies a liveness record and reports whether any record changed. It
// ignores records of daemons without upstreams. It refutes a record that reports
// Self as suspect or dead: Self gets a higher incarnation number.
func (d *Directory) ApplyLiveness(l Liveness) bool {
	if !l.isValid() {
		return false
	}
	if l.Daemon == d.opts.Self && d.opts.Self != "" {
		if l.Health == Alive || l.Incarnation < d.incarnation {
			return false
		}
		d.incarnation = l.Incarnation + 1
		l = Liveness{Daemon: d.opts.Self, Incarnation: d.incarnation, Health: Alive}
	}
	if d.upstreamsPerDaemon[l.Daemon] == 0 {
		return false
	}
	return d.setLiveness(l)
}

// setLiveness stores a liveness record if it takes precedence over the stored one,
// and reports whether it did so.
func (d *Directory) setLiveness(l Liveness) bool {
	old, known := d.liveness.get(l.Daemon)
	if known && !l.overrides(old) {
		return false
	}
	d.liveness.set(l.Daemon, l)
	d.trackHealth(l)
	if (old.Health == Dead) != (l.Health == Dead) {
		d.invalidateViews(l.Daemon)
	}
	return true
}

// trackHealth records when a daemon became suspect or dead.
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

// invalidateViews discards the cached views of all services that have upstreams
// of a daemon.
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

// sweepInterval is the minimum time between two scans of all records by Tick. A scan
// finds upstreams to mark as left and tombstones to delete.
const sweepInterval = 5 * time.Second

// Tick sets the current time, as a monotonic clock reading and in Unix seconds. It
// then applies the timeouts that have expired: it declares daemons dead, marks
// upstreams as left and deletes old tombstones. It reports whether a daemon was
// declared dead or an upstream marked as left. Tick must be called at least once per
// second.
func (d *Directory) Tick(now model.Instant, unix int64) bool {
	if !d.started {
		d.started, d.startedAt = true, now
	}
	d.now, d.wallSeconds = now, unix
	changed := d.expireSuspicions()
	if now.Sub(d.lastSweepAt) >= sweepInterval {
		d.lastSweepAt = now
		changed = d.expireDeadDaemons() || changed
		changed = d.markUnannouncedLeft() || changed
		d.deleteOldTombstones()
	}
	return changed
}

// expireSuspicions declares dead the daemons that have been suspect for
// SuspicionTimeout. It reports whether any record changed.
func (d *Directory) expireSuspicions() bool {
	changed := false
	for id, since := range d.suspectedSince {
		if d.now.Sub(since) < d.opts.SuspicionTimeout {
			continue
		}
		l, _ := d.liveness.get(id)
		l.Health = Dead
		changed = d.ApplyLiveness(l) || changed
	}
	return changed
}

// expireDeadDaemons marks as left the upstreams of daemons that have been dead for
// TombstoneRetention. It reports whether any record changed.
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

// markUnannouncedLeft marks as left the upstreams that name Self as their daemon but
// have not been announced since Self started. It does nothing before StartupGrace
// has passed, because running upstreams need time to announce themselves again. It
// reports whether any record changed.
func (d *Directory) markUnannouncedLeft() bool {
	if d.opts.Self == "" || d.now.Sub(d.startedAt) < d.opts.StartupGrace {
		return false
	}
	changed := false
	for _, e := range d.events.all() {
		_, announced := d.announcedEvents[e.Upstream.ID]
		if e.Upstream.Daemon != d.opts.Self || announced || e.State == Left {
			continue
		}
		e.State, e.Unix = Left, d.wallSeconds
		changed = d.Apply(e) || changed
	}
	return changed
}

// deleteOldTombstones deletes the events of upstreams that left more than
// TombstoneRetention ago.
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
