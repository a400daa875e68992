package sidecar

import (
	"errors"
	"log/slog"
	"time"

	"github.com/dottereltiller/dottereltiller/decision"
)

// verifyEvery is the least time between two looks at a daemon that was silent to a
// question.
const verifyInterval = time.Second

// errStopped is why a daemon that has stopped as planned is looked for.
var errStopped = errors.New("stopped as planned")

// longestLost returns how long the longest lost peer has been out of reach.
func (p *peers) longestLost() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var longest time.Duration
	for _, q := range p.all {
		if q.lost {
			longest = max(longest, p.now().Sub(q.lostAt))
		}
	}
	return longest
}

// missed takes in that a call could not be sent to a daemon, and has it looked
// for.
func (p *peers) missed(address string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.all[address]
	if q == nil || q.lost {
		return
	}
	p.lose(q, err)
	p.owe(q)
}

// verify looks at a daemon that was silent to a question: one datagram may have
// been lost, or the daemon.
func (p *peers) verifyReachable(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.all[address]
	if q == nil || q.lost || q.verified != 0 && p.now().Sub(q.verified) < verifyInterval {
		return
	}
	q.verified = p.now()
	p.owe(q)
}

// lose notes that a peer cannot be reached. p.mu is held.
func (p *peers) lose(q *peer, err error) {
	q.lost, q.lostAt = true, p.now()
	p.generation++
	p.decisions.Write(decision.PeerLost, "", slog.String("peer", q.record.Address), slog.String("error", err.Error()))
}

// regain notes that a peer can be reached. p.mu is held.
func (p *peers) regain(q *peer) {
	if !q.lost {
		return
	}
	q.lost = false
	p.generation++
	p.regained()
	p.decisions.Write(decision.PeerRegained, "", slog.String("peer", q.record.Address))
}
