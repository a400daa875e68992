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
	type ranked struct {
		hash  uint64
		index int
	}
	ranks := make([]ranked, len(all))
	for i, u := range all {
		ranks[i] = ranked{hash: xxhash.Sum64String(string(self) + "\x00" + string(u.ID)), index: i}
	}
	slices.SortFunc(ranks, func(a, b ranked) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	chosen := make([]int, n)
	for i := range chosen {
		chosen[i] = ranks[i].index
	}
	slices.Sort(chosen)
	out := make([]model.Upstream, n)
	for i, index := range chosen {
		out[i] = all[index]
	}
	return out
}
