// Package gossip decides to which daemons an update is sent, and how often daemons
// compare their states.
//
// # Concept
//
// Updates are pushed (rumor mongering): a daemon that receives a new update sends the update to
// a few daemons of its own availability zone. With a small probability, it also sends the
// update to a daemon of another zone. The daemon where the update originates sends it to one
// daemon of each zone. The traffic between zones therefore grows with the number of zones and
// hardly with the number of daemons. Daemons that a push has missed get the update by
// anti-entropy: a daemon compares digests (short summaries) of the state with one other daemon
// at a time. After several comparisons without a difference, the daemon compares digests less
// often.
//
// Both algorithms are described in Demers et al., Epidemic Algorithms for Replicated
// Database Maintenance, PODC 1987.
package gossip
