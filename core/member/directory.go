package member

import (
	"sort"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Options configure a Directory.
type Options struct {
	// Self is the daemon that holds the Directory. It is empty if the Directory
	// does not belong to a daemon.
	Self model.DaemonID
	// Incarnation is the incarnation number of Self. It must be larger than that
	// of any earlier incarnation.
	Incarnation model.Incarnation
	// MaxUpstreams is the maximum number of upstreams held, including those that
	// have left. It also bounds the number of daemons, since each daemon held has
	// at least one upstream. Default: 8192.
	MaxUpstreams int
	// SuspicionTimeout is how long a daemon is suspect before it is declared
	// dead. Default: 3s.
	SuspicionTimeout time.Duration
	// TombstoneRetention is how long the event of an upstream that has left is
	// kept. Such an event is called a tombstone. TombstoneRetention is also the
	// time after which the upstreams of a dead daemon are marked as left. Default:
	// 1h.
	TombstoneRetention time.Duration
	// StartupGrace is how long after its start Self waits for its upstreams to
	// announce themselves. After StartupGrace, Self marks as left the upstreams of
	// its earlier incarnation that have not announced themselves. Default: 30s.
	StartupGrace time.Duration
}

const (
	defaultMaxUpstreams       = 8192
	defaultSuspicionTimeout   = 3 * time.Second
	defaultTombstoneRetention = time.Hour
	defaultStartupGrace       = 30 * time.Second
)

// Directory holds, for each upstream and each daemon, the record with the
// highest precedence. It must be created with New or NewDirectory. It is not
// safe for concurrent use.
type Directory struct {
	opts     Options
	events   table[model.UpstreamID, Event]
	liveness table[model.DaemonID, Liveness]
	services map[model.ServiceName]*service
	// suspectedSince holds the time at which each suspect daemon became suspect.
	suspectedSince map[model.DaemonID]model.Instant
	// deadSince holds the time at which each dead daemon became dead.
	deadSince map[model.DaemonID]model.Instant
	// announcedEvents holds the events that Self announced, except for upstreams that
	// have left.
	announcedEvents map[model.UpstreamID]Event
	// upstreamsPerDaemon counts the upstreams held for each daemon. No state is
	// kept for daemons without upstreams.
	upstreamsPerDaemon map[model.DaemonID]int
	// unloggedSince holds the upstreams whose stored event has not yet been read from
	// the log. The value is the time at which that event arrived.
	unloggedSince map[model.UpstreamID]model.Instant
	// incarnation is the current incarnation number of Self.
	incarnation model.Incarnation
	// now is the monotonic time passed to the last Tick.
	now model.Instant
	// wallSeconds is the time in Unix seconds passed to the last Tick.
	wallSeconds int64
	// started is set by the first Tick.
	started bool
	// startedAt is the time of the first Tick.
	startedAt model.Instant
	// lastSweepAt is when all records were last scanned.
	lastSweepAt model.Instant
	// deltaCursor is the index at which the next Delta continues its rotation
	// through records that do not fit into one delta.
	deltaCursor int
	// generation increases with every change of the view.
	generation uint64
}

// service indexes the upstreams of one service that have not left.
type service struct {
	ids map[model.UpstreamID]bool
	// sorted caches the result of Upstreams, ordered by ID. It is nil when it must
	// be rebuilt.
	sorted []model.Upstream
}

// NewDirectory returns an empty Directory with default options.
func NewDirectory() *Directory { return New(Options{}) }

// New returns an empty Directory.
func New(o Options) *Directory {
	if o.MaxUpstreams <= 0 {
		o.MaxUpstreams = defaultMaxUpstreams
	}
	if o.SuspicionTimeout <= 0 {
		o.SuspicionTimeout = defaultSuspicionTimeout
	}
	if o.TombstoneRetention <= 0 {
		o.TombstoneRetention = defaultTombstoneRetention
	}
	if o.StartupGrace <= 0 {
		o.StartupGrace = defaultStartupGrace
	}
	return &Directory{
		opts:               o,
		events:             newTable[model.UpstreamID, Event](eventHash),
		liveness:           newTable[model.DaemonID, Liveness](livenessHash),
		services:           make(map[model.ServiceName]*service),
		suspectedSince:     make(map[model.DaemonID]model.Instant),
		deadSince:          make(map[model.DaemonID]model.Instant),
		announcedEvents:    make(map[model.UpstreamID]Event),
		upstreamsPerDaemon: make(map[model.DaemonID]int),
		unloggedSince:      make(map[model.UpstreamID]model.Instant),
		incarnation:        o.Incarnation,
	}
}

// Generation returns a number that increases whenever the result of Upstreams may
// have changed for any service.
func (d *Directory) Generation() uint64 { return d.generation }

// Len returns the number of upstreams held, including those that have left.
func (d *Directory) Len() int { return d.events.len() }

// Announce applies an event of an upstream that belongs to Self, and reports
// whether the event took effect. The Directory may hold a later state of the same
// incarnation that Self did not announce. The event then gets a higher epoch to
// override that state.
func (d *Directory) Announce(e Event) bool {
	e.Unix = d.wallSeconds
	if old, ok := d.events.get(e.Upstream.ID); ok && old.Upstream.Incarnation == e.Upstream.Incarnation {
		e.Epoch = old.Epoch
		if _, announced := d.announcedEvents[e.Upstream.ID]; !announced && old.State > e.State {
			e.Epoch++
		}
	}
	if e.State == Left {
		delete(d.announcedEvents, e.Upstream.ID)
	} else {
		d.announcedEvents[e.Upstream.ID] = e
	}
	applied := d.Apply(e)
	if d.opts.Self != "" && d.upstreamsPerDaemon[d.opts.Self] > 0 {
		d.setLiveness(Liveness{Daemon: d.opts.Self, Incarnation: d.incarnation, Health: Alive})
	}
	return applied
}

// Apply applies an event and reports whether the event took effect. It ignores an
// event that is invalid or does not take precedence over the stored event. It also
// ignores the event of an unknown upstream if the event is an old tombstone, or if the
// Directory is full and holds no upstream that has left.
func (d *Directory) Apply(e Event) bool {
	if !e.isValid() {
		return false
	}
	old, known := d.events.get(e.Upstream.ID)
	if known && !e.overrides(old) {
		return false
	}
	if !known && (d.isOldTombstone(e) || !d.ensureCapacity()) {
		return false
	}
	e.Upstream.Draining = e.State != Joined
	if known {
		d.remove(old)
	}
	d.events.set(e.Upstream.ID, e)
	d.upstreamsPerDaemon[e.Upstream.Daemon]++
	d.unloggedSince[e.Upstream.ID] = d.now
	d.index(e)
	d.generation++
	d.refute(e)
	return true
}

// remove deletes an event and the state derived from it. If the event was the last one
// of a daemon's upstreams, remove also deletes the liveness record of that daemon.
func (d *Directory) remove(e Event) {
	u := e.Upstream
	d.events.remove(u.ID)
	d.unindex(e)
	delete(d.unloggedSince, u.ID)
	if d.upstreamsPerDaemon[u.Daemon]--; d.upstreamsPerDaemon[u.Daemon] > 0 {
		return
	}
	delete(d.upstreamsPerDaemon, u.Daemon)
	d.liveness.remove(u.Daemon)
	delete(d.suspectedSince, u.Daemon)
	delete(d.deadSince, u.Daemon)
}

// isOldTombstone reports whether the event is a tombstone (the event of an
// upstream that has left) older than half of TombstoneRetention. The daemons that hold
// such a tombstone will delete it soon. A daemon that does not hold the tombstone does
// not store it: storing it would only delay the time when no daemon holds it any more.
func (d *Directory) isOldTombstone(e Event) bool {
	return e.State == Left && d.wallSeconds > 0 && time.Duration(d.wallSeconds-e.Unix)*time.Second > d.opts.TombstoneRetention/2
}

// ensureCapacity reports whether another upstream can be added. If MaxUpstreams are
// held, it makes space by deleting the upstream that left first. If none has left,
// it returns false.
func (d *Directory) ensureCapacity() bool {
	if d.events.len() < d.opts.MaxUpstreams {
		return true
	}
	var oldest *Event
	for _, e := range d.events.all() {
		if e.State == Left && (oldest == nil || e.Unix < oldest.Unix) {
			oldest = &e
		}
	}
	if oldest == nil {
		return false
	}
	d.remove(*oldest)
	return true
}

// refute checks an event that was just applied. If the event takes precedence over
// the event that Self announced for the same upstream and incarnation, other daemons
// hold a state that Self did not announce. refute then applies the announced event
// again with a higher epoch, which overrides that state.
func (d *Directory) refute(e Event) {
	announcedEvent, ok := d.announcedEvents[e.Upstream.ID]
	if !ok || !e.overrides(announcedEvent) || announcedEvent.Upstream.Incarnation != e.Upstream.Incarnation {
		return
	}
	announcedEvent.Epoch = e.Epoch + 1
	announcedEvent.Unix = d.wallSeconds
	d.announcedEvents[e.Upstream.ID] = announcedEvent
	d.Apply(announcedEvent)
}

// index adds an upstream to the index of its service unless it has left.
func (d *Directory) index(e Event) {
	if e.State == Left {
		return
	}
	s := d.services[e.Upstream.Service]
	if s == nil {
		s = &service{ids: make(map[model.UpstreamID]bool)}
		d.services[e.Upstream.Service] = s
	}
	s.ids[e.Upstream.ID] = true
	s.sorted = nil
}

// unindex removes an upstream from the index of its service.
func (d *Directory) unindex(e Event) {
	s := d.services[e.Upstream.Service]
	if s == nil {
		return
	}
	delete(s.ids, e.Upstream.ID)
	s.sorted = nil
	if len(s.ids) == 0 {
		delete(d.services, e.Upstream.Service)
	}
}

// Upstreams returns the upstreams of a service that have not left, ordered by
// ID. It omits the upstreams whose daemon is dead. However, if these are more than
// half of the service, it omits none. The slice is shared and must not be modified.
func (d *Directory) Upstreams(name model.ServiceName) []model.Upstream {
	s := d.services[name]
	if s == nil {
		return nil
	}
	if s.sorted == nil {
		s.sorted = d.buildView(s)
	}
	return s.sorted
}

// buildView computes the result of Upstreams for a service.
func (d *Directory) buildView(s *service) []model.Upstream {
	all := make([]model.Upstream, 0, len(s.ids))
	for id := range s.ids {
		e, _ := d.events.get(id)
		all = append(all, e.Upstream)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	live := make([]model.Upstream, 0, len(all))
	for _, u := range all {
		if d.Health(u.Daemon) != Dead {
			live = append(live, u)
		}
	}
	if 2*len(live) < len(all) {
		return all
	}
	return live
}

// MarkLogged records that an event was read from the log. From then on Unlogged does not
// return the stored event of that upstream, unless the stored event takes precedence
// over the event from the log.
func (d *Directory) MarkLogged(e Event) {
	stored, ok := d.events.get(e.Upstream.ID)
	if ok && !stored.overrides(e) {
		delete(d.unloggedSince, e.Upstream.ID)
	}
}

// Unlogged returns the stored events that have not yet been read from the log and
// that arrived at least minAge ago. They are ordered by upstream ID.
func (d *Directory) Unlogged(minAge time.Duration) []Event {
	var out []Event
	for id, since := range d.unloggedSince {
		if e, ok := d.events.get(id); ok && d.now.Sub(since) >= minAge {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Upstream.ID < out[j].Upstream.ID })
	return out
}

// Events returns the current event of every upstream, ordered by upstream ID.
func (d *Directory) Events() []Event {
	out := make([]Event, 0, d.events.len())
	for _, e := range d.events.all() {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Upstream.ID < out[j].Upstream.ID })
	return out
}
