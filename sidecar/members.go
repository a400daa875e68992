package sidecar

import (
	"math/rand/v2"
	"time"

	"github.com/dottereltiller/dottereltiller/core/gossip"
	"github.com/dottereltiller/dottereltiller/core/model"
	corequota "github.com/dottereltiller/dottereltiller/core/quota"
	"github.com/dottereltiller/dottereltiller/quota"
)

// numDaemons returns the number of known daemons, this one included.
func (p *peers) numDaemons() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.others) + 1
}

// daemonsAndStartedShare returns the number of known daemons, this one included, and which share
// of them, from 0 to 1, started within the span that ends now.
//
// Each daemon states its start time by its own clock. A daemon whose stated start is in the future
// by more than the span counts as started long ago. A daemon that is known but whose record has
// not been received counts as just started, unless it is unreachable.
func (p *peers) daemonsAndStartedShare(span time.Duration) (numDaemons int, startedShare float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	windowStart := time.Now().Add(-span).UnixMilli()
	recentlyStarted := 0
	countIfRecent := func(r *Record) {
		if r.Incarnation > windowStart && r.Incarnation <= windowStart+2*span.Milliseconds() {
			recentlyStarted++
		}
	}
	countIfRecent(&p.local)
	for _, q := range p.others {
		if q.record.Sequence == 0 && !q.unreachable {
			recentlyStarted++
			continue
		}
		countIfRecent(&q.record)
	}
	numDaemons = len(p.others) + 1
	return numDaemons, float64(recentlyStarted) / float64(numDaemons)
}

func (p *peers) reachableMembers() []gossip.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	members := make([]gossip.Member, 0, len(p.others))
	for address, q := range p.others {
		if !q.unreachable {
			members = append(members, gossip.Member{Address: address, Zone: q.record.Zone})
		}
	}
	return members
}

// zoneMembers returns the addresses of the daemons of the local zone that are reachable and not
// stopping. This daemon is included, unless it is stopping. zoneMembers also returns the number of
// zones in which any daemon is reachable and not stopping, the local zone always included, and the
// current value of peers.generation. If that still equals lastGeneration, zoneMembers returns no
// addresses and 0 for the number of zones.
func (p *peers) zoneMembers(lastGeneration uint64) (addresses []string, numZones int, currentGeneration uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.generation == lastGeneration {
		return nil, 0, lastGeneration
	}
	zoneSet := map[model.AvailabilityZone]bool{p.local.Zone: true}
	if !p.local.Stopping {
		addresses = append(addresses, p.local.Address)
	}
	for address, q := range p.others {
		if q.unreachable || q.record.Stopping {
			continue
		}
		zoneSet[q.record.Zone] = true
		if q.record.Zone == p.local.Zone {
			addresses = append(addresses, address)
		}
	}
	return addresses, len(zoneSet), p.generation
}

// zonePeers returns the addresses of the other daemons of the local zone that are reachable.
func (p *peers) zonePeers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for address, q := range p.others {
		if !q.unreachable && q.record.Zone == p.local.Zone {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// quotaMembers returns the daemons, this one included, as possible holders of quotas. The list is complete once this
// daemon knows all daemons of the directory and has had contact with another one: by a part of the list, two
// daemons could take themselves for the holder. The Generation also changes then.
func (p *peers) quotaMembers(lastGeneration uint64) quota.Membership {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := quota.Membership{Generation: (p.generation + 1) << 1}
	select {
	case <-p.firstContact:
		if p.listed {
			m.Complete = true
			m.Generation++
		}
	default:
	}
	if m.Generation == lastGeneration {
		return m
	}
	add := func(r *Record, state corequota.MemberState, silentSince model.Instant) {
		switch {
		case r.Stopping && state == corequota.Reachable:
			state = corequota.Stopping
		case r.Stopping:
			state = corequota.Gone
		}
		m.Members = append(m.Members, corequota.Member{Address: r.Address, Zone: r.Zone, State: state, SilentSince: silentSince})
	}
	add(&p.local, corequota.Reachable, 0)
	for _, q := range p.others {
		switch {
		case !q.unreachable:
			add(&q.record, corequota.Reachable, 0)
		default:
			add(&q.record, corequota.Silent, q.unreachableSince)
		}
	}
	return m
}

// inRemoteZone reports whether a daemon is known and in a zone other than the local one.
func (p *peers) inRemoteZone(address string) bool {
	r, ok := p.recordOf(address)
	return ok && r.Zone != p.local.Zone
}

// randomInt returns a random integer from 0 to n-1.
func randomInt(n int) int { return rand.IntN(n) }
