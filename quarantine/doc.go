// Package quarantine keeps a daemon's table of requests that kill upstreams and
// hands it on to the other daemons.
//
// The decisions are in package core/quarantine. A Store adds the lock, the wall
// clock, the counters, and the Topic by which the records spread: a record
// reaches every daemon within a few rounds of the exchange. Daemons that speak by
// datagram use a Gossip instead, which pushes what is new and compares the rest.
package quarantine
