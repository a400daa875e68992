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
func (p *peers) startSync(q *peer) {
	if q.needsFullSync || p.announced && q.record.Zone == p.own.Zone {
		p.owe(q)
	}
}

// meet takes in that there are daemons at the addresses. Those of the own zone come first,
// in an order of chance: the first ones are asked for all that they know, which is not to
// come from other zones, nor from the same few for everybody.
func (p *peers) addListed(list []Listing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list = slices.Clone(list)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b Listing) int {
		return cmp.Compare(p.zoneDistance(a.Zone), p.zoneDistance(b.Zone))
	})
	for _, l := range list {
		if l.Address == p.own.Address || p.all[l.Address] != nil {
			continue
		}
		p.startSync(p.addPeer(Record{Address: l.Address, Zone: l.Zone}))
	}
	if len(p.all) == 0 {
		p.firstContactOnce.Do(func() { close(p.firstContact) })
	}
}

// distance is 0 for the own zone and 1 for others.
func (p *peers) zoneDistance(z model.AvailabilityZone) int {
	if z == p.own.Zone {
		return 0
	}
	return 1
}

// askAnother has another daemon asked for all that it knows in the place of one that
// cannot be reached. p.mu is held.
func (p *peers) replaceBootstrapPeer(failed *peer) {
	failed.needsFullSync = false
	var replacement *peer
	for _, q := range p.all {
		if q.lost || q.needsFullSync || q == failed {
			continue
		}
		if replacement == nil || p.zoneDistance(q.record.Zone) < p.zoneDistance(replacement.record.Zone) {
			replacement = q
		}
	}
	if replacement != nil {
		replacement.needsFullSync = true
		p.owe(replacement)
	}
}

// add notes a daemon. The first ones, however they became known, are asked for
// all that they know: the store may be away. p.mu is held.
func (p *peers) addPeer(r Record) *peer {
	q := &peer{record: r, pool: newPeerPool(r.Address)}
	q.needsFullSync = p.asked < fullAsks
	if q.needsFullSync {
		p.asked++
	}
	p.all[r.Address] = q
	p.generation++
	return q
}
