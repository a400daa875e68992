package entry

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/routing"
)

// TestRoutersUseTheServicesPolicy checks that the upstreams are chosen by the service's
// routing policy. After a change to an unknown policy, a new router must be used, and its
// statistics must start at zero.
func TestRoutersUseTheServicesPolicy(t *testing.T) {
	view := staticView{
		{ID: "s-1", Service: "s", Incarnation: 1, Slots: 6},
		{ID: "s-2", Service: "s", Incarnation: 1, Slots: 6},
	}
	policyName := routing.RoundRobin
	r := NewRouters(view, func() model.Instant { return 0 }, routing.Options{Seed: 1})
	r.SetPolicySource(func(model.ServiceName) string { return policyName })
	scope := tally.NewTestScope("", nil)
	r.SetMetricsScope(scope)
	place := func() model.Upstream {
		c, ok := r.Place(model.Request{Service: "s"}, nil, 0)
		assert.True(t, ok)
		return c.Upstream
	}
	var chosenIDs []model.UpstreamID
	for range 4 {
		chosenIDs = append(chosenIDs, place().ID)
	}
	assert.Equal(t, []model.UpstreamID{"s-1", "s-2", "s-1", "s-2"}, chosenIDs)

	policyName = "no-such-policy"
	up := place()
	r.Done(up, routing.Reply{})
	assert.Equal(t, int64(1), scope.Snapshot().Counters()["picks+service=s"].Value(), "the counts of the new router start at zero")
}
