// Package ceiling enforces this daemon's shares of the ceilings in force. A
// ceiling limits the request rate or the concurrency of a group at a service
// over all daemons. The daemons exchange reports of their demand and divide each
// ceiling in proportion to it. A daemon whose demand is new or zero gets a small
// initial share instead, which is also the minimum share of a rate.
//
// Package core/ceiling computes the shares and decides which requests to admit.
// A Store adds locking, clocks, counters and the implementation of peer.Topic.
// The traffic between daemons is bounded: a report takes 28 bytes, is renewed
// only every few seconds while demand is steady, and is relayed only while it is
// recent.
package ceiling
