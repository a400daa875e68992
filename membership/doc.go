// Package membership keeps a daemon's view of all upstreams and daemons up to
// date, from its local upstreams, from its peers and from the log.
//
// An upstream announces itself to the daemon of its VM. If the upstream asks for
// a lease, it has to renew the lease before the lease expires. The daemon's
// Registry relays every event, such as joined or draining, to its peers at once, through
// a peer.Topic. So all daemons know of a draining upstream within seconds, even while
// the log is down. One daemon of each availability zone, called the writer, appends the
// events of its zone to the log in batches. Long before the log drops these records, the
// writer appends the latest events of the zone again. So a new daemon that knows no peer
// can learn all upstreams and daemons from the log.
//
// Failure detection follows SWIM. When an exchange round with a random peer or a call
// of the data path fails, a liveness check of the unreachable daemon starts. The check
// pings that daemon directly, then indirectly: it asks helpers, preferably daemons
// of other availability zones, to ping the daemon. If a helper responds but none
// reaches the daemon, the daemon is suspected. If no helper responds, nobody is
// suspected, because the checking daemon itself is probably cut off.
package membership
