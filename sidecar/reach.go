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

// errStopped is logged as the reason why a daemon is considered unreachable after a planned
// stop.
var errStopped = errors.New("stopped as planned")

// longestUnreachable returns how long the unreachable peers have been unreachable, as the maximum
// over these peers. It returns zero if all peers are reachable.
func (p *peers) longestUnreachable() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var longest time.Duration
	for _, other := range p.others {
		if other.unreachable {
			longest = max(longest, p.now().Sub(other.unreachableSince))
		}
	}
	return longest
}

// reportUnreachable marks a daemon as unreachable and schedules attempts to reach it again. It
// is called after a call could not be sent to the daemon or was not acknowledged.
func (p *peers) reportUnreachable(address string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	other := p.others[address]
	if other == nil || other.unreachable {
		return
	}
	p.markUnreachable(other, err)
	p.schedulePush(other)
}

// verifyReachable checks whether a daemon that did not reply to a load query is reachable. It
// pushes the local record to the daemon. If the push succeeds, only a datagram was lost. If it
// fails, the daemon is marked as unreachable. A daemon is checked at most once in verifyInterval.
func (p *peers) verifyReachable(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	other := p.others[address]
	if other == nil || other.unreachable || other.verifiedAt != 0 && p.now().Sub(other.verifiedAt) < verifyInterval {
		return
	}
	other.verifiedAt = p.now()
	p.schedulePush(other)
}

// markUnreachable marks a peer as unreachable, so that its upstream is no longer a candidate. It
// logs err as the reason. p.mu is held.
func (p *peers) markUnreachable(other *peer, err error) {
	other.unreachable, other.unreachableSince = true, p.now()
	p.generation++
	p.decisions.Write(decision.PeerUnreachable, "", slog.String("peer", other.record.Address), slog.String("error", err.Error()))
}

// markReachable marks an unreachable peer as reachable again, logs this and calls onReachable.
// It does nothing if the peer is reachable already. p.mu is held.
func (p *peers) markReachable(other *peer) {
	if !other.unreachable {
		return
	}
	other.unreachable = false
	p.generation++
	p.onReachable()
	p.decisions.Write(decision.PeerReachable, "", slog.String("peer", other.record.Address))
}
