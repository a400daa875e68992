package sidecar

import (
	"errors"
	"log/slog"
	"time"

	"github.com/dottereltiller/dottereltiller/decision"
)

// verifyInterval is the shortest time between two checks of a daemon that does not reply
// to load queries.
const verifyInterval = time.Second

// errStopped is why a daemon is considered unreachable after a planned stop.
var errStopped = errors.New("stopped as planned")

// longestLost returns how long the peer that was lost first has been unreachable.
func (p *peers) longestLost() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var longest time.Duration
	for _, other := range p.all {
		if other.lost {
			longest = max(longest, p.now().Sub(other.lostAt))
		}
	}
	return longest
}

// missed marks a daemon as unreachable after a call could not be sent to it, and
// schedules attempts to reach it again.
func (p *peers) missed(address string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	other := p.all[address]
	if other == nil || other.lost {
		return
	}
	p.lose(other, err)
	p.owe(other)
}

// verifyReachable sends the local record to a daemon that did not reply to a load query.
// This tells a lost datagram from an unreachable daemon.
func (p *peers) verifyReachable(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	other := p.all[address]
	if other == nil || other.lost || other.verified != 0 && p.now().Sub(other.verified) < verifyInterval {
		return
	}
	other.verified = p.now()
	p.owe(other)
}

// lose marks a peer as unreachable. p.mu is held.
func (p *peers) lose(other *peer, err error) {
	other.lost, other.lostAt = true, p.now()
	p.generation++
	p.decisions.Write(decision.PeerUnreachable, "", slog.String("peer", other.record.Address), slog.String("error", err.Error()))
}

// regain marks a peer as reachable again. p.mu is held.
func (p *peers) regain(other *peer) {
	if !other.lost {
		return
	}
	other.lost = false
	p.generation++
	p.regained()
	p.decisions.Write(decision.PeerReachable, "", slog.String("peer", other.record.Address))
}
