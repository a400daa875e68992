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
const announcePause = 5 * time.Second

// joiner makes the daemon known and finds the others. It is a part of the daemon.
type joiner struct {
	d *Daemon
	// written tells that the own entry is in the directory, listed that the entries have
	// been read since.
	written bool
	listed  bool
}

// String names the part.
func (j *joiner) String() string { return "joiner" }

// Serve joins once, and returns when the daemon is ready.
func (j *joiner) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { j.discover(ctx) })
	wg.Go(func() { j.becomeReady(ctx) })
	wg.Go(func() { j.announce(ctx) })
	wg.Wait()
	return suture.ErrDoNotRestart
}

// announce joins, again and again until the store has taken it.
func (j *joiner) announce(ctx context.Context) {
	waits := pause.Doubling{Min: minPause, Max: maxPause}
	for {
		err := j.join(ctx)
		j.d.peers.listedOnce.Do(func() { close(j.d.peers.listed) })
		if err == nil || ctx.Err() != nil {
			return
		}
		j.d.opts.Decisions.Write(decision.AnnounceFailed, "", slog.String("error", err.Error()))
		if j.d.peers.size() > 1 {
			waits.Max = announcePause
		}
		if waits.Wait(ctx) != nil {
			return
		}
	}
}

// join writes the own entry unless it is there, and reads all entries after that, so that
// of two daemons that start together the later one sees the earlier. The entry of an
// earlier life serves as well. It goes on where the last try ended.
func (j *joiner) join(ctx context.Context) error {
	var err error
	if !j.written && !j.d.opts.First {
		err = j.list(ctx)
	}
	if !j.written {
		self := j.d.peers.self()
		written := j.d.opts.Directory.Announce(ctx, Listing{Address: self.Address, Zone: self.Zone})
		j.written, j.listed = written == nil, false
		err = written
	}
	if !j.listed && (j.written || j.d.opts.First) {
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
		j.written = j.written || l.Address == j.d.opts.Addresses.Peers
	}
	j.d.peers.meet(list)
	return nil
}

// discover asks the own upstream who it is, unless it reports first. Others are
// heard first, as they remember whether it was leaving.
func (j *joiner) discover(ctx context.Context) {
	if j.d.opts.First {
		return
	}
	j.await(ctx, greetingWait)
	if !j.d.config.await(ctx, func(*route.Table) bool { return j.d.healthPath() != "" }) {
		return
	}
	j.d.guard.discover()
	if cur, _ := j.d.guard.current(); cur.State != lifecycle.Unknown {
		j.d.tellState()
	}
}

func (j *joiner) await(ctx context.Context, most time.Duration) {
	select {
	case <-j.d.peers.greeted:
	case <-time.After(most):
	case <-ctx.Done():
	}
}

// becomeReady waits until requests can be served.
func (j *joiner) becomeReady(ctx context.Context) {
	j.await(ctx, readyWait)
	time.AfterFunc(readyWait, j.d.peers.introduce)
	if j.d.config.await(ctx, func(*route.Table) bool { return true }) {
		j.d.ready.Store(true)
	}
}
