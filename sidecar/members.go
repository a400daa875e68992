package sidecar

import (
	"math/rand/v2"
	"time"

	"github.com/dottereltiller/dottereltiller/core/gossip"
)

// size returns the number of daemons known, this one included.
func (p *peers) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.all) + 1
}

// startedWithin returns the number of daemons known, this one included, and the part
// of them that has started within a span, by their own clocks. One whose clock is ahead
// by more than the span counts as started long ago.
func (p *peers) startedWithin(span time.Duration) (daemons int, part float64) {
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
		count(&q.record)
	}
	daemons = len(p.all) + 1
	return daemons, float64(started) / float64(daemons)
}

// someReachable draws up to n of the daemons that are not lost.
func (p *peers) someReachable(n int) []string {
	out := p.reachable()
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
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

// reachable returns the addresses of the daemons that are not lost.
func (p *peers) reachable() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for address, q := range p.all {
		if !q.lost {
			out = append(out, address)
		}
	}
	return out
}
