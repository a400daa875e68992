package claims

import "github.com/dottereltiller/dottereltiller/core/model"

// Owner is one life of a daemon.
type Owner struct {
	Daemon model.DaemonID
	// Life tells the lives of one daemon apart. It is drawn at random at the
	// start of each life and is never zero.
	Life uint64
}

// Extension asks to extend one range from its frontier.
type Extension struct {
	Range Range
	// Base is the frontier that the extension starts from.
	Base Stamp
}

// Grant asks that an owner gets the stamps from each range's frontier up to,
// not including, Until. Extensions whose Base is not the frontier are refused,
// each by itself.
type Grant struct {
	Owner      Owner
	Until      Stamp
	Extensions []Extension
}

// Transfer hands on every interval of a sealed owner to the successor that
// holds its claims.
type Transfer struct {
	From uint64
	To   Owner
}

// Checkpoint is the whole state of a Ledger before the record at offset At.
type Checkpoint struct {
	Offset uint64
	Ranges []RangeState
}

// RangeState is the state of one range.
type RangeState struct {
	// Frontier is the end of the last interval.
	Frontier Stamp
	// Intervals are the kept intervals by rising stamps.
	Intervals []Interval
}

// Interval is a run of stamps that one owner holds.
type Interval struct {
	// From is the first stamp, Until the first one after the interval.
	From  Stamp
	Until Stamp
	Owner Owner
	// Via lists the lives that held the interval before, oldest first. The
	// owner may use the interval only with the claims of them all.
	PriorOwners []uint64
}

// Record is a Grant, a Transfer or a Checkpoint. Exactly one is set.
type Record struct {
	Grant      *Grant
	Transfer   *Transfer
	Checkpoint *Checkpoint
}
