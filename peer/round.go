package peer

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/dottereltiller/dottereltiller/proto/dottereltiller/peer/v1"
)

const (
	// messageOverhead is what one message costs besides its topics, in bytes:
	// the heads of the request and of the response.
	messageOverhead = 430
	// firstPeerWait is how long the first peer of a round has to answer before the
	// others are asked.
	firstPeerWait = 50 * time.Millisecond
	// minDeltaBytes is what one topic's delta may take when the bytes are used up, so
	// that the newest records still get through.
	minDeltaBytes = 1 << 10
	// maxTopicsPerMessage bounds the topics read from one message.
	maxTopicsPerMessage = 32
)

// Round runs one round with up to n peers and waits for it. The first peer goes
// ahead of the others, which go at the same time: what it gives need not come
// from each of them. When the bytes are used up only the first is taken.
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
	first := make(chan struct{})
	wg.Go(func() {
		defer close(first)
		e.exchange(ctx, peers[0])
	})
	e.awaitFirst(ctx, first)
	for _, p := range peers[1:] {
		wg.Go(func() { e.exchange(ctx, p) })
	}
	wg.Wait()
}

// awaitFirst waits until the first peer has answered, but not long.
func (e *Exchanger) awaitFirst(ctx context.Context, first <-chan struct{}) {
	timer := time.NewTimer(firstPeerWait)
	defer timer.Stop()
	select {
	case <-first:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// exchange runs one push-pull round with a peer.
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

func (e *Exchanger) recordFailure(p Peer, err error) {
	e.metrics.roundsFailed.Inc(1)
	e.opts.OnResult(p, err)
}

func (e *Exchanger) sendTopics(ctx context.Context, p Peer, topics []*peerv1.TopicMessage) (*peerv1.ExchangeResponse, error) {
	req := &peerv1.ExchangeRequest{From: string(e.opts.Self), Zone: string(e.opts.Zone), Topics: topics}
	resp, err := e.opts.Transport.Exchange(ctx, p.ID, req)
	e.chargeBytes(topicBytes(topics) + topicBytes(resp.GetTopics()) + messageOverhead)
	return resp, err
}

// Handle answers a peer's message.
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

func hasDigest(topics []*peerv1.TopicMessage) bool {
	for _, t := range topics {
		if t.Digest != nil {
			return true
		}
	}
	return false
}

// digests returns a message for every topic with this daemon's digest.
func (e *Exchanger) digests() []*peerv1.TopicMessage {
	var messages []*peerv1.TopicMessage
	for _, t := range e.allTopics() {
		messages = append(messages, &peerv1.TopicMessage{Topic: t.Name(), Digest: nonNil(t.Digest())})
	}
	return messages
}

func nonNil(b []byte) []byte {
	if b == nil {
		return []byte{}
	}
	return b
}

// deltas returns what the holders of the digests lack, within the budget.
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

// apply takes in deltas. When it learns something, the news is passed on.
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
			e.opts.Logger.Debug("delta refused", "topic", topic.Name(), "error", err)
			continue
		}
		e.metrics.deltasApplied.Inc(1)
		changed = changed || before != string(topic.Digest())
	}
	if changed {
		e.TriggerRound()
	}
}

func (e *Exchanger) allTopics() []Topic {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Topic, 0, len(e.topicNames))
	for _, n := range e.topicNames {
		out = append(out, e.topics[n])
	}
	return out
}

func (e *Exchanger) topic(name string) Topic {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.topics[name]
}

func (e *Exchanger) recordRound() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastRound = time.Now()
}

// chargeBytes takes bytes out of the bucket, which may leave it in debt.
func (e *Exchanger) chargeBytes(n int) {
	e.metrics.bytes.Inc(int64(n))
	e.totalBytes.Add(int64(n))
	e.byteBudget.ReserveN(time.Now(), min(n, e.opts.BurstBytes))
}

func limitTopics(topics []*peerv1.TopicMessage) []*peerv1.TopicMessage {
	return topics[:min(len(topics), maxTopicsPerMessage)]
}

// mergeDeltas adds the deltas to the messages of the same topics.
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

func topicBytes(topics []*peerv1.TopicMessage) int {
	const perTopic = 8
	n := 0
	for _, t := range topics {
		n += len(t.Topic) + len(t.Digest) + len(t.Delta) + perTopic
	}
	return n
}
