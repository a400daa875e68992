package sidecar

import (
	"math/rand/v2"
	"time"

	"github.com/dottereltiller/dottereltiller/core/gossip"
	"github.com/dottereltiller/dottereltiller/core/model"
)

// size returns the number of daemons known, this one included.
func (p *peers) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.all) + 1
}

// startedWithin returns the number of daemons known, this one included, and the part
// of them that has started within a span, by their own clocks. One whose clock is ahead
// by more than the span counts as started long ago, one that is listed and has not been
// heard of as started.
func (p *peers) startedWithin(span time.Duration) (daemons int, share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := time.Now().Add(-span).UnixMilli()
	started := 0
	count := func(r *Record) {
		if r.Incarnation > since && r.Incarnation <= since+2*span.Milliseconds() {
			started++
		}
	}
	count(&p.own)
	for _, q := range p.all {
		if q.record.Sequence == 0 && !q.lost {
			started++
			continue
		}
		count(&q.record)
	}
	daemons = len(p.all) + 1
	return daemons, float64(started) / float64(daemons)
}

// members returns the daemons that are not lost.
func (p *peers) members() []gossip.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]gossip.Member, 0, len(p.all))
	for address, q := range p.all {
		if !q.lost {
			out = append(out, gossip.Member{Address: address, Zone: q.record.Zone})
		}
	}
	return out
}

// neighbours returns the addresses of the daemons of the own zone that can be reached and
// go on running, this one among them, and the number of zones. It returns nothing where
// that is as of a generation.
func (p *peers) zoneMembers(generation uint64) (addresses []string, zones int, current uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.generation == generation {
		return nil, 0, generation
	}
	seen := map[model.AvailabilityZone]bool{p.own.Zone: true}
	if !p.own.Stopping {
		addresses = append(addresses, p.own.Address)
	}
	for address, q := range p.all {
		if q.lost || q.record.Stopping {
			continue
		}
		seen[q.record.Zone] = true
		if q.record.Zone == p.own.Zone {
			addresses = append(addresses, address)
		}
	}
	return addresses, len(seen), p.generation
}

// near returns the other daemons of the own zone that are not lost.
func (p *peers) zonePeers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for address, q := range p.all {
		if !q.lost && q.record.Zone == p.own.Zone {
			out = append(out, address)
		}
	}
	return out
}

// far reports whether a daemon is of another zone.
func (p *peers) inOtherZone(address string) bool {
	r, ok := p.of(address)
	return ok && r.Zone != p.own.Zone
}

// drawInt draws from 0 to n-1.
func randomInt(n int) int { return rand.IntN(n) }
