package sidecar

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/evacuation"
	"github.com/dottereltiller/dottereltiller/core/gossip"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/watch"
	"github.com/dottereltiller/dottereltiller/decision"
)

const (
	// electionTick is how often a daemon checks whether it should watch the configuration store.
	electionTick = 100 * time.Millisecond
	// peerPollInterval is how often another daemon is asked for its configuration while no
	// watcher of the cell reaches the store. The interval is short because a change must be in
	// force within two seconds.
	peerPollInterval = 400 * time.Millisecond
	// directoryWait bounds the wait for the list of daemons at startup. Without the list, the
	// daemon does not know whether others watch the store.
	directoryWait = time.Second
)

// configFollower keeps the configuration up to date. The daemons of a zone are divided into
// cells (see package core/watch). A few daemons of each cell, the watchers, read the configuration
// from the store. The other daemons get new versions from the watchers of their cell. While no
// watcher of the cell reaches the store, a daemon also polls other daemons, of any cell, for new
// versions.
type configFollower struct {
	d *Daemon
	// peerSelector picks the peers for configuration polls and for anti-entropy rounds.
	peerSelector gossip.PeerSelector

	mu sync.Mutex
	// elector decides whether this daemon watches the configuration store.
	elector *watch.Elector
	// generation is the value that peers.generation had at the last call of elector.SetMembers.
	generation uint64
	// watchStarted is closed when this daemon starts to watch the store. It is replaced when the
	// daemon stops watching.
	watchStarted chan struct{}
	isWatching   bool
	lastPeerPoll model.Instant
}

func newConfigFollower(d *Daemon) *configFollower {
	return &configFollower{
		d: d, peerSelector: gossip.PeerSelector{Zone: d.opts.Zone, RandIntN: randomInt},
		elector:      watch.New(d.opts.Addresses.Peers, d.now(), rand.Float64),
		watchStarted: make(chan struct{}),
	}
}

// String implements fmt.Stringer. The supervisor logs this name.
func (f *configFollower) String() string { return "configuration" }

// Serve follows the configuration until the context ends.
func (f *configFollower) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.watchLoop(ctx)
	return f.d.opts.Source.Watch(ctx, f)
}

// Receive implements ConfigConsumer.
func (f *configFollower) Receive(raw []byte, from string) bool { return f.d.config.apply(raw, from) }

// ReceiveEvacuations implements ConfigConsumer.
func (f *configFollower) ReceiveEvacuations(s evacuation.State) { f.d.evacuations.apply(s, "store") }

// AwaitElection implements ConfigConsumer. It returns nil once this daemon watches the store, or an
// error when the context ends.
func (f *configFollower) AwaitElection(ctx context.Context) error {
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

// RecordStoreCall implements ConfigConsumer. If ok differs from that of the previous call, and this
// daemon watches the store, it sends a heartbeat at once.
func (f *configFollower) RecordStoreCall(ok bool) {
	f.mu.Lock()
	f.elector.RecordStoreCall(f.d.now(), ok)
	f.mu.Unlock()
	f.sendHeartbeats()
}

// announceVersion is called when a new version of the configuration is in force. If this
// daemon watches the store, it sends a heartbeat at once. The header of the heartbeat holds the new
// version.
func (f *configFollower) announceVersion() {
	f.mu.Lock()
	f.elector.TriggerHeartbeat()
	f.mu.Unlock()
	f.sendHeartbeats()
}

func (f *configFollower) watchesStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isWatching
}

// receiveHeartbeat records the heartbeat of another daemon that watches the store.
func (f *configFollower) receiveHeartbeat(address string, reachesStore bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.elector.RecordHeartbeat(f.d.now(), address, reachesStore)
}

// watchLoop repeatedly decides whether this daemon watches the store, sends heartbeats, and polls
// other daemons while no watcher of the cell reaches the store. It starts once the directory has
// been read, or after directoryWait.
func (f *configFollower) watchLoop(ctx context.Context) {
	select {
	case <-f.d.peers.directoryRead:
	case <-time.After(directoryWait):
	case <-ctx.Done():
	}
	tick := time.NewTicker(electionTick)
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

// updateWatching decides whether this daemon watches the store, and records whether a daemon of
// the cell reaches the store. It reports whether to poll another daemon for its configuration now.
func (f *configFollower) updateWatching() (pollDue bool) {
	now := f.d.now()
	// addresses are the daemons of the local zone. numZones counts all zones. Both are set only if
	// the generation has changed.
	addresses, numZones, generation := f.d.peers.zoneMembers(f.generation)
	f.mu.Lock()
	defer f.mu.Unlock()
	if generation != f.generation {
		f.generation = generation
		f.elector.SetMembers(addresses, numZones)
	}
	isWatching := f.elector.UpdateWatching(now) && !f.d.stopping.Load()
	switch {
	case isWatching && !f.isWatching:
		close(f.watchStarted)
	case !isWatching && f.isWatching:
		f.watchStarted = make(chan struct{})
	}
	if isWatching != f.isWatching {
		f.isWatching = isWatching
		f.d.opts.Decisions.Write(decision.StoreWatched, "", slog.Bool("watches", isWatching), slog.Int("cell", len(f.elector.CellPeers())+1))
	}
	storeUnreachable := f.elector.StoreUnreachable(now)
	f.recordStoreState(now, storeUnreachable)
	pollDue = storeUnreachable && now.Sub(f.lastPeerPoll) >= peerPollInterval
	if pollDue {
		f.lastPeerPoll = now
	}
	return pollDue
}

// recordStoreState records whether a daemon of the cell reaches the store. If none does, it keeps
// the time at which that began.
func (f *configFollower) recordStoreState(now model.Instant, storeUnreachable bool) {
	if !storeUnreachable {
		f.d.storeUnreachableSince.Store(0)
		return
	}
	f.d.storeUnreachableSince.CompareAndSwap(0, int64(now))
}

// sendHeartbeats sends a heartbeat to the other daemons of the cell if one is due.
func (f *configFollower) sendHeartbeats() {
	f.mu.Lock()
	if !f.elector.HeartbeatDue(f.d.now()) {
		f.mu.Unlock()
		return
	}
	reachesStore, cellPeers := f.elector.ReachesStore(), f.elector.CellPeers()
	f.mu.Unlock()
	for _, address := range cellPeers {
		f.d.datagrams.sendHeartbeat(address, reachesStore)
	}
}

// pollPeer exchanges local records and configuration versions with one other reachable daemon. If
// that daemon has a newer configuration, this daemon fetches it. If that daemon cannot be reached,
// it is marked as unreachable.
func (f *configFollower) pollPeer(ctx context.Context) {
	m, ok := f.peerSelector.AntiEntropyPeer(f.d.peers.reachableMembers())
	if !ok {
		return
	}
	pool := f.d.peers.pool(m.Address)
	if pool == nil {
		return
	}
	reply, err := sendSync(ctx, pool, syncMessage{From: f.d.peers.localRecord(), Version: f.d.config.version(), Evacuations: f.d.evacuations.message()})
	if err != nil {
		f.d.peers.reportUnreachable(m.Address, err)
		return
	}
	f.d.peers.merge([]Record{reply.From})
	f.d.evacuations.receiveMessage(reply.Evacuations, m.Address)
	f.d.onPeerVersion(m.Address, reply.Version)
}
