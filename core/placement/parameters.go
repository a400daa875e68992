package placement

import "time"

// Parameters for the users of a Placer: the entries and guards of package sidecar, and
// their simulation in package replay.
const (
	// MaxLocalQueries is how many guards of the local zone are sent a load query before a
	// request is sent.
	MaxLocalQueries = 4
	// MaxRemoteQueries is how many guards of other zones are sent a load query before a
	// request is sent. They are only queried if no upstream of the local zone is expected
	// to meet the target well (see Placer.LocalMeetsTarget).
	MaxRemoteQueries = 3
	// MaxLoadAge is the age up to which a known load is used without a load query.
	MaxLoadAge = 15 * time.Millisecond
	// MaxSlowdownAge is the age from which a measured slowdown of an upstream is out of date. A
	// guard then measures the slowdown anew before it responds to a load query. The guard also
	// measures it anew before it accepts a request that could go to another upstream instead.
	// Shared VMs change their speed every few hundred milliseconds, so an older slowdown is
	// wrong one time in four.
	MaxSlowdownAge = 80 * time.Millisecond
	// MaxRejections is how often guards may reject a request before the next guard must
	// accept it. Each rejection costs a round trip.
	MaxRejections = 2
	// MaxFullGuards is the number of rejections for lack of capacity after which a
	// request is refused. No further guard is tried, even if one is expected to accept
	// the request.
	MaxFullGuards = 2
	// maxRefusalAge is the largest age of a load that may cause a request to be refused without
	// being sent to a guard (see Choice.MissesDeadline). If older loads could cause refusals,
	// the entry would not notice when an upstream has capacity again.
	maxRefusalAge = 30 * time.Millisecond
)
