package watch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sizes are small, as today, and as expected within two years.
var sizes = []int{10, 300, 1700}

// inTime is how long a version may take to be in force everywhere.
const inTime = 2 * time.Second

// TestVersionsInForce has versions published in different trouble.
func TestVersionsInForce(t *testing.T) {
	for name, trouble := range map[string]func(f *fleet){
		"calm": func(*fleet) {},
		"all watchers die": func(f *fleet) {
			for _, d := range f.watchers() {
				d.down = true
			}
		},
		"all watchers are cut off from their zones": func(f *fleet) {
			for _, d := range f.watchers() {
				d.cut = true
			}
		},
		"the store turns all watchers away": func(f *fleet) {
			turned := f.watchers()
			f.serves = func(d *daemon) bool {
				for _, w := range turned {
					if w == d {
						return false
					}
				}
				return true
			}
		},
		"the store turns a third away": func(f *fleet) {
			f.serves = func(d *daemon) bool { return d.name[len(d.name)-1]%3 != 0 }
		},
		"a zone does not reach the store": func(f *fleet) {
			f.serves = func(d *daemon) bool { return d.zone != "z1" }
		},
		"the store was away": func(f *fleet) {
			f.serves = func(*daemon) bool { return false }
			f.pass(10 * time.Second)
			f.serves = func(*daemon) bool { return true }
		},
		"all start anew": func(f *fleet) {
			for _, d := range f.daemons {
				d.start()
			}
			f.meet()
		},
		"a daemon hears nobody": func(f *fleet) {
			f.daemons[len(f.daemons)-1].cut = true
			f.meet()
		},
	} {
		for _, n := range sizes {
			t.Run(fmt.Sprint(name, ", ", n, " daemons"), func(t *testing.T) {
				f := newFleet(n)
				f.pass(5 * time.Second)
				trouble(f)
				require.LessOrEqual(t, f.inForce(t), inTime)
			})
		}
	}
}

// TestVersionsAreHandedOnAtOnce has versions published at different times between
// heartbeats: none waits for the next one.
func TestVersionsAreHandedOnAtOnce(t *testing.T) {
	const (
		versions = 20
		pause    = 3 * time.Second / 7
		// prompt is a read, a heartbeat, and a fetch with what is left of the way.
		prompt = 5 * step
	)
	for _, n := range sizes {
		f := newFleet(n)
		f.pass(5 * time.Second)
		for range versions {
			f.pass(pause)
			require.LessOrEqual(t, f.inForce(t), prompt, "%d daemons", n)
		}
	}
}

// TestReadsThatHang has the store answer nothing to whoever reads, and be well again.
// Versions are in force in time once the reads from before have been given up.
func TestReadsThatHang(t *testing.T) {
	for _, n := range sizes {
		f := newFleet(n)
		f.pass(5 * time.Second)
		f.hangs = func(*daemon) bool { return true }
		f.pass(5 * time.Second)
		f.hangs = func(*daemon) bool { return false }
		require.LessOrEqual(t, f.inForce(t), readLimit+inTime, "%d daemons", n)
	}
}

// TestDaemonAloneWatches has one that hears no other daemon, and reaches the store.
func TestDaemonAloneWatches(t *testing.T) {
	f := newFleet(10)
	f.pass(5 * time.Second)
	alone := f.daemons[9]
	require.False(t, alone.roster.watching)
	alone.cut = true
	f.meet()
	f.pass(inTime)
	require.True(t, alone.roster.watching)
	require.False(t, alone.roster.Blind(f.now))
	f.version++
	f.pass(step)
	require.Equal(t, f.version, alone.version)
}

// TestCallsToTheStore bounds them for each cell, calm and while the store is away.
func TestCallsToTheStore(t *testing.T) {
	const (
		seconds = 30
		// calmCalls are those of one watcher in that time, with room for one more at the
		// start.
		calmCalls = int(seconds*time.Second/pollWait) + 2
		// awayCalls are those of the daemons of a cell that try at once, with the shorter
		// pauses of those whose turn begins.
		awayCalls = 4 * maxTrying * seconds
	)
	for _, n := range sizes {
		cells := zones * ((n/zones + cellSize - 1) / cellSize)
		f := newFleet(n)
		f.pass(2 * time.Second)
		f.calls = 0
		f.pass(seconds * time.Second)
		require.LessOrEqual(t, f.calls, cells*calmCalls, "%d daemons", n)
		require.Len(t, f.watchers(), cells, "%d daemons", n)
		f.serves = func(*daemon) bool { return false }
		f.calls = 0
		f.pass(seconds * time.Second)
		require.LessOrEqual(t, f.calls, cells*awayCalls, "%d daemons, store away", n)
		t.Logf("%d daemons: %d cells, %d calls while the store is away", n, cells, f.calls)
	}
}

// TestHeartbeatsAreBounded holds the messages of a watcher whatever the size.
func TestHeartbeatsAreBounded(t *testing.T) {
	const seconds = 10
	for _, n := range sizes {
		f := newFleet(n)
		f.pass(seconds * time.Second)
		for _, d := range f.daemons {
			most := cellSize * (int(seconds*time.Second/HeartbeatEvery) + 3)
			require.LessOrEqual(t, d.sent, most, "%d daemons", n)
		}
	}
}

// TestTurns has the store serve one daemon of a cell only: it comes to its turn.
func TestTurns(t *testing.T) {
	f := newFleet(300)
	f.pass(5 * time.Second)
	served := f.daemons[len(f.daemons)-1]
	f.serves = func(d *daemon) bool { return d == served }
	began := f.now
	for !served.roster.Reaches() {
		f.pass(step)
		require.Less(t, f.now.Sub(began), time.Minute)
	}
	f.version++
	f.pass(inTime)
	require.Zero(t, f.behind())
}

// TestFirstComesBack has the daemon that is first in order return: it watches again, and
// the one that stood in for it rests.
func TestFirstComesBack(t *testing.T) {
	f := newFleet(300)
	f.pass(5 * time.Second)
	first := f.daemons[0]
	first.down = true
	f.pass(5 * time.Second)
	require.Len(t, f.watchers(), zones)
	first.start()
	f.meet()
	f.pass(5 * time.Second)
	require.True(t, first.roster.watching)
	require.Len(t, f.watchers(), zones)
}
