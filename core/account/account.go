package account

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math"
)

// Name is the name of a client account.
type Name string

// Account is a client account as the configuration defines it.
type Account struct {
	Name Name
	// Keys are the keys of the account. An account without keys gets no requests.
	Keys []string
	// Priority is the priority of the account. Requests of priority 0 are served first. It is at
	// least 0 and at most MaxPriority.
	Priority int
	Quota    Quota
}

// MaxPriority is the largest priority of an account.
const MaxPriority = 255

// Quota limits the requests of an account over all daemons together.
type Quota struct {
	// PerSecond is the number of requests per second. Zero means that there is no limit.
	PerSecond float64
	// Burst is the number of requests above the rate that may be sent at once after a pause.
	Burst float64
}

// Limited reports whether the quota limits the requests at all.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Credential identifies a key of an account without revealing the key. Zero stands for no key.
type Credential uint64

// CredentialOf returns the credential of a key: the start of its SHA-256 hash.
func CredentialOf(key string) Credential {
	if key == "" {
		return 0
	}
	sum := sha256.Sum256([]byte(key))
	return Credential(binary.BigEndian.Uint64(sum[:]))
}

// Error reports an invalid account in a configuration. It names no key.
type Error struct {
	Account Name
	Field   string
	Problem string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("client account %q: %s: %s", e.Account, e.Field, e.Problem)
}

// Index finds accounts by key and by name. A nil Index holds no accounts. It is immutable and
// safe for concurrent use.
type Index struct {
	byName map[Name]*Account
	byKey  map[string]*Account
	// holderByCredential holds the account of each key by the credential of the key.
	holderByCredential map[Credential]*Account
	lowestPriority     int
	weights            weights
}

// NewIndex validates accounts and returns their Index. If an account is invalid, it returns an
// *Error for the first one. An account without a name, with the name of another account, with an
// empty key or with a key of another account is invalid, and so is one whose priority or quota is
// out of range.
func NewIndex(accounts []Account) (*Index, error) {
	x := &Index{
		byName: make(map[Name]*Account, len(accounts)), byKey: make(map[string]*Account, 2*len(accounts)),
		holderByCredential: make(map[Credential]*Account, 2*len(accounts)), weights: newWeights(accounts),
	}
	for i := range accounts {
		a := accounts[i]
		if err := a.validate(); err != nil {
			return nil, err
		}
		if x.byName[a.Name] != nil {
			return nil, &Error{Account: a.Name, Field: "name", Problem: "is used by two accounts"}
		}
		x.byName[a.Name] = &a
		x.lowestPriority = max(x.lowestPriority, a.Priority)
		for _, key := range a.Keys {
			credential := CredentialOf(key)
			if other := x.holderByCredential[credential]; other != nil && other.Name != a.Name {
				return nil, &Error{Account: a.Name, Field: "keys", Problem: fmt.Sprintf("a key also belongs to account %q", other.Name)}
			}
			x.byKey[key], x.holderByCredential[credential] = &a, &a
		}
	}
	return x, nil
}

// validate returns an *Error for the first invalid field of the account, or nil.
func (a *Account) validate() error {
	invalid := func(field, problem string) error {
		return &Error{Account: a.Name, Field: field, Problem: problem}
	}
	switch {
	case a.Name == "":
		return invalid("name", "is empty")
	case a.Priority < 0 || a.Priority > MaxPriority:
		return invalid("priority", fmt.Sprintf("must be from 0 to %d, is %d", MaxPriority, a.Priority))
	case !isAmount(a.Quota.PerSecond):
		return invalid("rate", fmt.Sprintf("must be a number that is not negative, is %v", a.Quota.PerSecond))
	case !isAmount(a.Quota.Burst):
		return invalid("burst", fmt.Sprintf("must be a number that is not negative, is %v", a.Quota.Burst))
	}
	for _, key := range a.Keys {
		if key == "" {
			return invalid("keys", "a key is empty")
		}
	}
	return nil
}

func isAmount(v float64) bool { return v >= 0 && v <= math.MaxFloat64 }

// ByKey returns the account that has a key, and false if no account has it.
func (x *Index) ByKey(key string) (*Account, bool) {
	if x == nil {
		return nil, false
	}
	a, ok := x.byKey[key]
	return a, ok
}

// ByName returns an account by its name, and false if there is none of that name.
func (x *Index) ByName(name Name) (*Account, bool) {
	if x == nil {
		return nil, false
	}
	a, ok := x.byName[name]
	return a, ok
}

// Holds reports whether the account of the given name has the key of a credential.
func (x *Index) Holds(name Name, c Credential) bool {
	if x == nil {
		return false
	}
	a := x.holderByCredential[c]
	return a != nil && a.Name == name
}

// Len returns the number of accounts.
func (x *Index) Len() int {
	if x == nil {
		return 0
	}
	return len(x.byName)
}

// Ranks orders requests by the priority of their account first and the rank of their route second.
type Ranks struct {
	// perPriority is the number of ranks of routes.
	perPriority int
}

// NewRanks returns the Ranks for routes whose largest rank is largestRouteRank.
func NewRanks(largestRouteRank int) Ranks { return Ranks{perPriority: max(largestRouteRank, 0) + 1} }

// Of returns the rank of a request of an account on a route. A request without an account, such as
// one on a public route, ranks like one of an account of priority 0.
func (r Ranks) Of(a *Account, routeRank int) int {
	if a == nil {
		return routeRank
	}
	return a.Priority*r.perPriority + routeRank
}

// RouteRank returns the rank of the route from a rank that Of returned.
func (r Ranks) RouteRank(rank int) int { return rank % r.perPriority }

// Quotas returns the quotas of all accounts by name.
func (x *Index) Quotas() map[Name]Quota {
	quotas := make(map[Name]Quota, x.Len())
	if x != nil {
		for name, a := range x.byName {
			quotas[name] = a.Quota
		}
	}
	return quotas
}
