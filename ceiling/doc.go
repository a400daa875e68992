// Package ceiling enforces this daemon's shares of the ceilings in force. A
// ceiling limits the total rate or concurrency of the requests of one group to
// one service, over all daemons. The daemons exchange reports of their demand and
// divide each ceiling in proportion to the demands. A daemon whose demand is new or
// zero gets a small initial share instead. No daemon's share of a rate is smaller
// than this initial share.
//
// Package core/ceiling computes the shares and decides which requests to admit.
// A Store adds locking, clocks, counters and the implementation of peer.Topic.
// The traffic between daemons is bounded: a report takes 28 bytes, is renewed
// only every few seconds while demand is steady, and is relayed only for a few
// seconds after it was made or received.
package ceiling
