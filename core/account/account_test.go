package account_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/account"
)

func TestIndexFindsAccountsByKey(t *testing.T) {
	x, err := account.NewIndex([]account.Account{
		{Name: "a", Keys: []string{"old", "new"}, Priority: 1, Quota: account.Quota{PerSecond: 5, Burst: 2}},
		{Name: "b", Keys: []string{"other"}},
		{Name: "without-keys"},
	})
	require.NoError(t, err)
	for _, key := range []string{"old", "new"} {
		a, ok := x.ByKey(key)
		require.True(t, ok)
		assert.Equal(t, account.Name("a"), a.Name)
		assert.True(t, x.Holds("a", account.CredentialOf(key)))
		assert.False(t, x.Holds("b", account.CredentialOf(key)))
	}
	_, ok := x.ByKey("unknown")
	assert.False(t, ok)
	_, ok = x.ByKey("")
	assert.False(t, ok)
	assert.False(t, x.Holds("a", 0))
	b, ok := x.ByName("b")
	assert.True(t, ok)
	assert.False(t, b.Quota.Limited())
	assert.Equal(t, 3, x.Len())
}

func TestNilIndexHoldsNoAccounts(t *testing.T) {
	var x *account.Index
	_, ok := x.ByKey("k")
	assert.False(t, ok)
	_, ok = x.ByName("a")
	assert.False(t, ok)
	assert.False(t, x.Holds("a", 1))
	assert.Zero(t, x.Len())
}

func TestInvalidAccountsAreRefused(t *testing.T) {
	const secret = "secret-of-the-caller"
	for name, accounts := range map[string][]account.Account{
		"empty name":        {{Keys: []string{secret}}},
		"name used twice":   {{Name: "a"}, {Name: "a"}},
		"key shared":        {{Name: "a", Keys: []string{secret}}, {Name: "b", Keys: []string{"x", secret}}},
		"empty key":         {{Name: "a", Keys: []string{secret, ""}}},
		"negative rate":     {{Name: "a", Keys: []string{secret}, Quota: account.Quota{PerSecond: -1}}},
		"rate no number":    {{Name: "a", Keys: []string{secret}, Quota: account.Quota{PerSecond: math.NaN()}}},
		"rate without end":  {{Name: "a", Keys: []string{secret}, Quota: account.Quota{PerSecond: math.Inf(1)}}},
		"negative burst":    {{Name: "a", Keys: []string{secret}, Quota: account.Quota{PerSecond: 1, Burst: -1}}},
		"negative priority": {{Name: "a", Keys: []string{secret}, Priority: -1}},
		"priority too high": {{Name: "a", Keys: []string{secret}, Priority: account.MaxPriority + 1}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := account.NewIndex(accounts)
			var invalid *account.Error
			require.ErrorAs(t, err, &invalid)
			assert.NotEmpty(t, invalid.Field)
			assert.False(t, strings.Contains(err.Error(), secret), "the error holds a key: %v", err)
		})
	}
}

func TestAccountPriorityPrecedesRouteRank(t *testing.T) {
	const largestRouteRank = 2
	r := account.NewRanks(largestRouteRank)
	first, second := &account.Account{Priority: 0}, &account.Account{Priority: 1}
	assert.Equal(t, r.Of(nil, 1), r.Of(first, 1))
	assert.Less(t, r.Of(first, largestRouteRank), r.Of(second, 0))
	for rank := 0; rank <= largestRouteRank; rank++ {
		assert.Equal(t, rank, r.RouteRank(r.Of(second, rank)))
	}
}

// A lookup must not get slower with the number of keys.
func BenchmarkByKey(b *testing.B) {
	const count = 10_000
	accounts := make([]account.Account, count)
	for i := range accounts {
		accounts[i] = account.Account{Name: account.Name(fmt.Sprint("a", i)), Keys: []string{fmt.Sprint("key", i)}}
	}
	x, err := account.NewIndex(accounts)
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := x.ByKey("key7777"); !ok {
			b.Fatal("not found")
		}
	}
}
