package membership

import "github.com/dottereltiller/dottereltiller/core/member"

// TopicName is the name of the topic through which daemons relay membership.
const TopicName = "membership"

// Topic relays membership events and liveness to peers. It implements
// peer.Topic.
type Topic struct{ registry *Registry }

// Topic returns the peer.Topic of the Registry.
func (r *Registry) Topic() Topic { return Topic{registry: r} }

// Name implements peer.Topic.
func (t Topic) Name() string { return TopicName }

// Digest implements peer.Topic. It returns hashes of all events and liveness records,
// which Delta of a peer compares with the peer's own.
func (t Topic) Digest() []byte {
	t.registry.mu.RLock()
	defer t.registry.mu.RUnlock()
	return t.registry.directory.Digest()
}

// Delta implements peer.Topic. It returns events and liveness records, in at most limit
// bytes, that the peer with the given digest may lack.
func (t Topic) Delta(digest []byte, limit int) []byte {
	t.registry.mu.Lock()
	defer t.registry.mu.Unlock()
	return t.registry.directory.Delta(digest, limit)
}

// Apply implements peer.Topic. If the delta cannot be decoded, it returns an error and
// changes nothing.
func (t Topic) Apply(delta []byte) error {
	records, err := member.Decode(delta)
	if err != nil {
		return err
	}
	t.registry.mu.Lock()
	defer t.registry.mu.Unlock()
	t.registry.directory.ApplyAll(records)
	return nil
}
