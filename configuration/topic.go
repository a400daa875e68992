package configuration

// TopicName is the name of the topic by which daemons relay configuration
// records.
const TopicName = "config"

// Topic relays applied records to peers. It implements peer.Topic.
type Topic struct{ store *Store }

// Topic returns the peer.Topic of the Store.
func (s *Store) Topic() Topic { return Topic{store: s} }

// Name implements peer.Topic.
func (t Topic) Name() string { return TopicName }

// Digest implements peer.Topic. It returns a summary of the state that Delta of a peer
// compares with the peer's own state.
func (t Topic) Digest() []byte {
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	return t.store.machine.Digest()
}

// Delta implements peer.Topic. It returns what the peer with the given digest lacks, in
// at most limit bytes. If the digest shows that the peer has another state after the
// same records, Delta records the conflict and returns nil.
func (t Topic) Delta(digest []byte, limit int) []byte {
	s := t.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.machine.Conflicts(digest) {
		s.recordConflict()
		return nil
	}
	return s.machine.Delta(digest, limit)
}

// Apply implements peer.Topic. It applies the records or the part of a checkpoint in a
// delta, and puts the new state in force. It returns an error if the delta is malformed
// or completes a checkpoint that cannot be applied.
func (t Topic) Apply(delta []byte) error {
	s := t.store
	s.mu.Lock()
	results, err := s.machine.ApplyDelta(delta)
	for _, r := range results {
		s.recordDecision(r)
	}
	s.mu.Unlock()
	if err != nil {
		return err
	}
	s.putInForce()
	return nil
}

// recordConflict records that a peer has another state although it applied the
// same records. s.mu is held.
func (s *Store) recordConflict() {
	s.metrics.conflicts.Inc(1)
	if !s.status.Conflict {
		s.status.Conflict = true
		s.opts.Logger.Error("a peer that applied the same records has another configuration")
	}
}
