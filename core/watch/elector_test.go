package watch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleetSizes are the numbers of daemons in a small fleet, in the fleet of today, and in the
// fleet expected within two years.
var fleetSizes = []int{10, 300, 1700}

// maxPropagation is the longest time allowed until all daemons have a new version of the
// configuration.
const maxPropagation = 2 * time.Second

// TestVersionsReachAllDaemons publishes a version after a disturbance. All daemons must get
// the version within maxPropagation.
func TestVersionsReachAllDaemons(t *testing.T) {
	for name, disturb := range map[string]func(f *fleet){
		"no disturbance": func(*fleet) {},
		"all watchers crash": func(f *fleet) {
			for _, d := range f.watchers() {
				d.down = true
			}
		},
		"all watchers are partitioned from their zones": func(f *fleet) {
			for _, d := range f.watchers() {
				d.partitioned = true
			}
		},
		"the store rejects all watchers": func(f *fleet) {
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
		"the store rejects a third of the daemons": func(f *fleet) {
			f.storeServes = func(d *daemon) bool { return d.name[len(d.name)-1]%3 != 0 }
		},
		"one zone cannot reach the store": func(f *fleet) {
			f.storeServes = func(d *daemon) bool { return d.zone != "z1" }
		},
		"the store was unavailable": func(f *fleet) {
			f.storeServes = func(*daemon) bool { return false }
			f.advance(10 * time.Second)
			f.storeServes = func(*daemon) bool { return true }
		},
		"all daemons restart": func(f *fleet) {
			for _, d := range f.daemons {
				d.start()
			}
			f.updateMembers()
		},
		"one daemon is partitioned": func(f *fleet) {
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

// TestVersionsAreForwardedImmediately publishes versions at various times between two
// heartbeats. No version may be delayed until the next heartbeat.
func TestVersionsAreForwardedImmediately(t *testing.T) {
	const (
		versionCount = 20
		pause        = 3 * time.Second / 7
		// maxDelay covers a read of the store, a heartbeat, a fetch and the remaining
		// hops.
		maxDelay = 5 * step
	)
	for _, n := range fleetSizes {
		f := newFleet(n)
		f.advance(5 * time.Second)
		for range versionCount {
			f.advance(pause)
			require.LessOrEqual(t, f.publishAndWait(t), maxDelay, "%d daemons", n)
		}
	}
}

// TestVersionsAfterHungReads has the store accept reads without responding, and then
// recover. A version must reach all daemons in time once the hung reads have timed out.
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

// TestIsolatedDaemonWatches has a daemon that is partitioned from all others but
// reaches the store. The daemon must watch the store itself.
func TestIsolatedDaemonWatches(t *testing.T) {
	f := newFleet(10)
	f.advance(5 * time.Second)
	isolated := f.daemons[9]
	require.False(t, isolated.elector.watching)
	isolated.partitioned = true
	f.updateMembers()
	f.advance(maxPropagation)
	require.True(t, isolated.elector.watching)
	require.False(t, isolated.elector.StoreUnreachable(f.now))
	f.version++
	f.advance(step)
	require.Equal(t, f.version, isolated.version)
}

// TestStoreCallsAreBounded bounds the calls to the store per cell, both normally and while the
// store is unavailable. Normally, one daemon of each cell must watch.
func TestStoreCallsAreBounded(t *testing.T) {
	const (
		seconds = 30
		// normalCalls is the largest number of calls that one watcher may make in the given
		// number of seconds, including one at the start and one in reserve.
		normalCalls = int(seconds*time.Second/pollWait) + 2
		// unavailableCalls is the largest number of calls of a cell while the store is
		// unavailable. It covers the daemons that may try at the same time, and the shorter
		// delays at the beginning of each daemon's turn.
		unavailableCalls = 4 * maxConcurrentTries * seconds
	)
	for _, n := range fleetSizes {
		cellCount := zoneCount * ((n/zoneCount + maxCellSize - 1) / maxCellSize)
		f := newFleet(n)
		f.advance(2 * time.Second)
		f.storeCallCount = 0
		f.advance(seconds * time.Second)
		require.LessOrEqual(t, f.storeCallCount, cellCount*normalCalls, "%d daemons", n)
		require.Len(t, f.watchers(), cellCount, "%d daemons", n)
		f.storeServes = func(*daemon) bool { return false }
		f.storeCallCount = 0
		f.advance(seconds * time.Second)
		require.LessOrEqual(t, f.storeCallCount, cellCount*unavailableCalls, "%d daemons, store unavailable", n)
		t.Logf("%d daemons: %d cells, %d calls while the store is unavailable", n, cellCount, f.storeCallCount)
	}
}

// TestHeartbeatsAreBounded checks the number of heartbeats of a watcher for all fleet sizes.
// A watcher may send about one heartbeat per HeartbeatInterval to each of at most maxCellSize
// daemons.
func TestHeartbeatsAreBounded(t *testing.T) {
	const seconds = 10
	for _, n := range fleetSizes {
		f := newFleet(n)
		f.advance(seconds * time.Second)
		for _, d := range f.daemons {
			maxSent := maxCellSize * (int(seconds*time.Second/HeartbeatInterval) + 3)
			require.LessOrEqual(t, d.sentHeartbeatCount, maxSent, "%d daemons", n)
		}
	}
}

// TestDaemonsTakeTurnsTryingTheStore has the store serve only one daemon of a cell. That daemon
// must get its turn within a minute, and all daemons must then get a new version within
// maxPropagation.
func TestDaemonsTakeTurnsTryingTheStore(t *testing.T) {
	f := newFleet(300)
	f.advance(5 * time.Second)
	served := f.daemons[len(f.daemons)-1]
	f.storeServes = func(d *daemon) bool { return d == served }
	start := f.now
	for !served.elector.ReachesStore() {
		f.advance(step)
		require.Less(t, f.now.Sub(start), time.Minute)
	}
	f.version++
	f.advance(maxPropagation)
	require.Zero(t, f.countOutdated())
}

// TestReturningDaemonReplacesItsSubstitute restarts the first daemon of a cell. That daemon
// must watch again, and the daemon that had replaced it must stop watching.
func TestReturningDaemonReplacesItsSubstitute(t *testing.T) {
	f := newFleet(300)
	f.advance(5 * time.Second)
	first := f.daemons[0]
	first.down = true
	f.advance(5 * time.Second)
	require.Len(t, f.watchers(), zoneCount)
	first.start()
	f.updateMembers()
	f.advance(5 * time.Second)
	require.True(t, first.elector.watching)
	require.Len(t, f.watchers(), zoneCount)
}
