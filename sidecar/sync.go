package sidecar

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/pause"
)

// sync sends the own record to a peer until the peer has it.
func (p *peers) sync(q *peer) {
	waits := pause.Doubling{Min: minPause, Max: maxPause}
	for {
		p.mu.Lock()
		if !q.due || p.ctx.Err() != nil || p.all[q.record.Address] != q {
			q.syncing = false
			p.mu.Unlock()
			return
		}
		q.due = false
		message := syncMessage{From: p.own, Full: q.full}
		pool, address := q.pool, q.record.Address
		p.mu.Unlock()
		if !message.Full && p.tellByDatagram(address, message.From) {
			p.noted(q)
			waits.Reset()
			continue
		}
		message.Version = p.version()
		reply, err := sendSync(p.ctx, pool, message)
		if err == nil {
			p.synced(q, address, reply)
			waits.Reset()
			continue
		}
		again, most := p.unsynced(q, err)
		if !again {
			return
		}
		waits.Max = most
		// The loop looks at the context itself.
		_ = waits.Wait(p.ctx)
	}
}

// noted takes in that a peer has got the own record.
func (p *peers) noted(q *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.regain(q)
}

func (p *peers) synced(q *peer, address string, reply syncMessage) {
	p.mu.Lock()
	p.regain(q)
	full := q.full
	q.full = false
	p.mu.Unlock()
	if full {
		p.met(address)
	}
	p.merge(append([]Record{reply.From}, reply.Known...))
	p.behind(address, reply.Version)
	p.greetedOnce.Do(func() { close(p.greeted) })
}

// unsynced notes a failed exchange. It reports whether to try again, and how long to
// wait at most before that.
func (p *peers) unsynced(q *peer, err error) (again bool, most time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q.due = true
	if !q.lost {
		p.lose(q, err)
	}
	if q.full {
		p.askAnother(q)
	}
	gone := q.record.Stopping && q.record.State == lifecycle.Gone
	away := p.now().Sub(q.lostAt)
	switch {
	case gone || away >= forgetAfter:
		delete(p.all, q.record.Address)
		q.pool.Close()
		q.syncing = false
		return false, 0
	case away >= lookClosely:
		return true, lookPause
	default:
		return true, maxPause
	}
}
