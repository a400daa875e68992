package sidecar

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/gossip"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/watch"
	"github.com/dottereltiller/dottereltiller/decision"
)

const (
	// rosterTick is how often a daemon looks whether it is to watch the store.
	rosterTick = 100 * time.Millisecond
	// askPeersEvery is how often another daemon is asked for its configuration while no
	// watcher of the own cell reaches the store: a change must be in force in two seconds.
	peerPollInterval = 400 * time.Millisecond
	// listedWait bounds the wait for the list of daemons at the start, before which it is
	// not known whether others watch the store.
	directoryWait = time.Second
)

// follower keeps the configuration up to date: from the store where this daemon watches
// it, else from the watchers, and from any daemon while none of them reaches the store. It
// is a part of the daemon.
type follower struct {
	d       *Daemon
	targets gossip.Targets

	mu     sync.Mutex
	roster *watch.Roster
	// generation is that of the peers as of the roster's members.
	generation uint64
	// watching is closed while this daemon watches the store.
	watchStarted chan struct{}
	isWatching   bool
	// asked is when a daemon was last asked.
	lastPeerPoll model.Instant
}

func newFollower(d *Daemon) *follower {
	return &follower{
		d: d, targets: gossip.Targets{Zone: d.opts.Zone, Draw: randomInt},
		roster:       watch.New(d.opts.Addresses.Peers, d.now(), rand.Float64),
		watchStarted: make(chan struct{}),
	}
}

// String names the part.
func (f *follower) String() string { return "configuration" }

// Serve follows the configuration until the context ends.
func (f *follower) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.watchLoop(ctx)
	return f.d.opts.Source.Follow(ctx, f)
}

// Take implements Follower.
func (f *follower) Take(raw []byte, from string) bool { return f.d.config.apply(raw, from) }

// Await implements Follower.
func (f *follower) Await(ctx context.Context) error {
	f.mu.Lock()
	watchStarted := f.watchStarted
	f.mu.Unlock()
	select {
	case <-watchStarted:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Reachable implements Follower.
func (f *follower) Reachable(ok bool) {
	f.mu.Lock()
	f.roster.Called(f.d.now(), ok)
	f.mu.Unlock()
	f.sendHeartbeats()
}

// handOn tells the cell of a new version.
func (f *follower) announceVersion() {
	f.mu.Lock()
	f.roster.News()
	f.mu.Unlock()
	f.sendHeartbeats()
}

// watchesStore reports whether this daemon watches the store.
func (f *follower) watchesStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isWatching
}

// heard takes in the heartbeat of a watcher.
func (f *follower) heard(address string, reaches bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.Heard(f.d.now(), address, reaches)
}

// takeTurns has this daemon watch the store when it is its turn.
func (f *follower) watchLoop(ctx context.Context) {
	select {
	case <-f.d.peers.directoryRead:
	case <-time.After(directoryWait):
	case <-ctx.Done():
	}
	tick := time.NewTicker(rosterTick)
	defer tick.Stop()
	for ctx.Err() == nil {
		pollDue := f.updateWatching()
		f.sendHeartbeats()
		if pollDue {
			go f.pollPeer(ctx)
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// decide decides whether this daemon watches, and reports whether another daemon is to be
// asked.
func (f *follower) updateWatching() (pollDue bool) {
	now := f.d.now()
	zone, zones, generation := f.d.peers.zoneMembers(f.generation)
	f.mu.Lock()
	defer f.mu.Unlock()
	if generation != f.generation {
		f.generation = generation
		f.roster.SetMembers(zone, zones)
	}
	isWatching := f.roster.Watching(now) && !f.d.stopping.Load()
	switch {
	case isWatching && !f.isWatching:
		close(f.watchStarted)
	case !isWatching && f.isWatching:
		f.watchStarted = make(chan struct{})
	}
	if isWatching != f.isWatching {
		f.isWatching = isWatching
		f.d.opts.Decisions.Write(decision.StoreWatched, "", slog.Bool("watches", isWatching), slog.Int("cell", len(f.roster.Others())+1))
	}
	unreachable := f.roster.Blind(now)
	f.recordStoreState(now, unreachable)
	pollDue = unreachable && now.Sub(f.lastPeerPoll) >= peerPollInterval
	if pollDue {
		f.lastPeerPoll = now
	}
	return pollDue
}

// noteBlind notes since when no daemon of the cell reaches the store.
func (f *follower) recordStoreState(now model.Instant, unreachable bool) {
	if !unreachable {
		f.d.storeLostSince.Store(0)
		return
	}
	f.d.storeLostSince.CompareAndSwap(0, int64(now))
}

// beat sends a heartbeat to the cell if one is due.
func (f *follower) sendHeartbeats() {
	f.mu.Lock()
	if !f.roster.HeartbeatDue(f.d.now()) {
		f.mu.Unlock()
		return
	}
	reaches, others := f.roster.Reaches(), f.roster.Others()
	f.mu.Unlock()
	for _, address := range others {
		f.d.datagrams.sendHeartbeat(address, reaches)
	}
}

// askOne exchanges records with one other daemon, which brings its version.
func (f *follower) pollPeer(ctx context.Context) {
	m, ok := f.targets.Partner(f.d.peers.members())
	if !ok {
		return
	}
	pool := f.d.peers.pool(m.Address)
	if pool == nil {
		return
	}
	reply, err := sendSync(ctx, pool, syncMessage{From: f.d.peers.self(), Version: f.d.config.version()})
	if err != nil {
		f.d.peers.missed(m.Address, err)
		return
	}
	f.d.peers.merge([]Record{reply.From})
	f.d.behind(m.Address, reply.Version)
}
