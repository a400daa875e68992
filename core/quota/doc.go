// Package quota decides which requests of a client account are within its quota, over all daemons
// together.
//
// # Concept
//
// The right to let requests pass is divided into one share for each availability zone. In each zone,
// one daemon holds the share of an account in a token bucket: the holder. The daemon that accepts
// a request needs a token for it. It takes tokens from the holder of its zone, a few at a time if it
// has used many of late, and keeps them in a lease for leaseValidity. A holder that has too few
// tokens borrows from the holders of the other zones.
//
// A token leaves one bucket before it enters another, so messages that are lost, late or received
// twice never create tokens. The sum over all buckets bounds what passes, whoever reaches whom.
// Members chooses the holder by rendezvous hashing over the daemons of a zone. A daemon that becomes
// the holder starts with an empty bucket. It may ask the daemon that was the holder before for the tokens
// that are left there.
//
// # Use
//
// A Node is the part of one daemon: it asks on behalf of local requests and grants as a holder. It
// is a state machine: each call returns the messages to send and the verdicts that are due. Package
// github.com/dottereltiller/dottereltiller/quota drives it.
package quota
