// Package member maintains the membership view: which upstreams exist and which
// daemons are alive.
//
// Joins, leaves and new incarnations of upstreams reach a Directory as Events,
// from the platform's log or from peers, in any order and any number of times.
// For each upstream the Directory keeps the event with the highest precedence:
// first by incarnation, then by epoch, then by state, where left precedes
// draining and draining precedes joined. Daemons that have received the same
// events therefore hold the same view.
//
// The liveness of daemons is separate from membership and is never written to
// the log. It follows SWIM: for each daemon the Directory keeps the Liveness with
// the highest precedence, first by incarnation number, then by health, where
// dead precedes suspect and suspect precedes alive. A daemon that learns that
// others consider it suspect or dead refutes this claim by increasing its
// incarnation number. The view omits the upstreams of dead daemons. However, if
// more than half of a service's upstreams belong to dead daemons, the view omits
// none of them. The observer is then more likely at fault than all those daemons.
//
// For anti-entropy, records are distributed over buckets by the hash of their
// id. A digest consists of the hashes of all buckets. A daemon sends a peer the
// records of the buckets in which their digests differ, the newest first. If not all
// of these records fit into one message, Directory.Delta selects some of them.
package member
