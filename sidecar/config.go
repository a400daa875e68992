package sidecar

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/route"
	"github.com/dottereltiller/dottereltiller/decision"
)

// activeConfig is the configuration in force and the time at which it took effect.
type activeConfig struct {
	table *route.Table
	since time.Time
}

// configuration holds the newest configuration seen. Its version never decreases: a document
// that is older, missing or invalid changes nothing. It is safe for concurrent use.
type configuration struct {
	source    Source
	decisions *decision.Log
	current   atomic.Pointer[activeConfig]
	history   documentHistory
	// mu serializes changes and guards the field changed, a channel that is closed and
	// replaced at each change.
	mu sync.Mutex
	// onChange holds the functions that are called, with mu held, when a table takes effect.
	onChange []func(*route.Table)
	changed  chan struct{}
}

func newConfiguration(source Source, decisions *decision.Log) *configuration {
	return &configuration{source: source, decisions: decisions, changed: make(chan struct{})}
}

// table returns the routing table in force, or nil if there is none.
func (c *configuration) table() *route.Table {
	if active := c.current.Load(); active != nil {
		return active.table
	}
	return nil
}

// age returns how long the configuration has been in force, zero if there is none.
func (c *configuration) age() time.Duration {
	if active := c.current.Load(); active != nil {
		return time.Since(active.since)
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

// apply puts a document into force if it is newer than the configuration in force. It reports
// whether the document is a valid configuration. from names the origin of the document in log
// lines.
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
	c.current.Store(&activeConfig{table: table, since: time.Now()})
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

// recheckWaiters makes every waitFor check its condition again, after a change to something
// other than the configuration that the condition depends on.
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
	// remoteZoneFetchDelay is how long a daemon that learned of a new version from a remote
	// zone waits for its local zone to deliver it before it fetches the version across zones.
	remoteZoneFetchDelay = 300 * time.Millisecond
	// fetchJitter spreads the fetches of the daemons that a watcher notifies at the same
	// moment. Most of them get the version from other daemons before their delay is over.
	fetchJitter = 100 * time.Millisecond
)

// onWatcherVersion handles the version that a watcher of the store announced. If it is newer
// than the one in force, it is fetched from the watcher after a random delay.
func (d *Daemon) onWatcherVersion(address string, v model.Version) {
	if v > d.config.version() {
		time.AfterFunc(rand.N(fetchJitter), func() { d.startFetch(address, v) })
	}
}

// onPeerVersion handles the version that another daemon announced. If it is newer than the one
// in force, it is fetched from that daemon: at once if the daemon is in the local zone or no
// configuration is in force yet, otherwise after remoteZoneFetchDelay.
func (d *Daemon) onPeerVersion(address string, v model.Version) {
	if v <= d.config.version() {
		return
	}
	if d.config.version() > 0 && d.peers.inRemoteZone(address) {
		time.AfterFunc(remoteZoneFetchDelay, func() { d.startFetch(address, v) })
		return
	}
	d.startFetch(address, v)
}

// startFetch starts to fetch a version from a daemon, unless that version or a newer one is in
// force or another fetch is running.
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
