package sidecar

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// watchers returns the members that watch the store.
func watchers(members []*member) []*member {
	var watching []*member
	for _, m := range members {
		if m.follower.watchesStore() {
			watching = append(watching, m)
		}
	}
	return watching
}

// TestFewDaemonsWatchStore checks that three of seven daemons of a zone watch the store. When these
// three end, the others must still get a new version, and three of them must start to watch.
func TestFewDaemonsWatchStore(t *testing.T) {
	const (
		numDaemons     = 7
		wantedWatchers = 3
	)
	s := newStore(documentOf(1, "a"))
	var members []*member
	for i := range numDaemons {
		members = append(members, startReady(t, s, "a", fmt.Sprint("a", i)))
	}
	for _, m := range members {
		m.waitForCandidates(t, "a", numDaemons)
	}
	eventually(t, "three daemons watch", func() bool { return len(watchers(members)) == wantedWatchers })
	// Daemons start to watch while others are killed, so those to kill are found first.
	watching := watchers(members)
	var survivors []*member
	for _, m := range members {
		if slices.Contains(watching, m) {
			m.kill()
		} else {
			survivors = append(survivors, m)
		}
	}
	s.publish(documentOf(2, "a"))
	for _, m := range survivors {
		eventually(t, "the new version", func() bool { return m.config.version() == 2 })
	}
	eventually(t, "other daemons take over", func() bool { return len(watchers(survivors)) == wantedWatchers })
}

// TestRestartKeepsDirectoryEntry restarts a daemon that has an entry in the directory. The
// daemon must not write the entry again.
func TestRestartKeepsDirectoryEntry(t *testing.T) {
	s := newStore(documentOf(1, "a"))
	a, b := startReady(t, s, "a", "a1"), startReady(t, s, "a", "a2")
	a.waitForCandidates(t, "a", 2)
	b.kill()
	o := b.opts
	o.Bootstrap = false
	restarted := startDaemon(t, o, s)
	restarted.Report(readyReport("a2", 1, 1, "a"))
	restarted.waitForCandidates(t, "a", 2)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Equal(t, 2, s.announcements)
}
