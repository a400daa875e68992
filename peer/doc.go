// Package peer exchanges control messages between daemons over connect-go. The
// messages are anti-entropy rounds, load queries, liveness pings, and the
// handover of idempotency keys by an owner that is draining.
//
// Rounds replicate state that is split into topics. A Topic summarizes its state
// in a digest. From the digest of another daemon it computes a delta: the part of
// the state that the other daemon lacks. It also applies deltas from other
// daemons. The exchange treats digests and deltas as opaque bytes.
//
// An Exchanger runs a round at every interval with a few random neighbours, one
// of them in its own availability zone and the others in other zones.
// Neighbours are a stable subset of the peers, so that connections are reused.
//
// A round is push-pull: it sends deltas both ways. The request carries the digests
// of the requester. The response carries the digests of the responder and the
// deltas that the requester lacks. If the responder lacks deltas too, a second
// request carries them.
//
// A daemon starts an extra round at once, called a triggered round, in two
// cases: a round has changed one of its digests, or TriggerRound was called.
// Updates therefore spread like an epidemic. A rate limiter bounds the triggered
// rounds, and a token bucket bounds the bytes of all rounds together.
package peer
