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

// maxAnnounceBackoff bounds the pause between two runs of announceAndList once other daemons are
// known. From then on, only daemons that start later need the directory entry of this daemon. Until
// then, maxSyncBackoff bounds the pause.
const maxAnnounceBackoff = 5 * time.Second

// joiner writes the directory entry of this daemon, finds the other daemons, and marks this
// daemon as ready.
type joiner struct {
	d *Daemon
	// hasEntry is set once the directory holds the entry of this daemon.
	hasEntry bool
	// hasListed is set once all directory entries have been read. It is reset when this daemon
	// tries to write its own entry, because the entries must be read again after the write.
	hasListed bool
}

// String implements fmt.Stringer. The supervisor logs this name.
func (j *joiner) String() string { return "joiner" }

// Serve runs the joiner once. It returns when the daemon is ready, its directory entry is written,
// the other entries have been read and discoverUpstream has ended. It is not restarted.
func (j *joiner) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { j.discoverUpstream(ctx) })
	wg.Go(func() { j.becomeReady(ctx) })
	wg.Go(func() { j.announceWithRetries(ctx) })
	wg.Wait()
	return suture.ErrDoNotRestart
}

// announceWithRetries repeats announceAndList until it succeeds, with a backoff. After the first
// attempt, successful or not, it closes peers.directoryRead.
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

// announceAndList writes the directory entry of this daemon and then reads all entries. The order
// matters when two daemons start together: the one that writes its entry later is certain to read
// the entry of the other.
//
// Except at the first start of the whole system, the entries are also read before the write. If
// they include an entry of this daemon, which its previous incarnation wrote, that entry is still
// valid and is not written again. After a failure, announceWithRetries calls announceAndList again.
// If the write has succeeded by then, only the reading is repeated.
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

// listEntries reads all directory entries and adds their daemons to the known daemons. It also
// sets hasEntry if the entry of this daemon is among them.
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
// upstream has reported before it arrives. At the first start of the whole system, nothing is
// asked. discoverUpstream first waits for an exchange with another daemon: the records of the other
// daemons tell whether the upstream was leaving before this daemon restarted. It then waits until
// the configuration states a health path.
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

// becomeReady waits for the first exchange with another daemon, at most for readinessWait. It
// then starts a timer of readinessWait for the first announcement of the local record. The timer
// has no effect if a change of the record has caused an announcement before. Finally, becomeReady
// waits until a configuration is in force, and marks the daemon as ready.
func (j *joiner) becomeReady(ctx context.Context) {
	j.awaitFirstContact(ctx, readinessWait)
	time.AfterFunc(readinessWait, j.d.peers.announceOnce)
	if j.d.config.waitFor(ctx, func(*route.Table) bool { return true }) {
		j.d.ready.Store(true)
	}
}
