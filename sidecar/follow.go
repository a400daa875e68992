package sidecar

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/account"
	"github.com/dottereltiller/dottereltiller/core/evacuation"
	"github.com/dottereltiller/dottereltiller/core/gossip"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/route"
	"github.com/dottereltiller/dottereltiller/core/watch"
	"github.com/dottereltiller/dottereltiller/decision"
	"github.com/dottereltiller/dottereltiller/hop"
)

const (
	// electionTick is how often a daemon checks whether it should watch the configuration store.
	electionTick = 100 * time.Millisecond
	// peerPollInterval is how often another daemon is asked for its configuration while no
	// watcher of the cell reaches the store. The interval is short because a change must be in
	// force within two seconds.
	peerPollInterval = 400 * time.Millisecond
	// confirmationTimeout bounds the wait for the versions of other daemons, and for a newer
	// configuration of theirs, while a request waits for it.
	confirmationTimeout = 400 * time.Millisecond
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
	version, err := f.exchangeVersions(ctx, pool, m.Address)
	if err != nil {
		f.d.peers.reportUnreachable(m.Address, err)
		return
	}
	f.d.onPeerVersion(m.Address, version)
}

// exchangeVersions exchanges local records and configuration versions with another daemon, and returns
// the version of that daemon.
func (f *configFollower) exchangeVersions(ctx context.Context, pool *hop.Pool, address string) (model.Version, error) {
	reply, err := sendSync(ctx, pool, syncMessage{From: f.d.peers.localRecord(), Version: f.d.config.version(), Evacuations: f.d.evacuations.message()})
	if err != nil {
		return 0, err
	}
	f.d.peers.merge([]Record{reply.From})
	f.d.evacuations.receiveMessage(reply.Evacuations, address)
	return reply.Version, nil
}

// learnVersions asks some other daemons for their versions, and returns the newest. It returns 0 if
// none answers. If a version is newer than the one in force, learnVersions tries to put it into force.
func (f *configFollower) learnVersions(ctx context.Context, members []gossip.Member) model.Version {
	ctx, cancel := context.WithTimeout(ctx, confirmationTimeout)
	defer cancel()
	versions := make(chan model.Version, len(members))
	for _, m := range members {
		go func() { versions <- f.learnVersion(ctx, m.Address) }()
	}
	newest := model.Version(0)
	for range members {
		newest = max(newest, <-versions)
	}
	return newest
}

// learnVersion does the same as learnVersions for one other daemon.
func (f *configFollower) learnVersion(ctx context.Context, address string) model.Version {
	pool := f.d.peers.pool(address)
	if pool == nil {
		return 0
	}
	version, err := f.exchangeVersions(ctx, pool, address)
	if err != nil {
		return 0
	}
	if version > f.d.config.version() {
		if raw, err := f.d.config.fetch(ctx, pool, address); err == nil {
			f.d.config.apply(raw, address)
		}
	}
	return version
}

// readsStore reports whether this daemon watches the store and reaches it.
func (f *configFollower) readsStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.elector.ReachesStore()
}

// keyChecks finds out whether keys that the configuration in force does not have were added by a newer
// one. It is safe for concurrent use.
type keyChecks struct {
	d *Daemon

	mu      sync.Mutex
	checker account.Checker
	// current ends with the check in progress.
	current context.Context
}

// await decides about the key of a request that arrived at the given instant. If necessary, it waits
// for a check, at most for account.CheckTimeout. It returns account.Known if the configuration in
// force has the key by then, or needs none. Otherwise it returns account.Unknown or
// account.Unconfirmed.
func (k *keyChecks) await(ctx context.Context, arrived model.Instant, key string) account.Verdict {
	ctx, cancel := context.WithTimeout(ctx, account.CheckTimeout)
	defer cancel()
	isKnown := func(t *route.Table) bool {
		_, ok := t.Accounts().ByKey(key)
		return ok || t.Accounts() == nil
	}
	for ctx.Err() == nil {
		verdict, check := k.decide(arrived)
		// A check puts a newer configuration into force before it confirms it.
		if isKnown(k.d.config.table()) {
			verdict = account.Known
		}
		if check == nil {
			return verdict
		}
		waitCtx, stopWaiting := context.WithCancel(ctx)
		stop := context.AfterFunc(check, stopWaiting)
		known := verdict == account.Known || k.d.config.waitFor(waitCtx, isKnown)
		stop()
		stopWaiting()
		k.leave()
		if known {
			return account.Known
		}
	}
	return account.Unconfirmed
}

// decide returns the verdict of the checker. If the request has to wait, it also returns a context that
// ends with the check. It starts the check if there is none.
func (k *keyChecks) decide(arrived model.Instant) (account.Verdict, context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	verdict := k.checker.Decide(k.d.now(), arrived)
	switch verdict {
	case account.Check:
		ctx, cancel := context.WithTimeout(k.d.peers.ctx, account.CheckTimeout)
		k.current = ctx
		go k.run(ctx, cancel)
		return verdict, ctx
	case account.Await:
		return verdict, k.current
	default:
		return verdict, nil
	}
}

// outdate is called when another daemon has stated that it has a newer configuration in force.
func (k *keyChecks) outdate() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checker.Outdate()
}

func (k *keyChecks) leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checker.Leave()
}

// run runs a check and calls end after it. The configuration in force is confirmed if at least one
// other daemon answers and none has a newer one. Without any other daemon to ask, it suffices that
// this daemon reads the store.
func (k *keyChecks) run(ctx context.Context, end func()) {
	defer end()
	f := k.d.follower
	local, remote := f.peerSelector.ConfirmationPeers(f.d.peers.reachableMembers())
	newest := f.learnVersions(ctx, local)
	newest = max(newest, f.learnVersions(ctx, remote))
	confirmed := newest > 0 && k.d.config.version() >= newest
	if len(local)+len(remote) == 0 {
		confirmed = f.readsStore()
	}
	k.d.metrics.countKeyCheck(confirmed)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checker.End(confirmed)
}
