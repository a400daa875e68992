// Package membership keeps a daemon's view of all upstreams and daemons up to
// date, from its local upstreams, from its peers and from the log.
//
// An upstream announces itself to the daemon of its VM. If it asks for a lease,
// it has to renew the lease before it expires. The daemon's Registry relays
// every event to its peers at once, as a peer.Topic, so that all daemons know
// of a draining upstream within seconds, even while the log is down. One daemon
// of each availability zone appends the events of its zone to the log in
// batches, and appends them again well before the retention of the log ends, so
// that a new daemon that knows no peer can learn the members from the log.
//
// Failure detection follows SWIM. It uses the regular exchange rounds with
// random peers and failed calls of the data path as first signs. A daemon that
// does not respond is pinged directly, then indirectly through daemons of other
// availability zones, and only then suspected. A daemon that gets no response
// from any of those helpers suspects nobody, because it is probably cut off
// itself.
package membership
