package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// members returns so many daemons in each of some zones, z0 first.
func newMembers(zones, each int) []Member {
	var out []Member
	for z := range zones {
		for i := range each {
			out = append(out, Member{Address: fmt.Sprint(z, "-", i), Zone: model.AvailabilityZone(fmt.Sprint("z", z))})
		}
	}
	return out
}

func TestPush(t *testing.T) {
	targets := Targets{Zone: "z0", Draw: rand.New(rand.NewPCG(1, 1)).IntN}
	for name, c := range map[string]struct {
		members []Member
		origin  bool
		// near is how many of the own zone are told, far the least and the most of others.
		local, minRemote, maxRemote int
	}{
		"handed on":              {newMembers(5, 30), false, fanOut, 0, 1},
		"began here":             {newMembers(5, 30), true, fanOut, 4, 4},
		"began here, many zones": {newMembers(20, 30), true, fanOut, maxPushZones, maxPushZones},
		"small zones":            {newMembers(3, 1), false, 1, 2, 2},
		"small zones, began":     {newMembers(3, 1), true, 1, 2, 2},
		"only the own zone":      {newMembers(1, 30), true, fanOut, 0, 0},
		"nobody":                 {nil, true, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			for range 100 {
				local, seen := 0, make(map[Member]bool)
				for _, m := range targets.Push(c.members, c.origin) {
					require.False(t, seen[m], "told once")
					seen[m] = true
					if m.Zone == targets.Zone {
						local++
					}
				}
				require.Equal(t, c.local, local)
				require.GreaterOrEqual(t, len(seen)-local, c.minRemote)
				require.LessOrEqual(t, len(seen)-local, c.maxRemote)
			}
		})
	}
}

func TestPartner(t *testing.T) {
	targets := Targets{Zone: "z0", Draw: rand.New(rand.NewPCG(1, 1)).IntN}
	_, ok := targets.Partner(nil)
	require.False(t, ok)
	alone, ok := targets.Partner([]Member{{Address: "x", Zone: "z1"}})
	require.True(t, ok)
	require.Equal(t, "x", alone.Address)
	const draws = 8000
	all, remote := newMembers(5, 30), 0
	for range draws {
		if m, _ := targets.Partner(all); m.Zone != targets.Zone {
			remote++
		}
	}
	require.InDelta(t, crossZoneShare, float64(remote)/draws, 0.02)
}

func TestPace(t *testing.T) {
	var p Pace
	now := model.Instant(0).Add(time.Second)
	require.True(t, p.Due(now))
	require.False(t, p.Due(now.Add(shortInterval-1)))
	require.True(t, p.Due(now.Add(shortInterval)))
	for range requiredAgreements {
		p.Agreed()
	}
	require.False(t, p.Due(now.Add(2*shortInterval)))
	require.True(t, p.Due(now.Add(shortInterval+longInterval)))
	p.Changed()
	require.True(t, p.Due(now.Add(2*shortInterval+longInterval)))
}
