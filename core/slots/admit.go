package slots

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/placement"
)

const (
	// worseFactor and worseBy are how much later than elsewhere a request must be
	// expected to end before it is given back: the way back costs a round trip
	// and the figures from elsewhere are older.
	slowerFactor = 1.25
	slowerMargin = 10 * time.Millisecond
	// usefulShare is the share of its time that a request may take where its
	// target is out of reach: past that its caller does better to come back. One
	// that comes before the last rank, such as a nested call whose parent fails
	// without it, may take urgentShare: refused, it wastes the run of its parent.
	// On a mesh whose nested calls were short of room, with parents of 60 ms and
	// calls of 15 ms, that earned a tenth more of what the requests were worth.
	usefulShare       = 0.5
	urgentUsefulShare = 0.85
)

// Arrival is a request that comes to an upstream.
type Arrival struct {
	Rank int
	Kind Kind
	// Urgent tells that its rank comes before the last one.
	Urgent bool
	// Work is the time it usually runs where nothing slows it.
	Work time.Duration
	// Within is what is left until its target, zero where it has none, Deadline
	// what is left until its deadline.
	Within   time.Duration
	Deadline time.Duration
	// Alternative is the time until it would end at another upstream. Zero means
	// that it cannot go elsewhere.
	Alternative time.Duration
}

// Speed is how fast the upstream works now.
type Speed struct {
	// Slow is how long work takes, 1 being as usual, Failing the share of requests
	// that fail.
	Slow    float64
	Failing float64
}

// Admission is what becomes of an arrival.
type Admission uint8

// The admissions.
const (
	// Admitted means that it may wait and run.
	Admitted Admission = iota
	// SlowerHere means that it would end sooner elsewhere.
	SlowerHere
	// Full means that it would end too late to be worth its wait.
	Full
)

// Admit decides whether an arrival may wait. It returns the item to add if so, and
// the time until it is expected to end.
func (q *Queue) Admit(now model.Instant, a Arrival, s Speed) (Item, Admission, time.Duration) {
	expected := placement.Expected(a.Work, s.Slow, q.Ahead(a.Rank, a.Kind), q.limit, s.Failing)
	if a.Alternative > 0 && expected > time.Duration(slowerFactor*float64(a.Alternative))+slowerMargin {
		return Item{}, SlowerHere, expected
	}
	share := usefulShare
	if a.Urgent {
		share = urgentUsefulShare
	}
	usefulTime := max(a.Within, time.Duration(share*float64(a.Deadline)))
	if q.running >= q.limit && expected > usefulTime {
		return Item{}, Full, expected
	}
	i := Item{Rank: a.Rank, Kind: a.Kind, Work: a.Work, Arrived: now, Deadline: now.Add(a.Deadline), UsefulUntil: now.Add(usefulTime)}
	if a.Within != 0 {
		i.Target = now.Add(a.Within)
	}
	if a.Alternative > 0 {
		i.WaitUntil = now.Add(a.Alternative/2 + slowerMargin)
	}
	return i, Admitted, expected
}
