package peer

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// logReadersPerZone is the number of daemons of a zone that read the log often.
// With three, a zone still follows by itself when two of them fail at once.
const logReadersPerZone = 3

// IsLogReader reports whether a daemon is among the few of its availability zone
// that read the log often and hand on what they read.
func IsLogReader(self model.DaemonID, zone model.AvailabilityZone, peers []Peer) bool {
	return RendezvousRank(self, zone, peers) < logReadersPerZone
}

// RendezvousRank returns the place of a daemon among those of its availability zone, from
// 0, by rendezvous hashing: a daemon that comes or goes moves the others by at
// most one place.
func RendezvousRank(self model.DaemonID, zone model.AvailabilityZone, peers []Peer) int {
	selfHash := xxhash.Sum64String(string(self))
	rank := 0
	for _, p := range peers {
		if p.Zone != zone || p.ID == self {
			continue
		}
		if hash := xxhash.Sum64String(string(p.ID)); hash > selfHash || hash == selfHash && p.ID > self {
			rank++
		}
	}
	return rank
}

// SamplePerZone returns up to n peers of each zone, in an order drawn by seed.
func SamplePerZone(peers []Peer, n int, seed uint64) []Peer {
	sorted := slices.Clone(peers)
	key := func(p Peer) uint64 { return xxhash.Sum64String(string(p.ID)) ^ seed }
	slices.SortFunc(sorted, func(a, b Peer) int {
		if c := strings.Compare(string(a.Zone), string(b.Zone)); c != 0 {
			return c
		}
		return compareUint(key(a), key(b))
	})
	var sample []Peer
	count := 0
	for i, p := range sorted {
		if i == 0 || p.Zone != sorted[i-1].Zone {
			count = 0
		}
		if count++; count <= n {
			sample = append(sample, p)
		}
	}
	return sample
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
