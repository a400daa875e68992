package peer

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/dottereltiller/dottereltiller/proto/dottereltiller/peer/v1"
)

const (
	// messageOverhead is the cost of one message besides its topics, in bytes:
	// the HTTP headers of its request and response.
	messageOverhead = 430
	// firstPeerWait is how long a round waits for the first peer to respond
	// before it starts with the others.
	firstPeerWait = 50 * time.Millisecond
	// minDeltaBytes is the size that a delta may always have, even when the
	// byte budget is exhausted, so that the newest records are still sent.
	minDeltaBytes = 1 << 10
	// maxTopicsPerMessage limits the topics read from one message.
	maxTopicsPerMessage = 32
)

// Round runs one round with the peers that choosePeers chooses, up to n neighbours
// among them, and waits until the round has ended. It starts with the first peer,
// waits up to firstPeerWait, and then starts with the others in parallel. The
// others need not send again what the first peer has sent by then. If the byte
// budget is exhausted, the number of neighbours is limited to one.
func (e *Exchanger) Round(ctx context.Context, n int) {
	if e.byteBudget.Tokens() <= 0 {
		e.metrics.roundsLimited.Inc(1)
		n = 1
	}
	peers := e.choosePeers(n)
	if len(peers) == 0 {
		return
	}
	var wg sync.WaitGroup
	firstDone := make(chan struct{})
	wg.Go(func() {
		defer close(firstDone)
		e.exchange(ctx, peers[0])
	})
	e.awaitFirstPeer(ctx, firstDone)
	for _, p := range peers[1:] {
		wg.Go(func() { e.exchange(ctx, p) })
	}
	wg.Wait()
}

// awaitFirstPeer waits until the exchange with the first peer has ended, at most
// for firstPeerWait.
func (e *Exchanger) awaitFirstPeer(ctx context.Context, firstDone <-chan struct{}) {
	timer := time.NewTimer(firstPeerWait)
	defer timer.Stop()
	select {
	case <-firstDone:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// exchange runs one round with a peer: it gets the deltas that this daemon lacks
// and sends those that the peer lacks.
func (e *Exchanger) exchange(ctx context.Context, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, e.opts.Timeout)
	defer cancel()
	resp, err := e.sendTopics(ctx, p, e.digests())
	if err != nil {
		e.recordFailure(p, err)
		return
	}
	push := e.deltas(resp.GetTopics())
	e.apply(resp.GetTopics())
	if len(push) > 0 {
		_, err = e.sendTopics(ctx, p, push)
	}
	if err != nil {
		e.recordFailure(p, err)
		return
	}
	e.metrics.rounds.Inc(1)
	e.recordRound()
	e.opts.OnResult(p, nil)
}

// recordFailure counts and reports a failed round with a peer.
func (e *Exchanger) recordFailure(p Peer, err error) {
	e.metrics.roundsFailed.Inc(1)
	e.opts.OnResult(p, err)
}

// sendTopics sends one message to a peer. It charges the bytes of the message and
// of its response.
func (e *Exchanger) sendTopics(ctx context.Context, p Peer, topics []*peerv1.TopicMessage) (*peerv1.ExchangeResponse, error) {
	req := &peerv1.ExchangeRequest{From: string(e.opts.Self), Zone: string(e.opts.Zone), Topics: topics}
	resp, err := e.opts.Transport.Exchange(ctx, p.ID, req)
	e.chargeBytes(topicBytes(topics) + topicBytes(resp.GetTopics()) + messageOverhead)
	return resp, err
}

// Handle applies the deltas of a peer's message and returns the response. If the
// message carries digests, the response carries the digests of this daemon and
// the deltas that the peer lacks; otherwise the response is empty.
func (e *Exchanger) Handle(req *peerv1.ExchangeRequest) *peerv1.ExchangeResponse {
	e.apply(req.GetTopics())
	resp := &peerv1.ExchangeResponse{}
	if hasDigest(req.GetTopics()) {
		resp.Topics = mergeDeltas(e.digests(), e.deltas(req.GetTopics()))
	}
	e.chargeBytes(topicBytes(req.GetTopics()) + topicBytes(resp.Topics) + messageOverhead)
	e.recordRound()
	return resp
}

// hasDigest reports whether a message carries at least one digest.
func hasDigest(topics []*peerv1.TopicMessage) bool {
	for _, t := range topics {
		if t.Digest != nil {
			return true
		}
	}
	return false
}

// digests returns a message with the digest of each topic.
func (e *Exchanger) digests() []*peerv1.TopicMessage {
	var messages []*peerv1.TopicMessage
	for _, t := range e.allTopics() {
		messages = append(messages, &peerv1.TopicMessage{Topic: t.Name(), Digest: nonNil(t.Digest())})
	}
	return messages
}

// nonNil replaces nil by an empty slice, because a nil digest means that the
// message has no digest.
func nonNil(b []byte) []byte {
	if b == nil {
		return []byte{}
	}
	return b
}

// deltas returns the deltas that a peer with the given digests lacks. Each delta
// is limited to MaxDeltaBytes and to the rest of the byte budget, but may always
// have minDeltaBytes. Topics that this daemon does not know are skipped.
func (e *Exchanger) deltas(digests []*peerv1.TopicMessage) []*peerv1.TopicMessage {
	var messages []*peerv1.TopicMessage
	for _, m := range limitTopics(digests) {
		topic := e.topic(m.GetTopic())
		if topic == nil {
			continue
		}
		limit := min(e.opts.MaxDeltaBytes, int(e.byteBudget.Tokens()))
		if limit < minDeltaBytes {
			e.metrics.deltasLimited.Inc(1)
			limit = minDeltaBytes
		}
		if delta := topic.Delta(m.GetDigest(), limit); len(delta) > 0 {
			messages = append(messages, &peerv1.TopicMessage{Topic: topic.Name(), Delta: delta})
		}
	}
	return messages
}

// apply applies a peer's deltas. It skips unknown topics, and counts and logs the
// deltas that a topic rejects. If a delta changes the digest of its topic, apply
// triggers a round, which forwards the update.
func (e *Exchanger) apply(messages []*peerv1.TopicMessage) {
	changed := false
	for _, m := range limitTopics(messages) {
		topic := e.topic(m.GetTopic())
		if topic == nil || len(m.GetDelta()) == 0 {
			continue
		}
		before := string(topic.Digest())
		if err := topic.Apply(m.GetDelta()); err != nil {
			e.metrics.deltasRejected.Inc(1)
			e.opts.Logger.Debug("delta rejected", "topic", topic.Name(), "error", err)
			continue
		}
		e.metrics.deltasApplied.Inc(1)
		changed = changed || before != string(topic.Digest())
	}
	if changed {
		e.TriggerRound()
	}
}

// allTopics returns the topics in the order of registration.
func (e *Exchanger) allTopics() []Topic {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Topic, 0, len(e.topicNames))
	for _, n := range e.topicNames {
		out = append(out, e.topics[n])
	}
	return out
}

// topic returns the topic with the given name, or nil.
func (e *Exchanger) topic(name string) Topic {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.topics[name]
}

// recordRound stores the time of a successful round.
func (e *Exchanger) recordRound() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastRound = time.Now()
}

// chargeBytes counts n bytes and takes them from the byte budget. The budget may
// become negative.
func (e *Exchanger) chargeBytes(n int) {
	e.metrics.bytes.Inc(int64(n))
	e.totalBytes.Add(int64(n))
	e.byteBudget.ReserveN(time.Now(), min(n, e.opts.BurstBytes))
}

// limitTopics drops the topics beyond maxTopicsPerMessage.
func limitTopics(topics []*peerv1.TopicMessage) []*peerv1.TopicMessage {
	return topics[:min(len(topics), maxTopicsPerMessage)]
}

// mergeDeltas adds each delta to the message of its topic.
func mergeDeltas(messages, deltas []*peerv1.TopicMessage) []*peerv1.TopicMessage {
	for _, d := range deltas {
		for _, m := range messages {
			if m.Topic == d.Topic {
				m.Delta = d.Delta
			}
		}
	}
	return messages
}

// topicBytes returns the approximate size of topics in a message.
func topicBytes(topics []*peerv1.TopicMessage) int {
	const overheadPerTopic = 8
	n := 0
	for _, t := range topics {
		n += len(t.Topic) + len(t.Digest) + len(t.Delta) + overheadPerTopic
	}
	return n
}
