package membership

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/member"
	"github.com/dottereltiller/dottereltiller/core/model"
)

// lease is the announcement of a local upstream. Without a length it holds
// until the upstream says otherwise.
type lease struct {
	event    member.Event
	duration time.Duration
	expires  time.Time
}

// Announce takes in an event of this VM's own upstream. With a positive length
// the upstream has to announce itself again within it, else it has left.
func (r *Registry) Announce(e member.Event, length time.Duration) {
	r.mu.Lock()
	if e.State == member.Left {
		delete(r.leases, e.Upstream.ID)
	} else {
		r.leases[e.Upstream.ID] = lease{event: e, duration: length, expires: time.Now().Add(length)}
	}
	changed := r.directory.Announce(e)
	r.mu.Unlock()
	if changed {
		r.metrics.announced.Inc(1)
		r.opts.OnUpdate()
	}
}

// DrainAll announces that every local upstream is draining, before this daemon
// stops.
func (r *Registry) DrainAll() {
	r.mu.RLock()
	held := make([]lease, 0, len(r.leases))
	for _, l := range r.leases {
		held = append(held, l)
	}
	r.mu.RUnlock()
	for _, l := range held {
		l.event.State = member.Draining
		r.Announce(l.event, l.duration)
	}
}

// expireLeases lets upstreams leave that have not renewed. After a pause of
// this process every lease is extended by the pause, because renewals could not
// be taken in meanwhile. r.mu is held.
func (r *Registry) expireLeases(now time.Time) []model.UpstreamID {
	pause := now.Sub(r.lastTick) - tickInterval
	paused := !r.lastTick.IsZero() && pause > tickInterval
	r.lastTick = now
	var expired []model.UpstreamID
	for id, l := range r.leases {
		if paused {
			l.expires = l.expires.Add(pause)
			r.leases[id] = l
		}
		if l.duration <= 0 || now.Before(l.expires) {
			continue
		}
		l.event.State = member.Left
		r.directory.Announce(l.event)
		delete(r.leases, id)
		expired = append(expired, id)
		r.metrics.expired.Inc(1)
	}
	return expired
}
