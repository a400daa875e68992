// Package peer exchanges control messages between daemons over connect-go:
// anti-entropy rounds, load queries, liveness pings and the handover of a
// draining key owner.
//
// The state that rounds replicate is split into topics. A Topic summarizes its
// state in a digest, computes the delta that the sender of another digest
// lacks, and applies such deltas. The exchange treats digests and deltas as
// opaque bytes.
//
// An Exchanger runs a round at every interval with a few random neighbours, one
// of them in its own availability zone and the others in other zones.
// Neighbours are a stable subset of the peers, so that connections are reused.
// A round is push-pull: the request carries the digests of the requester; the
// response carries the digests of the responder and the deltas that the
// requester lacks; a second request carries the deltas that the responder
// lacks.
//
// A daemon starts an extra round at once when a round changes one of its
// digests, or when TriggerRound is called, so that updates spread like an
// epidemic. A rate limiter bounds these extra rounds, and a token bucket bounds
// the bytes of all rounds together.
package peer
