package sidecar

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/pause"
)

// syncLoop pushes the local record to a peer, with retries, until the peer has the current local
// record or is given up. It pushes the record by datagram first. If no datagram is acknowledged, it
// exchanges records over a connection. If the peer is to be asked for all of its records, syncLoop
// uses a connection at once.
func (p *peers) syncLoop(q *peer) {
	backoff := pause.Backoff{Min: minSyncBackoff, Max: maxSyncBackoff}
	for {
		p.mu.Lock()
		if !q.pushDue || p.ctx.Err() != nil || p.others[q.record.Address] != q {
			q.syncing = false
			p.mu.Unlock()
			return
		}
		q.pushDue = false
		message := syncMessage{From: p.local, WantAll: q.needsFullSync}
		pool, address := q.pool, q.record.Address
		p.mu.Unlock()
		sentAt := p.now()
		if !message.WantAll && p.pushByDatagram(address, message.From) {
			p.recordPushAck(q)
			backoff.Reset()
			continue
		}
		message.Version, message.Evacuations = p.configVersion(), p.evacuations.message()
		reply, err := sendSync(p.ctx, pool, message)
		if err == nil {
			p.recordContact(address, sentAt)
			p.recordExchange(q, address, reply)
			backoff.Reset()
			continue
		}
		retry, maxBackoff := p.recordFailedExchange(q, err)
		if !retry {
			return
		}
		backoff.Max = maxBackoff
		// Wait fails only when the context ends, which the loop checks itself.
		_ = backoff.Wait(p.ctx)
	}
}

// recordPushAck marks a peer as reachable after the peer acknowledged a push.
func (p *peers) recordPushAck(q *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markReachable(q)
}

// recordExchange marks a peer as reachable after an exchange over a connection, merges the records
// of the reply and passes on the configuration version in it. If the exchange was a request for
// all records, that request is no longer due.
func (p *peers) recordExchange(q *peer, address string, reply syncMessage) {
	p.mu.Lock()
	p.markReachable(q)
	fullSync := q.needsFullSync
	q.needsFullSync = false
	p.mu.Unlock()
	if fullSync {
		p.onFullSync(address)
	}
	p.merge(append([]Record{reply.From}, reply.Records...))
	if fullSync {
		p.updateListed(q, reply.Listed)
	}
	p.evacuations.receiveMessage(reply.Evacuations, address)
	p.onVersion(address, reply.Version)
	p.firstContactOnce.Do(func() { close(p.firstContact) })
}

// recordFailedExchange marks a peer as unreachable after a failed exchange. If the peer was to be
// asked for all records, another peer is chosen for that. It returns whether to retry, and the
// longest pause before the retry. Two kinds of peers are removed instead: a stopping peer whose
// upstream is gone, and a peer that has been unreachable for removalDelay.
func (p *peers) recordFailedExchange(q *peer, err error) (retry bool, maxBackoff time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q.pushDue = true
	if !q.unreachable {
		p.markUnreachable(q, err)
	}
	if q.needsFullSync {
		p.replaceBootstrapPeer(q)
	}
	gone := q.record.Stopping && q.record.State == lifecycle.Gone
	unreachableFor := p.now().Sub(q.unreachableSince)
	switch {
	case gone || unreachableFor >= removalDelay:
		delete(p.others, q.record.Address)
		q.pool.Close()
		q.syncing = false
		return false, 0
	case unreachableFor >= fastRetryPeriod:
		return true, unreachableSyncBackoff
	default:
		return true, maxSyncBackoff
	}
}
