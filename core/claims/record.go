package claims

import "github.com/dottereltiller/dottereltiller/core/model"

// Owner is one incarnation of a daemon.
type Owner struct {
	Daemon model.DaemonID
	// Incarnation distinguishes the incarnations of one daemon. It is chosen at
	// random when the process starts and is never zero.
	Incarnation uint64
}

// Extension is the part of a Grant that concerns one range. It requests the
// timestamps of the range from the frontier, which is the end of the range's last
// interval, up to, but not including, the Grant's Until.
type Extension struct {
	Range Range
	// Base is the frontier of the range as known to the requester.
	Base Stamp
}

// Grant requests the timestamps of its Extensions for an owner. An extension whose
// Base is not the current frontier of its range is ignored. The other extensions of
// the Grant still apply.
type Grant struct {
	Owner      Owner
	Until      Stamp
	Extensions []Extension
}

// Transfer assigns all intervals of a sealed owner to the successor that has
// imported the owner's claims.
type Transfer struct {
	// From is the incarnation of the sealed owner.
	From uint64
	To   Owner
}

// Checkpoint is the complete state of a Ledger that has applied all records below
// Offset.
type Checkpoint struct {
	Offset uint64
	Ranges []RangeState
}

// RangeState is the state of one range.
type RangeState struct {
	// Frontier is the end of the last interval.
	Frontier Stamp
	// Intervals are the last intervals of the range, at most maxIntervals, in
	// ascending order.
	Intervals []Interval
}

// Interval is a sequence of consecutive timestamps of one range that have the same
// owner.
type Interval struct {
	// From is the first timestamp of the interval.
	From Stamp
	// Until is the first timestamp after the interval.
	Until Stamp
	Owner Owner
	// PriorOwners are the incarnations that owned the interval before, the oldest
	// first. The owner may use the interval only if it has the claims of all of
	// these incarnations.
	PriorOwners []uint64
}

// Record is a Grant, a Transfer or a Checkpoint. Exactly one field is set.
type Record struct {
	Grant      *Grant
	Transfer   *Transfer
	Checkpoint *Checkpoint
}
