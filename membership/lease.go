package membership

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/member"
	"github.com/dottereltiller/dottereltiller/core/model"
)

// lease holds the last announcement of a local upstream.
type lease struct {
	event member.Event
	// duration is how long the lease is valid after an announcement. Zero means
	// that the lease never expires.
	duration  time.Duration
	expiresAt time.Time
}

// Announce applies an event of a local upstream. If the event changes the view, Announce
// also calls OnUpdate. duration is the duration of the upstream's lease. If duration is
// positive, the upstream has to renew the lease by another announcement before the lease
// expires; otherwise the Registry marks the upstream as left. If duration is zero or
// negative, the lease never expires. An event with state Left ends the lease.
func (r *Registry) Announce(e member.Event, duration time.Duration) {
	r.mu.Lock()
	if e.State == member.Left {
		delete(r.leaseByUpstream, e.Upstream.ID)
	} else {
		r.leaseByUpstream[e.Upstream.ID] = lease{event: e, duration: duration, expiresAt: time.Now().Add(duration)}
	}
	changed := r.directory.Announce(e)
	r.mu.Unlock()
	if changed {
		r.metrics.changedAnnouncements.Inc(1)
		r.opts.OnUpdate()
	}
}

// Drain announces that an incarnation of a local upstream is draining, and renews its lease. Drain does nothing if
// the incarnation has no lease.
func (r *Registry) Drain(up model.Upstream) {
	r.mu.RLock()
	l, ok := r.leaseByUpstream[up.ID]
	r.mu.RUnlock()
	if ok && l.event.Upstream.Incarnation == up.Incarnation {
		l.event.State = member.Draining
		r.Announce(l.event, l.duration)
	}
}

// DrainAll announces that every local upstream is draining, and renews the leases. It is
// called before this daemon stops.
func (r *Registry) DrainAll() {
	r.mu.RLock()
	leases := make([]lease, 0, len(r.leaseByUpstream))
	for _, l := range r.leaseByUpstream {
		leases = append(leases, l)
	}
	r.mu.RUnlock()
	for _, l := range leases {
		l.event.State = member.Draining
		r.Announce(l.event, l.duration)
	}
}

// expireLeases marks the upstreams whose lease has expired as left, and returns
// their IDs. If this process was paused since the last tick for longer than
// tickInterval, expireLeases first extends every lease by the length of the pause,
// because no renewal could be received during the pause. r.mu is held.
func (r *Registry) expireLeases(now time.Time) []model.UpstreamID {
	pauseDuration := now.Sub(r.lastTick) - tickInterval
	wasPaused := !r.lastTick.IsZero() && pauseDuration > tickInterval
	r.lastTick = now
	var expiredIDs []model.UpstreamID
	for id, l := range r.leaseByUpstream {
		if wasPaused {
			l.expiresAt = l.expiresAt.Add(pauseDuration)
			r.leaseByUpstream[id] = l
		}
		if l.duration <= 0 || now.Before(l.expiresAt) {
			continue
		}
		l.event.State = member.Left
		r.directory.Announce(l.event)
		delete(r.leaseByUpstream, id)
		expiredIDs = append(expiredIDs, id)
		r.metrics.expiredLeases.Inc(1)
	}
	return expiredIDs
}
