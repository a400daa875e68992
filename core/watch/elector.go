package watch

import (
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a watcher if nothing
	// changes.
	HeartbeatInterval = 400 * time.Millisecond
	// heartbeatTimeout is the time after a daemon's last heartbeat. When it has passed, the
	// daemon no longer counts as a watcher.
	heartbeatTimeout = 3 * HeartbeatInterval
	// meanVolunteers is the mean number of volunteers in a cell each time its daemons find
	// that there are too few watchers.
	meanVolunteers = 2
	// minWatchers is the lowest number of watchers in all zones together.
	minWatchers = 3
	// maxConcurrentTries is how many daemons of a cell may try to reach the store at the
	// same time without success.
	maxConcurrentTries = 2
	// yieldAfter is how long a daemon tries to reach the store before it yields. A daemon
	// that yields stops watching for a while, so that others can try.
	yieldAfter = 2 * time.Second
	// maxYield is the longest time for which a daemon yields.
	maxYield = 10 * time.Second
	// maxCellSize bounds the number of daemons to which one watcher sends heartbeats.
	maxCellSize = 64
)

// heartbeat is the last heartbeat received from another daemon.
type heartbeat struct {
	receivedAt model.Instant
	// reachesStore is set if that daemon reaches the store.
	reachesStore bool
}

// Elector decides whether a daemon watches the store, from what it knows about the other
// watchers of its cell. It is not safe for concurrent use.
type Elector struct {
	self string
	// randFloat returns random numbers from 0 to below 1.
	randFloat func() float64
	// cell holds the sorted addresses of the daemons in the cell, including this one.
	cell []string
	// wantedWatchers is how many daemons of the cell should watch.
	wantedWatchers int
	// heartbeats holds the last heartbeat of each other daemon of the cell, by address.
	heartbeats map[string]heartbeat
	// volunteerFrom is when this daemon may first volunteer. After its start, the daemon
	// first waits for heartbeats of the existing watchers.
	volunteerFrom model.Instant

	watching bool
	// reachesStore is set if this daemon's last call to the store succeeded.
	reachesStore bool
	// failingSince is when this daemon's calls to the store began to fail. If no call has
	// succeeded since the daemon began to watch, it is when the daemon began to watch.
	failingSince model.Instant
	// yieldUntil is when this daemon may watch again after it has yielded.
	yieldUntil model.Instant
	// lastHeartbeat is when this daemon sent its last heartbeat. Zero means that the next
	// heartbeat is due now.
	lastHeartbeat model.Instant
}

// New returns the Elector of the daemon with the address self. now is the start of the
// daemon. randFloat returns random numbers from 0 to below 1.
func New(self string, now model.Instant, randFloat func() float64) *Elector {
	return &Elector{
		self: self, randFloat: randFloat, cell: []string{self}, wantedWatchers: 1,
		heartbeats: make(map[string]heartbeat), volunteerFrom: now.Add(heartbeatTimeout),
	}
}

// SetMembers sets the members of the local zone and the number of zones. zoneMembers are
// the addresses of the daemons that are reachable and not about to stop, including this
// one.
func (e *Elector) SetMembers(zoneMembers []string, zones int) {
	ordered := slices.Clone(zoneMembers)
	slices.Sort(ordered)
	cellCount := max((len(ordered)+maxCellSize-1)/maxCellSize, 1)
	position, ok := slices.BinarySearch(ordered, e.self)
	if !ok {
		e.cell, e.wantedWatchers = []string{e.self}, 1
		return
	}
	size := (len(ordered) + cellCount - 1) / cellCount
	first := position / size * size
	e.cell = ordered[first:min(first+size, len(ordered))]
	totalCells := cellCount * max(zones, 1)
	e.wantedWatchers = (minWatchers + totalCells - 1) / totalCells
	for address := range e.heartbeats {
		if !slices.Contains(e.cell, address) {
			delete(e.heartbeats, address)
		}
	}
}

// RecordHeartbeat records a heartbeat received from the daemon with the address from.
// reachesStore is set if that daemon reaches the store.
func (e *Elector) RecordHeartbeat(now model.Instant, from string, reachesStore bool) {
	if from != e.self && slices.Contains(e.cell, from) {
		e.heartbeats[from] = heartbeat{receivedAt: now, reachesStore: reachesStore}
	}
}

// RecordStoreCall records whether a call to the store succeeded. If the result differs
// from that of the last call, the next heartbeat is due at once.
func (e *Elector) RecordStoreCall(now model.Instant, succeeded bool) {
	if e.reachesStore && !succeeded {
		e.failingSince = now
	}
	if succeeded != e.reachesStore {
		e.reachesStore = succeeded
		e.TriggerHeartbeat()
	}
}

// TriggerHeartbeat makes the next heartbeat due at once. It is called when there is a new
// version, or when the store has become reachable or unreachable.
func (e *Elector) TriggerHeartbeat() { e.lastHeartbeat = 0 }

// HeartbeatDue reports whether a heartbeat is due. If so, it records that the heartbeat is
// sent now.
func (e *Elector) HeartbeatDue(now model.Instant) bool {
	if !e.watching || e.lastHeartbeat != 0 && now.Sub(e.lastHeartbeat) < HeartbeatInterval {
		return false
	}
	e.lastHeartbeat = now
	return true
}

// UpdateWatching decides whether this daemon watches now, and returns the decision. It must
// be called several times a second.
func (e *Elector) UpdateWatching(now model.Instant) bool {
	wasWatching := e.watching
	e.watching = e.shouldWatch(now)
	if e.watching && !wasWatching {
		e.reachesStore, e.failingSince, e.lastHeartbeat = false, now, 0
	}
	return e.watching
}

// shouldWatch decides whether this daemon watches the store. A watcher stops when enough
// daemons before it in the cell reach the store, or when it yields. Otherwise the first
// daemons of the cell always watch. The other daemons volunteer at random while there are
// too few watchers.
func (e *Elector) shouldWatch(now model.Instant) bool {
	if now < e.yieldUntil {
		return false
	}
	if e.watching && e.shouldYield(now) {
		turns := (len(e.cell) + maxConcurrentTries - 1) / maxConcurrentTries
		e.yieldUntil = now.Add(min(time.Duration(turns-1)*yieldAfter, maxYield))
		return false
	}
	earlier, reaching, trying := e.countWatchers(now)
	position := slices.Index(e.cell, e.self)
	switch {
	case earlier >= e.wantedWatchers:
		return false
	case position < e.wantedWatchers || e.watching:
		return true
	case reaching >= e.wantedWatchers || trying >= maxConcurrentTries || now < e.volunteerFrom:
		return false
	default:
		return e.randFloat()*float64(len(e.cell)) < meanVolunteers
	}
}

// shouldYield reports whether this daemon has tried to reach the store for long enough
// and there are other daemons that could try.
func (e *Elector) shouldYield(now model.Instant) bool {
	return !e.reachesStore && now.Sub(e.failingSince) >= yieldAfter && len(e.cell) > maxConcurrentTries
}

// countWatchers counts the other watchers by their latest heartbeats. reaching is the number
// of watchers that reach the store. earlier is how many of these come before this daemon in
// the cell. trying is the number of watchers that do not reach the store.
func (e *Elector) countWatchers(now model.Instant) (earlier, reaching, trying int) {
	for address, hb := range e.heartbeats {
		switch {
		case now.Sub(hb.receivedAt) >= heartbeatTimeout:
		case !hb.reachesStore:
			trying++
		default:
			reaching++
			if address < e.self {
				earlier++
			}
		}
	}
	return earlier, reaching, trying
}

// StoreUnreachable reports whether no daemon of the cell, including this one, is known to
// reach the store.
func (e *Elector) StoreUnreachable(now model.Instant) bool {
	if e.watching && e.reachesStore {
		return false
	}
	_, reaching, _ := e.countWatchers(now)
	return reaching == 0
}

// ReachesStore reports whether this daemon watches the store and reaches it.
func (e *Elector) ReachesStore() bool { return e.watching && e.reachesStore }

// CellPeers returns the other daemons of the cell, to which heartbeats are sent.
func (e *Elector) CellPeers() []string {
	out := make([]string, 0, len(e.cell))
	for _, address := range e.cell {
		if address != e.self {
			out = append(out, address)
		}
	}
	return out
}
