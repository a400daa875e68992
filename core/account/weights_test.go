package account_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/account"
)

func TestWeightsFollowQuotas(t *testing.T) {
	x, err := account.NewIndex([]account.Account{
		{Name: "small", Quota: account.Quota{PerSecond: 10}},
		{Name: "large", Quota: account.Quota{PerSecond: 30}},
		{Name: "unlimited"},
	})
	require.NoError(t, err)
	assert.Equal(t, 0.5, x.Weight(account.Name("small").Number()))
	assert.Equal(t, 1.5, x.Weight(account.Name("large").Number()))
	assert.Equal(t, 1.0, x.Weight(account.Name("unlimited").Number()))
	assert.Equal(t, 1.0, x.Weight(account.Name("unknown").Number()))
	assert.Equal(t, 3.0, x.Weight(0), "calls without an account weigh as much as all accounts")
	var none *account.Index
	assert.Equal(t, 1.0, none.Weight(0))
}

// A quota may be as small or as large as a float64 allows. Its account must still get its turn.
func TestWeightsAreBounded(t *testing.T) {
	x, err := account.NewIndex([]account.Account{
		{Name: "least", Quota: account.Quota{PerSecond: math.SmallestNonzeroFloat64}},
		{Name: "most", Quota: account.Quota{PerSecond: math.MaxFloat64}},
		{Name: "most-too", Quota: account.Quota{PerSecond: math.MaxFloat64}},
	})
	require.NoError(t, err)
	for _, name := range []account.Name{"least", "most", "most-too"} {
		weight := x.Weight(name.Number())
		assert.True(t, weight >= 1.0/32 && weight <= 32, "%s: %v", name, weight)
	}
}

func TestNumbersStandForNames(t *testing.T) {
	assert.Zero(t, account.Name("").Number())
	assert.NotZero(t, account.Name("a").Number())
	assert.NotEqual(t, account.Name("a").Number(), account.Name("b").Number())
}
