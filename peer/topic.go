package peer

// Topic is one kind of state that daemons replicate to each other. Its methods
// are called concurrently.
type Topic interface {
	// Name identifies the topic in messages. It must never change.
	Name() string
	// Digest summarizes the state of this daemon in a few bytes.
	Digest() []byte
	// Delta returns what the sender of the digest lacks, in at most limit bytes.
	// It returns nil if the sender lacks nothing. What exceeds the limit is sent
	// in a later round.
	Delta(digest []byte, limit int) []byte
	// Apply merges a delta into the state. Deltas may arrive late, repeatedly
	// and in any order. A malformed delta is rejected with an error and changes
	// nothing.
	Apply(delta []byte) error
}
