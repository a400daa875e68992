// Package quarantine keeps a daemon's table of requests that crash upstreams
// and exchanges it with the other daemons.
//
// Package core/quarantine decides which requests are quarantined. A Store adds
// locking, the wall clock, counters and the implementation of peer.Topic. By
// this topic a record reaches every daemon within a few exchange rounds.
// Daemons that communicate by datagrams use Gossip instead. It pushes changed
// records. It finds the remaining differences by anti-entropy, a periodic
// comparison of two daemons' tables.
package quarantine
