package sidecar

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dottereltiller/dottereltiller/core/account"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/route"
	"github.com/dottereltiller/dottereltiller/decision"
)

// activeConfig is the configuration in force and the time at which it took effect.
type activeConfig struct {
	table        *route.Table
	inForceSince time.Time
}

// configuration holds the newest valid configuration seen, which is the one in force. The version
// in force never decreases: a document that is older, missing or invalid changes nothing.
// configuration is safe for concurrent use.
type configuration struct {
	source    Source
	decisions *decision.Log
	// evacuations receives the state that comes with a configuration from another daemon.
	evacuations *evacuations
	current     atomic.Pointer[activeConfig]
	// history holds the newest documents, for computing deltas.
	history documentHistory
	// mu serializes changes of the configuration and guards the field changed.
	mu sync.Mutex
	// onChange holds the functions that are called when a routing table takes effect. They are
	// called with mu held. The slice does not change once the daemon runs.
	onChange []func(*route.Table)
	// changed is closed, which wakes every waitFor, and replaced. That happens at each change of
	// the configuration and at each call of recheckWaiters.
	changed chan struct{}
}

func newConfiguration(source Source, decisions *decision.Log, e *evacuations) *configuration {
	return &configuration{source: source, decisions: decisions, evacuations: e, changed: make(chan struct{})}
}

// table returns the routing table in force, or nil if there is none.
func (c *configuration) table() *route.Table {
	if active := c.current.Load(); active != nil {
		return active.table
	}
	return nil
}

// coldRate returns the number of requests per second that a cold upstream of the service tolerates,
// zero if the configuration sets none.
func (c *configuration) coldRate(service model.ServiceName) float64 {
	t := c.table()
	if t == nil {
		return 0
	}
	s, ok := t.Service(service)
	if !ok {
		return 0
	}
	return s.ColdRate
}

// keyRejection returns why a request must not run under the account that was found for it by the
// version since, or ReasonNone. A configuration that is not newer than that decides nothing.
func (c *configuration) keyRejection(name account.Name, credential account.Credential, since model.Version) outcome.Reason {
	t := c.table()
	if name == "" || t == nil || t.Version() <= since {
		return outcome.ReasonNone
	}
	switch t.Accounts().StandingOf(name, credential) {
	case account.Removed:
		return outcome.ReasonUnauthenticated
	case account.Moved:
		// The request is valid, but not as one of this account. The caller may send it again.
		return outcome.ReasonWithdrawn
	default:
		return outcome.ReasonNone
	}
}

// hasAccounts reports whether the configuration in force has client accounts.
func (c *configuration) hasAccounts() bool {
	t := c.table()
	return t != nil && t.Accounts() != nil
}

// timeInForce returns how long the configuration has been in force, zero if there is none.
func (c *configuration) timeInForce() time.Duration {
	if active := c.current.Load(); active != nil {
		return time.Since(active.inForceSince)
	}
	return 0
}

// version returns the version in force, or 0 if there is none.
func (c *configuration) version() model.Version {
	if t := c.table(); t != nil {
		return t.Version()
	}
	return 0
}

// apply puts a document into force if it is valid and newer than the configuration in force. It
// reports whether the document is valid. It logs the change, or why the document is invalid. Of a
// document that is not newer, apply checks only that it can be decoded. origin names the origin of
// the document in log lines.
func (c *configuration) apply(raw []byte, origin string) bool {
	doc, err := c.source.Decode(raw)
	if err == nil && doc.Version <= c.version() {
		return true
	}
	var table *route.Table
	if err == nil {
		table, err = route.New(doc)
	}
	if err != nil {
		c.decisions.Write(decision.ConfigRefused, "", slog.Uint64("version", uint64(doc.Version)),
			slog.Uint64("in_force", uint64(c.version())), slog.String("from", origin), slog.String("error", err.Error()))
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.version()
	if doc.Version <= previous {
		return true
	}
	c.history.add(doc.Version, raw)
	c.current.Store(&activeConfig{table: table, inForceSince: time.Now()})
	c.decisions.Write(decision.ConfigInForce, "", slog.Uint64("version", uint64(doc.Version)),
		slog.Uint64("previous", uint64(previous)), slog.Int("routes", table.NumRoutes()), slog.String("from", origin))
	for _, f := range c.onChange {
		f(table)
	}
	c.notifyWaiters()
	return true
}

// notifyWaiters makes every waitFor check its condition again. The caller holds c.mu.
func (c *configuration) notifyWaiters() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// recheckWaiters makes every waitFor check its condition again. It is called after a change of
// state outside the configuration, such as the Tunables, on which a condition may depend.
func (c *configuration) recheckWaiters() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notifyWaiters()
}

// waitFor waits until a configuration is in force that satisfies the condition. It returns
// false if the context ends first.
func (c *configuration) waitFor(ctx context.Context, condition func(*route.Table) bool) bool {
	for {
		c.mu.Lock()
		changed := c.changed
		c.mu.Unlock()
		if t := c.table(); t != nil && condition(t) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

const (
	// remoteZoneFetchDelay is how long a daemon waits before it fetches a new version from a
	// remote zone. In the meantime, daemons of the local zone may deliver that version.
	remoteZoneFetchDelay = 300 * time.Millisecond
	// fetchJitter bounds the random delay before a daemon fetches a version that a watcher
	// announced. A watcher notifies many daemons at the same moment, and the delay spreads their
	// fetches. Most of them get the version from other daemons before their delay is over.
	fetchJitter = 100 * time.Millisecond
)

// onWatcherVersion is called when the daemon at address, which watches the configuration store, has
// announced version v. If v is newer than the version in force here, it is fetched from that daemon
// after a random delay.
func (d *Daemon) onWatcherVersion(address string, v model.Version) {
	if v > d.config.version() {
		d.keyChecks.outdate()
		time.AfterFunc(rand.N(fetchJitter), func() { d.startFetch(address, v) })
	}
}

// onPeerVersion is called when the daemon at address has stated that it has version v in force. If v
// is newer than the version in force here, it is fetched from that daemon. If the daemon is in a
// remote zone and a configuration is already in force here, the fetch starts after
// remoteZoneFetchDelay. Otherwise it starts at once.
func (d *Daemon) onPeerVersion(address string, v model.Version) {
	if v <= d.config.version() {
		return
	}
	d.keyChecks.outdate()
	if d.config.version() > 0 && d.peers.inRemoteZone(address) {
		time.AfterFunc(remoteZoneFetchDelay, func() { d.startFetch(address, v) })
		return
	}
	d.startFetch(address, v)
}

// startFetch starts to fetch version v of the configuration from a daemon and to apply it. It does
// nothing if that version or a newer one is in force, or if another fetch is running. If the fetch
// fails, the daemon is marked as unreachable.
func (d *Daemon) startFetch(address string, v model.Version) {
	if v <= d.config.version() || !d.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.fetching.Store(false)
		pool := d.peers.pool(address)
		if pool == nil {
			return
		}
		raw, err := d.config.fetch(context.Background(), pool, address)
		if err != nil {
			d.peers.reportUnreachable(address, err)
			return
		}
		d.config.apply(raw, address)
	}()
}
