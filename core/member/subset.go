package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Subset returns at most n upstreams of a service for one daemon to call, in
// the order given. They are chosen by rendezvous hashing: the choice of one
// daemon is stable, an upstream that comes or goes changes it by one at most,
// and over all daemons each upstream is chosen about as often.
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
	for i, at := range chosen {
		out[i] = all[at]
	}
	return out
}
