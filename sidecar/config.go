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

// inForce is a configuration in force.
type activeConfig struct {
	table *route.Table
	since time.Time
}

// configuration holds the newest configuration seen. Versions only rise: a
// reading that is older, gone or cannot be read changes nothing. It is safe for
// concurrent use.
type configuration struct {
	source    Source
	decisions *decision.Log
	current   atomic.Pointer[activeConfig]
	versions  versions
	// mu orders changes. changed is closed and replaced at each, and guarded by it.
	mu       sync.Mutex
	onChange []func(*route.Table)
	changed  chan struct{}
}

func newConfiguration(source Source, decisions *decision.Log) *configuration {
	return &configuration{source: source, decisions: decisions, changed: make(chan struct{})}
}

func (c *configuration) table() *route.Table {
	if f := c.current.Load(); f != nil {
		return f.table
	}
	return nil
}

// age returns for how long the configuration has been in force. Zero means none.
func (c *configuration) age() time.Duration {
	if f := c.current.Load(); f != nil {
		return time.Since(f.since)
	}
	return 0
}

func (c *configuration) version() model.Version {
	if t := c.table(); t != nil {
		return t.Version()
	}
	return 0
}

// take brings a document into force if it is newer than what is. It reports whether
// the document is a configuration.
func (c *configuration) apply(raw []byte, from string) bool {
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
			slog.Uint64("in_force", uint64(c.version())), slog.String("from", from), slog.String("error", err.Error()))
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.version()
	if doc.Version <= previous {
		return true
	}
	c.versions.add(doc.Version, raw)
	c.current.Store(&activeConfig{table: table, since: time.Now()})
	c.decisions.Write(decision.ConfigInForce, "", slog.Uint64("version", uint64(doc.Version)),
		slog.Uint64("previous", uint64(previous)), slog.Int("routes", table.Routes()), slog.String("from", from))
	for _, f := range c.onChange {
		f(table)
	}
	c.notifyWaiters()
	return true
}

// wake has those who wait look again. c.mu is held.
func (c *configuration) notifyWaiters() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// lookAgain has those who wait look again after something else has changed.
func (c *configuration) recheckWaiters() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notifyWaiters()
}

// await waits until a configuration is in force for which a condition holds. It
// reports false when the context ends first.
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
	// farFetchDelay is how long a daemon leaves it to its own zone to bring a version that
	// it has heard of from another one.
	otherZoneFetchDelay = 300 * time.Millisecond
	// fetchSpread is the time over which a cell fetches a version from the watcher that
	// has told all of it at once. Most have it from others before.
	fetchJitter = 100 * time.Millisecond
)

// behindWatcher takes in that a watcher of the cell has a version of the configuration.
func (d *Daemon) behindWatcher(address string, v model.Version) {
	if v > d.config.version() {
		time.AfterFunc(rand.N(fetchJitter), func() { d.fetch(address, v) })
	}
}

// behind takes in that a daemon has a version of the configuration, and fetches it
// from there if it is newer, once at a time.
func (d *Daemon) behind(address string, v model.Version) {
	if v <= d.config.version() {
		return
	}
	if d.config.version() > 0 && d.peers.inOtherZone(address) {
		time.AfterFunc(otherZoneFetchDelay, func() { d.fetch(address, v) })
		return
	}
	d.fetch(address, v)
}

// fetch brings a version from a daemon unless it is in force.
func (d *Daemon) fetch(address string, v model.Version) {
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
			d.peers.missed(address, err)
			return
		}
		d.config.apply(raw, address)
	}()
}
