package demo

import (
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/load"
	"github.com/dottereltiller/dottereltiller/local"
)

// sources are the request streams of the groups of callers. The group named searches needs more
// slots than service sporarkiv has: 2,000 requests a second of 20 ms need 40 slots, and the service
// has 36. The searches must not slow down the requests of the group named members to the same
// service.
var sources = []load.Source{
	{
		Service: "returdesk", Group: "sorters", Caller: "sorting-bench", Token: "demo-sorters",
		Path: "/parcels/1", Rate: 600, Cost: policy.Duration(2 * time.Millisecond), Verify: true,
	},
	{
		Service: "returdesk", Group: "sorters", Caller: "sorting-bench", Token: "demo-sorters",
		Method: http.MethodPost, Path: "/release/1", Rate: 100, Cost: policy.Duration(3 * time.Millisecond), Verify: true,
	},
	{
		Service: "returdesk", Group: "checks", Caller: "internal-check",
		Path: "/check", Rate: 100, Cost: policy.Duration(time.Millisecond), Verify: true,
	},
	{
		Service: "sporarkiv", Group: "members", Caller: "member-portal", Token: "demo-members",
		Path: "/returns/1", Rate: 400, Cost: policy.Duration(3 * time.Millisecond), Verify: true,
	},
	{
		Service: "sporarkiv", Group: "searches", Caller: "archive-search", Token: "demo-searches",
		Path: "/search", Rate: 2000, Cost: policy.Duration(20 * time.Millisecond), BodyBytes: 200, Verify: true,
	},
}

// maxInFlight is the maximum number of requests of all sources together that are in flight (sent
// and not yet answered).
const maxInFlight = 4096

// loadPlan returns the plan of a load of duration d, with all daemons of a deployment as targets.
func loadPlan(deployment *local.Deployment, d time.Duration) (load.Plan, error) {
	p := load.Plan{Duration: policy.Duration(d), Seed: 1, MaxInFlight: maxInFlight, Sources: sources}
	for _, n := range deployment.Nodes {
		p.Targets = append(p.Targets, load.Target{
			Address: n.Daemon.CallerAddress(),
			Zone:    n.Daemon.Status().Zone,
		})
	}
	return p, p.Check()
}
