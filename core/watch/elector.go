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
	// heartbeatTimeout is how long after its last heartbeat a daemon still counts as a watcher.
	heartbeatTimeout = 3 * HeartbeatInterval
	// meanVolunteers is the mean number of volunteers in a cell each time its daemons find
	// that there are too few watchers.
	meanVolunteers = 2
	// minWatchers is the lowest number of daemons that should watch, in all zones together.
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
	// reachesStore is set if the heartbeat said that its sender reaches the store.
	reachesStore bool
}

// Elector decides whether a daemon watches the store. The decision depends on the heartbeats of
// the other watchers in the daemon's cell. A cell is a group of at most maxCellSize daemons of
// one zone. An Elector is not safe for concurrent use.
type Elector struct {
	// self is the address of this daemon.
	self string
	// randFloat returns random numbers from 0 to below 1.
	randFloat func() float64
	// cellAddresses holds the sorted addresses of the daemons in the cell, including this one.
	cellAddresses []string
	// wantedWatcherCount is how many daemons of the cell should watch.
	wantedWatcherCount int
	// heartbeatByAddress holds the last heartbeat of each other daemon of the cell.
	heartbeatByAddress map[string]heartbeat
	// volunteerFrom is when this daemon may first volunteer. After its start, the daemon
	// first waits for heartbeats of the existing watchers.
	volunteerFrom model.Instant

	// watching is the last decision of UpdateWatching.
	watching bool
	// reachesStore is set if this daemon's last call to the store succeeded.
	reachesStore bool
	// failingSince is when this daemon's calls to the store began to fail. If no call has
	// succeeded since the daemon began to watch, it is when the daemon began to watch.
	failingSince model.Instant
	// yieldUntil is when this daemon may watch again after it has yielded.
	yieldUntil model.Instant
	// lastHeartbeatAt is when this daemon sent its last heartbeat. Zero means that the next
	// heartbeat is due now.
	lastHeartbeatAt model.Instant
}

// New returns the Elector of the daemon with the address self. now is the start of the
// daemon. randFloat returns random numbers from 0 to below 1.
func New(self string, now model.Instant, randFloat func() float64) *Elector {
	return &Elector{
		self: self, randFloat: randFloat, cellAddresses: []string{self}, wantedWatcherCount: 1,
		heartbeatByAddress: make(map[string]heartbeat), volunteerFrom: now.Add(heartbeatTimeout),
	}
}

// SetMembers sets the members of the local zone and the number of zones. zoneMembers are the
// addresses of the zone's daemons that are reachable and not about to stop, including this one.
// If zoneMembers does not contain this daemon, the cell consists of this daemon alone.
func (e *Elector) SetMembers(zoneMembers []string, zoneCount int) {
	sortedMembers := slices.Clone(zoneMembers)
	slices.Sort(sortedMembers)
	cellCount := max((len(sortedMembers)+maxCellSize-1)/maxCellSize, 1)
	position, ok := slices.BinarySearch(sortedMembers, e.self)
	if !ok {
		e.cellAddresses, e.wantedWatcherCount = []string{e.self}, 1
		return
	}
	cellSize := (len(sortedMembers) + cellCount - 1) / cellCount
	cellStart := position / cellSize * cellSize
	e.cellAddresses = sortedMembers[cellStart:min(cellStart+cellSize, len(sortedMembers))]
	totalCellCount := cellCount * max(zoneCount, 1)
	e.wantedWatcherCount = (minWatchers + totalCellCount - 1) / totalCellCount
	for address := range e.heartbeatByAddress {
		if !slices.Contains(e.cellAddresses, address) {
			delete(e.heartbeatByAddress, address)
		}
	}
}

// RecordHeartbeat records a heartbeat received from the daemon with the address sender.
// reachesStore is set if that daemon reaches the store. Heartbeats from daemons outside the
// cell are ignored.
func (e *Elector) RecordHeartbeat(now model.Instant, sender string, reachesStore bool) {
	if sender != e.self && slices.Contains(e.cellAddresses, sender) {
		e.heartbeatByAddress[sender] = heartbeat{receivedAt: now, reachesStore: reachesStore}
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
// version of the configuration, or when the store has become reachable or unreachable.
func (e *Elector) TriggerHeartbeat() { e.lastHeartbeatAt = 0 }

// HeartbeatDue reports whether a heartbeat is due. If so, it records that the heartbeat is
// sent now.
func (e *Elector) HeartbeatDue(now model.Instant) bool {
	if !e.watching || e.lastHeartbeatAt != 0 && now.Sub(e.lastHeartbeatAt) < HeartbeatInterval {
		return false
	}
	e.lastHeartbeatAt = now
	return true
}

// UpdateWatching decides whether this daemon watches now, and returns the decision. It must
// be called several times a second.
func (e *Elector) UpdateWatching(now model.Instant) bool {
	wasWatching := e.watching
	e.watching = e.decideWatching(now)
	if e.watching && !wasWatching {
		e.reachesStore, e.failingSince, e.lastHeartbeatAt = false, now, 0
	}
	return e.watching
}

// decideWatching decides whether this daemon watches the store. A watcher stops when it
// yields. It also stops when at least wantedWatcherCount watchers with lower addresses reach the
// store. Otherwise it continues, and the first wantedWatcherCount daemons of the cell start. The
// other daemons volunteer at random while there are too few watchers. decideWatching sets
// yieldUntil if the daemon yields.
func (e *Elector) decideWatching(now model.Instant) bool {
	if now < e.yieldUntil {
		return false
	}
	if e.watching && e.shouldYield(now) {
		turnCount := (len(e.cellAddresses) + maxConcurrentTries - 1) / maxConcurrentTries
		e.yieldUntil = now.Add(min(time.Duration(turnCount-1)*yieldAfter, maxYield))
		return false
	}
	earlierCount, reachingCount, tryingCount := e.countWatchers(now)
	position := slices.Index(e.cellAddresses, e.self)
	switch {
	case earlierCount >= e.wantedWatcherCount:
		return false
	case position < e.wantedWatcherCount || e.watching:
		return true
	case reachingCount >= e.wantedWatcherCount || tryingCount >= maxConcurrentTries || now < e.volunteerFrom:
		return false
	default:
		return e.randFloat()*float64(len(e.cellAddresses)) < meanVolunteers
	}
}

// shouldYield reports whether this daemon has tried to reach the store for long enough
// and there are other daemons that could try.
func (e *Elector) shouldYield(now model.Instant) bool {
	return !e.reachesStore && now.Sub(e.failingSince) >= yieldAfter && len(e.cellAddresses) > maxConcurrentTries
}

// countWatchers counts the other watchers of the cell by their latest heartbeats.
// reachingCount is the number of watchers that reach the store. earlierCount is the number of
// watchers that reach the store and have a lower address than this daemon. tryingCount is the
// number of watchers that try to reach the store but do not reach it.
func (e *Elector) countWatchers(now model.Instant) (earlierCount, reachingCount, tryingCount int) {
	for address, hb := range e.heartbeatByAddress {
		switch {
		case now.Sub(hb.receivedAt) >= heartbeatTimeout:
		case !hb.reachesStore:
			tryingCount++
		default:
			reachingCount++
			if address < e.self {
				earlierCount++
			}
		}
	}
	return earlierCount, reachingCount, tryingCount
}

// StoreUnreachable reports whether no daemon of the cell, including this one, is known to
// reach the store.
func (e *Elector) StoreUnreachable(now model.Instant) bool {
	if e.watching && e.reachesStore {
		return false
	}
	_, reachingCount, _ := e.countWatchers(now)
	return reachingCount == 0
}

// ReachesStore reports whether this daemon watches the store and reaches it.
func (e *Elector) ReachesStore() bool { return e.watching && e.reachesStore }

// CellPeers returns the other daemons of the cell, to which heartbeats are sent.
func (e *Elector) CellPeers() []string {
	peers := make([]string, 0, len(e.cellAddresses))
	for _, address := range e.cellAddresses {
		if address != e.self {
			peers = append(peers, address)
		}
	}
	return peers
}
