package watch

import (
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// HeartbeatEvery is the time between two heartbeats of a watcher that has no news.
	HeartbeatInterval = 400 * time.Millisecond
	// silence is how long a watcher that is not heard counts as one that watches.
	heartbeatTimeout = 3 * HeartbeatInterval
	// stepIns is how many daemons of a cell step in on average each time that all look
	// whether to, while there are too few watchers.
	meanVolunteers = 2
	// minWatchers is the least number of watchers in all zones.
	minWatchers = 3
	// maxTrying is how many daemons of a cell try at once to reach a store that they do
	// not reach.
	maxConcurrentTries = 2
	// yieldAfter is how long a daemon tries before it leaves the turn to others, and
	// longestYield bounds the time until it tries again.
	yieldAfter = 2 * time.Second
	maxYield   = 10 * time.Second
	// cellSize bounds the daemons that one watcher sends heartbeats to.
	maxCellSize = 64
)

// heartbeat is the last one of another daemon.
type heartbeat struct {
	at model.Instant
	// reaches tells that it reaches the store.
	reachesStore bool
}

// Roster is what a daemon knows of the watchers of its cell. It is not safe for concurrent
// use.
type Roster struct {
	self string
	// draw draws from 0 to 1.
	randFloat func() float64
	// cell are the addresses of the cell in order, the own among them; wanted is how many
	// of it watch.
	cell           []string
	wantedWatchers int
	heartbeats     map[string]heartbeat
	// from is when others count that have not been heard: a daemon that starts leaves them
	// the time of a heartbeat.
	volunteerFrom model.Instant

	watching bool
	// reaches tells that the own last call to the store succeeded, triedSince since when
	// none has while watching.
	reaches      bool
	failingSince model.Instant
	yieldUntil   model.Instant
	// beaten is when the last heartbeat was sent. Zero means that the next one is due.
	lastHeartbeat model.Instant
}

// New returns the Roster of the daemon at an address, which starts now. Draw draws from 0
// to 1.
func New(self string, now model.Instant, randFloat func() float64) *Roster {
	return &Roster{
		self: self, randFloat: randFloat, cell: []string{self}, wantedWatchers: 1,
		heartbeats: make(map[string]heartbeat), volunteerFrom: now.Add(heartbeatTimeout),
	}
}

// SetMembers takes in the daemons of the own zone that can be reached and go on running,
// this one among them, and the number of zones.
func (r *Roster) SetMembers(zoneMembers []string, zones int) {
	ordered := slices.Clone(zoneMembers)
	slices.Sort(ordered)
	cells := max((len(ordered)+maxCellSize-1)/maxCellSize, 1)
	position, ok := slices.BinarySearch(ordered, r.self)
	if !ok {
		r.cell, r.wantedWatchers = []string{r.self}, 1
		return
	}
	size := (len(ordered) + cells - 1) / cells
	first := position / size * size
	r.cell = ordered[first:min(first+size, len(ordered))]
	totalCells := cells * max(zones, 1)
	r.wantedWatchers = (minWatchers + totalCells - 1) / totalCells
	for address := range r.heartbeats {
		if !slices.Contains(r.cell, address) {
			delete(r.heartbeats, address)
		}
	}
}

// Heard takes in a heartbeat.
func (r *Roster) Heard(now model.Instant, from string, reaches bool) {
	if from != r.self && slices.Contains(r.cell, from) {
		r.heartbeats[from] = heartbeat{at: now, reachesStore: reaches}
	}
}

// Called takes in whether a call to the store succeeded. The others are told at once when
// that has changed.
func (r *Roster) Called(now model.Instant, ok bool) {
	if r.reaches && !ok {
		r.failingSince = now
	}
	if ok != r.reaches {
		r.reaches = ok
		r.News()
	}
}

// News has the next heartbeat due at once: there is a new version, or the store has come
// or gone.
func (r *Roster) News() { r.lastHeartbeat = 0 }

// HeartbeatDue reports whether to send a heartbeat now, and takes in that it is sent.
func (r *Roster) HeartbeatDue(now model.Instant) bool {
	if !r.watching || r.lastHeartbeat != 0 && now.Sub(r.lastHeartbeat) < HeartbeatInterval {
		return false
	}
	r.lastHeartbeat = now
	return true
}

// Watching reports whether this daemon is to watch now. It is asked several times a
// second.
func (r *Roster) Watching(now model.Instant) bool {
	was := r.watching
	r.watching = r.shouldWatch(now)
	if r.watching && !was {
		r.reaches, r.failingSince, r.lastHeartbeat = false, now, 0
	}
	return r.watching
}

func (r *Roster) shouldWatch(now model.Instant) bool {
	if now < r.yieldUntil {
		return false
	}
	if r.watching && r.shouldYield(now) {
		turns := (len(r.cell) + maxConcurrentTries - 1) / maxConcurrentTries
		r.yieldUntil = now.Add(min(time.Duration(turns-1)*yieldAfter, maxYield))
		return false
	}
	earlier, others, trying := r.countWatchers(now)
	position := slices.Index(r.cell, r.self)
	switch {
	case earlier >= r.wantedWatchers:
		return false
	case position < r.wantedWatchers || r.watching:
		return true
	case others >= r.wantedWatchers || trying >= maxConcurrentTries || now < r.volunteerFrom:
		return false
	default:
		return r.randFloat()*float64(len(r.cell)) < meanVolunteers
	}
}

// yields reports whether this daemon has tried for long enough, and others can.
func (r *Roster) shouldYield(now model.Instant) bool {
	return !r.reaches && now.Sub(r.failingSince) >= yieldAfter && len(r.cell) > maxConcurrentTries
}

// count returns how many others reach the store, those before this daemon and all, and
// how many try to.
func (r *Roster) countWatchers(now model.Instant) (earlier, others, trying int) {
	for address, b := range r.heartbeats {
		switch {
		case now.Sub(b.at) >= heartbeatTimeout:
		case !b.reachesStore:
			trying++
		default:
			others++
			if address < r.self {
				earlier++
			}
		}
	}
	return earlier, others, trying
}

// Blind reports whether no daemon of the cell, this one included, is known to reach the
// store.
func (r *Roster) Blind(now model.Instant) bool {
	if r.watching && r.reaches {
		return false
	}
	_, others, _ := r.countWatchers(now)
	return others == 0
}

// Reaches reports whether this daemon watches and reaches the store.
func (r *Roster) Reaches() bool { return r.watching && r.reaches }

// Others returns the other daemons of the cell, which the heartbeats go to.
func (r *Roster) Others() []string {
	out := make([]string, 0, len(r.cell))
	for _, address := range r.cell {
		if address != r.self {
			out = append(out, address)
		}
	}
	return out
}
