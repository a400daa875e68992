// Package quarantine keeps a daemon's table of requests that crash upstreams
// and exchanges it with the other daemons.
//
// The decisions are in package core/quarantine. A Store adds locking, the wall
// clock, counters and the implementation of peer.Topic, by which a record
// reaches every daemon within a few exchange rounds. Daemons that communicate
// by datagrams use Gossip instead, which pushes changed records and reconciles
// the rest by anti-entropy.
package quarantine
