package sidecar

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// greet has a new peer asked for what it knows, or told of this daemon. One of another zone
// learns that from those that it asks itself. While nothing is known of the own upstream
// the telling waits, so that a start takes one message a peer and not two. p.mu is held.
func (p *peers) greet(q *peer) {
	if q.full || p.told && q.record.Zone == p.own.Zone {
		p.owe(q)
	}
}

// meet takes in that there are daemons at the addresses. Those of the own zone come first,
// in an order of chance: the first ones are asked for all that they know, which is not to
// come from other zones, nor from the same few for everybody.
func (p *peers) meet(list []Listing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list = slices.Clone(list)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b Listing) int {
		return cmp.Compare(p.distance(a.Zone), p.distance(b.Zone))
	})
	for _, l := range list {
		if l.Address == p.own.Address || p.all[l.Address] != nil {
			continue
		}
		p.greet(p.add(Record{Address: l.Address, Zone: l.Zone}))
	}
	if len(p.all) == 0 {
		p.greetedOnce.Do(func() { close(p.greeted) })
	}
}

// distance is 0 for the own zone and 1 for others.
func (p *peers) distance(z model.AvailabilityZone) int {
	if z == p.own.Zone {
		return 0
	}
	return 1
}

// askAnother has another daemon asked for all that it knows in the place of one that
// cannot be reached. p.mu is held.
func (p *peers) askAnother(failed *peer) {
	failed.full = false
	var next *peer
	for _, q := range p.all {
		if q.lost || q.full || q == failed {
			continue
		}
		if next == nil || p.distance(q.record.Zone) < p.distance(next.record.Zone) {
			next = q
		}
	}
	if next != nil {
		next.full = true
		p.owe(next)
	}
}

// add notes a daemon. The first ones, however they became known, are asked for
// all that they know: the store may be away. p.mu is held.
func (p *peers) add(r Record) *peer {
	q := &peer{record: r, pool: newPeerPool(r.Address)}
	q.full = p.asked < fullAsks
	if q.full {
		p.asked++
	}
	p.all[r.Address] = q
	p.generation++
	return q
}
