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

// maxAnnounceBackoff bounds the pause between two attempts to write the directory entry once
// other daemons are known. From then on, only daemons that start later need the entry.
const maxAnnounceBackoff = 5 * time.Second

// joiner writes the directory entry of this daemon, finds the other daemons, and marks this
// daemon as ready.
type joiner struct {
	d *Daemon
	// hasEntry is set once the directory holds the entry of this daemon.
	hasEntry bool
	// hasListed is set once all directory entries have been read. It is reset when this daemon
	// tries to write its own entry: the entries are then read again.
	hasListed bool
}

// String implements fmt.Stringer. The supervisor logs this name.
func (j *joiner) String() string { return "joiner" }

// Serve joins once. It returns when the daemon is ready, its entry is written and
// discoverUpstream has ended. It is not restarted.
func (j *joiner) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { j.discoverUpstream(ctx) })
	wg.Go(func() { j.becomeReady(ctx) })
	wg.Go(func() { j.announceWithRetries(ctx) })
	wg.Wait()
	return suture.ErrDoNotRestart
}

// announceWithRetries repeats announceAndList until it succeeds.
func (j *joiner) announceWithRetries(ctx context.Context) {
	backoff := pause.Backoff{Min: minSyncBackoff, Max: maxSyncBackoff}
	for {
		err := j.announceAndList(ctx)
		j.d.peers.directoryReadOnce.Do(func() { close(j.d.peers.directoryRead) })
		if err == nil || ctx.Err() != nil {
			return
		}
		j.d.opts.Decisions.Write(decision.AnnounceFailed, "", slog.String("error", err.Error()))
		if j.d.peers.numDaemons() > 1 {
			backoff.Max = maxAnnounceBackoff
		}
		if backoff.Wait(ctx) != nil {
			return
		}
	}
}

// announceAndList writes the directory entry of this daemon unless it is there, and then reads
// all entries. In this order, the later of two daemons that start together is certain to see the
// earlier one. An entry that the previous incarnation wrote is still valid. After a failure, the
// next call resumes at the step that failed.
func (j *joiner) announceAndList(ctx context.Context) error {
	var err error
	if !j.hasEntry && !j.d.opts.Bootstrap {
		err = j.listEntries(ctx)
	}
	if !j.hasEntry {
		self := j.d.peers.localRecord()
		announceErr := j.d.opts.Directory.Announce(ctx, DirectoryEntry{Address: self.Address, Zone: self.Zone})
		j.hasEntry, j.hasListed = announceErr == nil, false
		err = announceErr
	}
	if !j.hasListed && (j.hasEntry || j.d.opts.Bootstrap) {
		err = errors.Join(err, j.listEntries(ctx))
	}
	return err
}

// listEntries reads all directory entries and adds their daemons to the known ones. It also notes
// whether the entry of this daemon is among them.
func (j *joiner) listEntries(ctx context.Context) error {
	entries, err := j.d.opts.Directory.List(ctx)
	if err != nil {
		return err
	}
	j.hasListed = true
	for _, e := range entries {
		j.hasEntry = j.hasEntry || e.Address == j.d.opts.Addresses.Peers
	}
	j.d.peers.addDirectoryEntries(entries)
	return nil
}

// discoverUpstream asks the local upstream for its identity. The answer is dropped if the
// upstream has reported by then. Nothing is asked if the whole system starts for the first time.
// discoverUpstream first waits for an exchange with another daemon, because records of other
// daemons state whether the upstream was leaving.
func (j *joiner) discoverUpstream(ctx context.Context) {
	if j.d.opts.Bootstrap {
		return
	}
	j.awaitFirstContact(ctx, discoveryWait)
	if !j.d.config.waitFor(ctx, func(*route.Table) bool { return j.d.healthPath() != "" }) {
		return
	}
	j.d.guard.discoverUpstream()
	if currentReport, _ := j.d.guard.reportAndDeparted(); currentReport.State != lifecycle.Unknown {
		j.d.announceState()
	}
}

// awaitFirstContact waits for the first exchange with another daemon, at most for the timeout.
func (j *joiner) awaitFirstContact(ctx context.Context, timeout time.Duration) {
	select {
	case <-j.d.peers.firstContact:
	case <-time.After(timeout):
	case <-ctx.Done():
	}
}

// becomeReady marks the daemon as ready once a configuration is in force. Before that, it waits
// for the first exchange with another daemon, at most for readinessWait. It also schedules the
// announcement of the local record, in case no change of the record announces it earlier.
func (j *joiner) becomeReady(ctx context.Context) {
	j.awaitFirstContact(ctx, readinessWait)
	time.AfterFunc(readinessWait, j.d.peers.announceOnce)
	if j.d.config.waitFor(ctx, func(*route.Table) bool { return true }) {
		j.d.ready.Store(true)
	}
}
