package watch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sizes are small, as today, and as expected within two years.
var fleetSizes = []int{10, 300, 1700}

// inTime is how long a version may take to be in force everywhere.
const maxPropagation = 2 * time.Second

// TestVersionsInForce has versions published in different trouble.
func TestVersionsReachAllDaemons(t *testing.T) {
	for name, disturb := range map[string]func(f *fleet){
		"calm": func(*fleet) {},
		"all watchers die": func(f *fleet) {
			for _, d := range f.watchers() {
				d.down = true
			}
		},
		"all watchers are cut off from their zones": func(f *fleet) {
			for _, d := range f.watchers() {
				d.partitioned = true
			}
		},
		"the store turns all watchers away": func(f *fleet) {
			rejected := f.watchers()
			f.storeServes = func(d *daemon) bool {
				for _, w := range rejected {
					if w == d {
						return false
					}
				}
				return true
			}
		},
		"the store turns a third away": func(f *fleet) {
			f.storeServes = func(d *daemon) bool { return d.name[len(d.name)-1]%3 != 0 }
		},
		"a zone does not reach the store": func(f *fleet) {
			f.storeServes = func(d *daemon) bool { return d.zone != "z1" }
		},
		"the store was away": func(f *fleet) {
			f.storeServes = func(*daemon) bool { return false }
			f.advance(10 * time.Second)
			f.storeServes = func(*daemon) bool { return true }
		},
		"all start anew": func(f *fleet) {
			for _, d := range f.daemons {
				d.start()
			}
			f.updateMembers()
		},
		"a daemon hears nobody": func(f *fleet) {
			f.daemons[len(f.daemons)-1].partitioned = true
			f.updateMembers()
		},
	} {
		for _, n := range fleetSizes {
			t.Run(fmt.Sprint(name, ", ", n, " daemons"), func(t *testing.T) {
				f := newFleet(n)
				f.advance(5 * time.Second)
				disturb(f)
				require.LessOrEqual(t, f.publishAndWait(t), maxPropagation)
			})
		}
	}
}

// TestVersionsAreHandedOnAtOnce has versions published at different times between
// heartbeats: none waits for the next one.
func TestVersionsAreForwardedImmediately(t *testing.T) {
	const (
		versions = 20
		pause    = 3 * time.Second / 7
		// prompt is a read, a heartbeat, and a fetch with what is left of the way.
		maxDelay = 5 * step
	)
	for _, n := range fleetSizes {
		f := newFleet(n)
		f.advance(5 * time.Second)
		for range versions {
			f.advance(pause)
			require.LessOrEqual(t, f.publishAndWait(t), maxDelay, "%d daemons", n)
		}
	}
}

// TestReadsThatHang has the store answer nothing to whoever reads, and be well again.
// Versions are in force in time once the reads from before have been given up.
func TestVersionsAfterHungReads(t *testing.T) {
	for _, n := range fleetSizes {
		f := newFleet(n)
		f.advance(5 * time.Second)
		f.storeHangs = func(*daemon) bool { return true }
		f.advance(5 * time.Second)
		f.storeHangs = func(*daemon) bool { return false }
		require.LessOrEqual(t, f.publishAndWait(t), readTimeout+maxPropagation, "%d daemons", n)
	}
}

// TestDaemonAloneWatches has one that hears no other daemon, and reaches the store.
func TestIsolatedDaemonWatches(t *testing.T) {
	f := newFleet(10)
	f.advance(5 * time.Second)
	isolated := f.daemons[9]
	require.False(t, isolated.roster.watching)
	isolated.partitioned = true
	f.updateMembers()
	f.advance(maxPropagation)
	require.True(t, isolated.roster.watching)
	require.False(t, isolated.roster.Blind(f.now))
	f.version++
	f.advance(step)
	require.Equal(t, f.version, isolated.version)
}

// TestCallsToTheStore bounds them for each cell, calm and while the store is away.
func TestStoreCallsAreBounded(t *testing.T) {
	const (
		seconds = 30
		// calmCalls are those of one watcher in that time, with room for one more at the
		// start.
		normalCalls = int(seconds*time.Second/pollWait) + 2
		// awayCalls are those of the daemons of a cell that try at once, with the shorter
		// pauses of those whose turn begins.
		unavailableCalls = 4 * maxConcurrentTries * seconds
	)
	for _, n := range fleetSizes {
		cells := zones * ((n/zones + maxCellSize - 1) / maxCellSize)
		f := newFleet(n)
		f.advance(2 * time.Second)
		f.storeCalls = 0
		f.advance(seconds * time.Second)
		require.LessOrEqual(t, f.storeCalls, cells*normalCalls, "%d daemons", n)
		require.Len(t, f.watchers(), cells, "%d daemons", n)
		f.storeServes = func(*daemon) bool { return false }
		f.storeCalls = 0
		f.advance(seconds * time.Second)
		require.LessOrEqual(t, f.storeCalls, cells*unavailableCalls, "%d daemons, store away", n)
		t.Logf("%d daemons: %d cells, %d calls while the store is away", n, cells, f.storeCalls)
	}
}

// TestHeartbeatsAreBounded holds the messages of a watcher whatever the size.
func TestHeartbeatsAreBounded(t *testing.T) {
	const seconds = 10
	for _, n := range fleetSizes {
		f := newFleet(n)
		f.advance(seconds * time.Second)
		for _, d := range f.daemons {
			most := maxCellSize * (int(seconds*time.Second/HeartbeatInterval) + 3)
			require.LessOrEqual(t, d.heartbeatsSent, most, "%d daemons", n)
		}
	}
}

// TestTurns has the store serve one daemon of a cell only: it comes to its turn.
func TestDaemonsTakeTurnsTryingTheStore(t *testing.T) {
	f := newFleet(300)
	f.advance(5 * time.Second)
	served := f.daemons[len(f.daemons)-1]
	f.storeServes = func(d *daemon) bool { return d == served }
	began := f.now
	for !served.roster.Reaches() {
		f.advance(step)
		require.Less(t, f.now.Sub(began), time.Minute)
	}
	f.version++
	f.advance(maxPropagation)
	require.Zero(t, f.countOutdated())
}

// TestFirstComesBack has the daemon that is first in order return: it watches again, and
// the one that stood in for it rests.
func TestReturningDaemonReplacesItsSubstitute(t *testing.T) {
	f := newFleet(300)
	f.advance(5 * time.Second)
	first := f.daemons[0]
	first.down = true
	f.advance(5 * time.Second)
	require.Len(t, f.watchers(), zones)
	first.start()
	f.updateMembers()
	f.advance(5 * time.Second)
	require.True(t, first.roster.watching)
	require.Len(t, f.watchers(), zones)
}
