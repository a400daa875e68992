// Package claims decides which daemon may run a non-idempotent request that has
// an idempotency key, and stores which keys have been run.
//
// A key is a UUIDv7, so it contains a fixed timestamp. The hash of the key
// determines its Range. For each Range, the order of Grant records on the
// platform's log divides the timestamps into intervals, each with exactly one
// owner. A Grant extends a Range from its frontier, which is the end of the last
// interval. The extension is accepted only if the Grant names the current
// frontier. If two daemons request the same Range, the daemon whose Grant is first
// on the log gets it. All daemons that apply the log agree on the owner.
//
// An owner is one incarnation of a daemon, that is, one run of its process. Each
// daemon builds a Ledger from the log. For each key that an owner accepts, it stores a
// claim: the record that the key was used, and the outcome of its request. An owner
// accepts a key only if its Ledger shows that it owns the interval that contains the
// key's timestamp. This check reads no clock, so a pause, a delayed packet or a lost
// reply cannot lead to two owners that accept the same key.
//
// An interval is never taken away from its owner. Only the owner can pass the
// interval on: it seals its Table, hands its claims over to a successor and appends
// a Transfer to the log. If the owner's process ends without such a handover, the
// outcome of the keys in its intervals is unknown.
//
// The Ledger applies the log, the Planner decides when to append a Grant, and the
// Table holds the claims of one owner. This package does no I/O, starts no
// goroutines and reads no clock.
package claims
