// Package quarantine keeps a daemon's table of requests that are suspected of
// crashing upstreams, and exchanges the records of the table with the other daemons.
// A quarantined request is refused by all daemons for a limited time.
//
// Package core/quarantine decides which requests are quarantined. A Store adds
// locking, the wall clock, counters and the implementation of peer.Topic. Through
// the peer.Topic a record reaches every daemon within a few exchange rounds.
// Daemons that communicate by datagrams use Gossip instead. Gossip pushes records
// that have changed to some daemons. Differences that remain are found by
// anti-entropy, a periodic comparison of two daemons' tables.
package quarantine
