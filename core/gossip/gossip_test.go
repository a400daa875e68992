package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// newMembers returns membersPerZone daemons in each of zoneCount zones, which are named z0, z1
// and so on.
func newMembers(zoneCount, membersPerZone int) []Member {
	var out []Member
	for z := range zoneCount {
		for i := range membersPerZone {
			out = append(out, Member{Address: fmt.Sprint(z, "-", i), Zone: model.AvailabilityZone(fmt.Sprint("z", z))})
		}
	}
	return out
}

// TestPushTargets checks how many daemons of the local zone and of other zones an update is
// pushed to, for an update of the daemon itself (origin) and one that it forwards.
func TestPushTargets(t *testing.T) {
	selector := PeerSelector{Zone: "z0", RandIntN: rand.New(rand.NewPCG(1, 1)).IntN}
	for name, c := range map[string]struct {
		members  []Member
		isOrigin bool
		// localCount is the number of selected daemons in the local zone.
		localCount int
		// minRemoteCount and maxRemoteCount bound the number of selected daemons in other
		// zones.
		minRemoteCount, maxRemoteCount int
	}{
		"forwarded":           {newMembers(5, 30), false, fanOut, 0, 1},
		"origin":              {newMembers(5, 30), true, fanOut, 4, 4},
		"origin, many zones":  {newMembers(20, 30), true, fanOut, maxPushZones, maxPushZones},
		"small zones":         {newMembers(3, 1), false, 1, 2, 2},
		"small zones, origin": {newMembers(3, 1), true, 1, 2, 2},
		"one zone":            {newMembers(1, 30), true, fanOut, 0, 0},
		"no members":          {nil, true, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			for range 100 {
				localCount, seen := 0, make(map[Member]bool)
				for _, m := range selector.PushTargets(c.members, c.isOrigin) {
					require.False(t, seen[m], "each member is selected at most once")
					seen[m] = true
					if m.Zone == selector.Zone {
						localCount++
					}
				}
				require.Equal(t, c.localCount, localCount)
				require.GreaterOrEqual(t, len(seen)-localCount, c.minRemoteCount)
				require.LessOrEqual(t, len(seen)-localCount, c.maxRemoteCount)
			}
		})
	}
}

// TestAntiEntropyPeer checks that a daemon of another zone is selected if the local zone has
// none, and otherwise with a probability of crossZoneShare.
func TestAntiEntropyPeer(t *testing.T) {
	selector := PeerSelector{Zone: "z0", RandIntN: rand.New(rand.NewPCG(1, 1)).IntN}
	_, ok := selector.AntiEntropyPeer(nil)
	require.False(t, ok)
	onlyMember, ok := selector.AntiEntropyPeer([]Member{{Address: "x", Zone: "z1"}})
	require.True(t, ok)
	require.Equal(t, "x", onlyMember.Address)
	const draws = 8000
	members, remoteDraws := newMembers(5, 30), 0
	for range draws {
		if m, _ := selector.AntiEntropyPeer(members); m.Zone != selector.Zone {
			remoteDraws++
		}
	}
	require.InDelta(t, crossZoneShare, float64(remoteDraws)/draws, 0.02)
}

// TestAntiEntropyTimerSlowsDownAfterAgreements checks that the interval between comparisons is
// short at first, long after requiredAgreements agreements, and short again after Reset.
func TestAntiEntropyTimerSlowsDownAfterAgreements(t *testing.T) {
	var timer AntiEntropyTimer
	now := model.Instant(0).Add(time.Second)
	require.True(t, timer.Due(now))
	require.False(t, timer.Due(now.Add(shortInterval-1)))
	require.True(t, timer.Due(now.Add(shortInterval)))
	for range requiredAgreements {
		timer.RecordAgreement()
	}
	require.False(t, timer.Due(now.Add(2*shortInterval)))
	require.True(t, timer.Due(now.Add(shortInterval+longInterval)))
	timer.Reset()
	require.True(t, timer.Due(now.Add(2*shortInterval+longInterval)))
}
