package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Subset selects at most n upstreams of a service for one daemon to call, and
// returns them in their original order. If n is not positive, it returns all
// upstreams. Subset uses rendezvous hashing, so the subset of a daemon is stable: an
// upstream that joins or leaves changes the subset by at most one member. Across all
// daemons, every upstream is selected about equally often.
func Subset(self model.DaemonID, all []model.Upstream, n int) []model.Upstream {
	if n <= 0 || len(all) <= n {
		return all
	}
	type candidate struct {
		hash  uint64
		index int
	}
	candidates := make([]candidate, len(all))
	for i, u := range all {
		candidates[i] = candidate{hash: xxhash.Sum64String(string(self) + "\x00" + string(u.ID)), index: i}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	chosenIndexes := make([]int, n)
	for i := range chosenIndexes {
		chosenIndexes[i] = candidates[i].index
	}
	slices.Sort(chosenIndexes)
	out := make([]model.Upstream, n)
	for i, index := range chosenIndexes {
		out[i] = all[index]
	}
	return out
}
