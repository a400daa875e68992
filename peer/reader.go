package peer

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// logReadersPerZone is the number of daemons in an availability zone that read
// the record log often. With three, a zone still follows the log on its own when
// two of the three fail at once.
const logReadersPerZone = 3

// IsLogReader reports whether a daemon is a log reader. The few log readers of an
// availability zone read the record log often, and send what they read to the
// other daemons in rounds.
func IsLogReader(self model.DaemonID, zone model.AvailabilityZone, peers []Peer) bool {
	return RendezvousRank(self, zone, peers) < logReadersPerZone
}

// RendezvousRank returns the position of a daemon, from 0, among the daemons of
// its availability zone. They are ordered by a hash of their names, the highest
// hash first. A daemon that is added or removed moves the others by at most one
// position.
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

// SamplePerZone returns up to n peers of each availability zone, sorted by zone.
// The seed determines which peers of a zone are chosen and in which order.
func SamplePerZone(peers []Peer, n int, seed uint64) []Peer {
	sorted := slices.Clone(peers)
	sortKey := func(p Peer) uint64 { return xxhash.Sum64String(string(p.ID)) ^ seed }
	slices.SortFunc(sorted, func(a, b Peer) int {
		if c := strings.Compare(string(a.Zone), string(b.Zone)); c != 0 {
			return c
		}
		return compareUint(sortKey(a), sortKey(b))
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

// compareUint returns -1 if a is less than b, 1 if a is greater, and 0 otherwise.
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
