package placement

import "time"

// Parameters for the users of a Placer: the entries and guards of package sidecar, and
// their simulation in package replay.
const (
	// MaxLocalQueries is how many guards of the local zone are sent a load query before a
	// request is sent. MaxRemoteQueries is how many guards of other zones are sent one if
	// no upstream of the local zone is expected to meet the target well (see
	// Placer.LocalMeetsTarget).
	MaxLocalQueries  = 4
	MaxRemoteQueries = 3
	// MaxLoadAge is the age up to which a known load is used without a load query.
	MaxLoadAge = 15 * time.Millisecond
	// MaxSlowdownAge is the age from which a guard measures the slowdown of its upstream
	// anew before it accepts a request that could also go to another upstream, or
	// responds to a load query. Shared VMs change their speed every few hundred
	// milliseconds, so an older value is wrong one time in four.
	MaxSlowdownAge = 80 * time.Millisecond
	// MaxRejections is how often guards may reject a request before the next guard must
	// accept it. Each rejection costs a round trip.
	MaxRejections = 2
	// MaxFullGuards is the number of rejections for lack of capacity after which a
	// request is refused, whatever is expected of other guards.
	MaxFullGuards = 2
	// maxRefusalAge is the largest age of a load that may cause a request to be refused
	// without being sent to a guard. If older loads could, the entry would not notice when an
	// upstream has capacity again.
	maxRefusalAge = 30 * time.Millisecond
)
