package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/route"
	"github.com/dottereltiller/dottereltiller/decision"
	"github.com/dottereltiller/dottereltiller/pause"
)

// announcePause bounds the pause between two tries to join once other daemons are known:
// the own entry serves those that start later.
const maxAnnounceBackoff = 5 * time.Second

// joiner makes the daemon known and finds the others. It is a part of the daemon.
type joiner struct {
	d *Daemon
	// written tells that the own entry is in the directory, listed that the entries have
	// been read since.
	announced bool
	listed    bool
}

// String names the part.
func (j *joiner) String() string { return "joiner" }

// Serve joins once, and returns when the daemon is ready.
func (j *joiner) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { j.discoverUpstream(ctx) })
	wg.Go(func() { j.becomeReady(ctx) })
	wg.Go(func() { j.announce(ctx) })
	wg.Wait()
	return suture.ErrDoNotRestart
}

// announce joins, again and again until the store has taken it.
func (j *joiner) announce(ctx context.Context) {
	backoff := pause.Doubling{Min: minSyncBackoff, Max: maxPause}
	for {
		err := j.announceAndList(ctx)
		j.d.peers.directoryReadOnce.Do(func() { close(j.d.peers.directoryRead) })
		if err == nil || ctx.Err() != nil {
			return
		}
		j.d.opts.Decisions.Write(decision.AnnounceFailed, "", slog.String("error", err.Error()))
		if j.d.peers.size() > 1 {
			backoff.Max = maxAnnounceBackoff
		}
		if backoff.Wait(ctx) != nil {
			return
		}
	}
}

// join writes the own entry unless it is there, and reads all entries after that, so that
// of two daemons that start together the later one sees the earlier. The entry of an
// earlier life serves as well. It goes on where the last try ended.
func (j *joiner) announceAndList(ctx context.Context) error {
	var err error
	if !j.announced && !j.d.opts.First {
		err = j.list(ctx)
	}
	if !j.announced {
		self := j.d.peers.self()
		announceErr := j.d.opts.Directory.Announce(ctx, Listing{Address: self.Address, Zone: self.Zone})
		j.announced, j.listed = announceErr == nil, false
		err = announceErr
	}
	if !j.listed && (j.announced || j.d.opts.First) {
		err = errors.Join(err, j.list(ctx))
	}
	return err
}

// list reads all entries.
func (j *joiner) list(ctx context.Context) error {
	list, err := j.d.opts.Directory.List(ctx)
	if err != nil {
		return err
	}
	j.listed = true
	for _, l := range list {
		j.announced = j.announced || l.Address == j.d.opts.Addresses.Peers
	}
	j.d.peers.addListed(list)
	return nil
}

// discover asks the own upstream who it is, unless it reports first. Others are
// heard first, as they remember whether it was leaving.
func (j *joiner) discoverUpstream(ctx context.Context) {
	if j.d.opts.First {
		return
	}
	j.awaitPeer(ctx, discoveryWait)
	if !j.d.config.waitFor(ctx, func(*route.Table) bool { return j.d.healthPath() != "" }) {
		return
	}
	j.d.guard.discover()
	if cur, _ := j.d.guard.current(); cur.State != lifecycle.Unknown {
		j.d.announceState()
	}
}

func (j *joiner) awaitPeer(ctx context.Context, timeout time.Duration) {
	select {
	case <-j.d.peers.firstContact:
	case <-time.After(timeout):
	case <-ctx.Done():
	}
}

// becomeReady waits until requests can be served.
func (j *joiner) becomeReady(ctx context.Context) {
	j.awaitPeer(ctx, readinessWait)
	time.AfterFunc(readinessWait, j.d.peers.announceOnce)
	if j.d.config.waitFor(ctx, func(*route.Table) bool { return true }) {
		j.d.ready.Store(true)
	}
}
