package peer

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// readersPerZone is the number of daemons of a zone that read the log often.
// With three, a zone still follows by itself when two of them fail at once.
const readersPerZone = 3

// IsLogReader reports whether a daemon is among the few of its availability zone
// that read the log often and hand on what they read.
func IsLogReader(self model.DaemonID, zone model.AvailabilityZone, peers []Peer) bool {
	return RendezvousRank(self, zone, peers) < readersPerZone
}

// RendezvousRank returns the place of a daemon among those of its availability zone, from
// 0, by rendezvous hashing: a daemon that comes or goes moves the others by at
// most one place.
func RendezvousRank(self model.DaemonID, zone model.AvailabilityZone, peers []Peer) int {
	own := xxhash.Sum64String(string(self))
	ahead := 0
	for _, p := range peers {
		if p.Zone != zone || p.ID == self {
			continue
		}
		if h := xxhash.Sum64String(string(p.ID)); h > own || h == own && p.ID > self {
			ahead++
		}
	}
	return ahead
}

// SamplePerZone returns up to n peers of each zone, in an order drawn by seed.
func SamplePerZone(peers []Peer, n int, seed uint64) []Peer {
	sorted := slices.Clone(peers)
	rank := func(p Peer) uint64 { return xxhash.Sum64String(string(p.ID)) ^ seed }
	slices.SortFunc(sorted, func(a, b Peer) int {
		if c := strings.Compare(string(a.Zone), string(b.Zone)); c != 0 {
			return c
		}
		return compareUint(rank(a), rank(b))
	})
	var out []Peer
	taken := 0
	for i, p := range sorted {
		if i == 0 || p.Zone != sorted[i-1].Zone {
			taken = 0
		}
		if taken++; taken <= n {
			out = append(out, p)
		}
	}
	return out
}

func compareUint(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
