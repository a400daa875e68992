package placement

import "time"

// The figures by which entries and guards use a Placer. Package sidecar goes by them,
// and so does the model of package replay.
const (
	// AskNear and AskFar are how many guards of the own zone, and of others where
	// that does not do, are asked for their loads before a request is sent.
	AskNear = 4
	AskFar  = 3
	// AskAge is how old the knowledge of a load may be to do without asking.
	AskAge = 15 * time.Millisecond
	// FreshFor is how old a guard's figure of slowness may be when a call is taken
	// that could go elsewhere. Shared VMs change their speed every few hundred
	// milliseconds, so an older figure is wrong one time in four.
	FreshFor = 80 * time.Millisecond
	// MaxGivenBack is how often a request may be given back before a guard must
	// keep it: each time costs a round trip.
	MaxGivenBack = 2
	// MaxFull is how many guards without room make a request be refused, whatever is
	// expected of others.
	MaxFull = 2
	// surelyFull is the age from which knowledge refuses no request: older, and nobody
	// would learn that there is room again.
	maxRefusalAge = 30 * time.Millisecond
)
