package account

import "hash/fnv"

// maxWeightRatio bounds how much more or less than the mean of all accounts an account weighs, so that
// each account gets its turn often enough.
const maxWeightRatio = 32

// Number returns the number that stands for the account in queues and load queries. It depends only on
// the name, so it is the same on all daemons. It is zero only for the empty name, which stands for no
// account. Accounts whose names have the same hash share a number.
func (n Name) Number() uint32 {
	if n == "" {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(n))
	return max(h.Sum32(), 1)
}

// weights holds the weight of each account by its number.
type weights map[uint32]float64

// newWeights returns the weights of accounts: the rates of their quotas relative to the mean rate. An
// account without a limit weighs as much as the mean.
func newWeights(accounts []Account) weights {
	limited, mean := 0, 0.0
	for i := range accounts {
		if accounts[i].Quota.Limited() {
			limited++
		}
	}
	for i := range accounts {
		mean += accounts[i].Quota.PerSecond / float64(max(limited, 1))
	}
	w := make(weights, len(accounts))
	for i := range accounts {
		w[accounts[i].Name.Number()] = 1
		if q := accounts[i].Quota; q.Limited() {
			w[accounts[i].Name.Number()] = min(max(q.PerSecond/mean, 1.0/maxWeightRatio), maxWeightRatio)
		}
	}
	return w
}

// Weight returns the weight of the account of a number in shares of the time of an upstream. The
// weights of all accounts are 1 on average. Requests without an account, whose number is zero, weigh as
// much as all accounts together: they are calls that runs make, and a run has begun already. An unknown
// account weighs 1.
func (x *Index) Weight(number uint32) float64 {
	if x == nil {
		return 1
	}
	if number == 0 {
		return float64(max(len(x.byName), 1))
	}
	if weight, ok := x.weights[number]; ok {
		return weight
	}
	return 1
}
