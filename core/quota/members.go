package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// holderRetention is how long a silent daemon remains the holder. Another daemon that took its
	// place at once would double the share whenever a daemon is cut off from some others only.
	holderRetention = 10 * time.Second
	// isolationLimit is how long a daemon that reaches no majority of its zone may go on as a
	// holder. It is shorter than holderRetention, after which the majority replaces the daemon, since
	// both sides notice a cut at different times.
	isolationLimit = holderRetention / 2
	// maxDepartures bounds the departures that members remembers.
	maxDepartures = 256
)

// members chooses the holders among the daemons.
type members struct {
	self      string
	zone      model.AvailabilityZone
	startedAt model.Instant
	byZone    map[model.AvailabilityZone][]*member
	byAddress map[string]*member
	// complete is set once this daemon has learned of the others.
	complete bool
	// startCredit is the longest time before complete was set for which a bucket was filling. Others may have
	// held the shares until then.
	startCredit time.Duration
	// isolatedSince is since when this daemon has not reached a majority of its zone, zero if it does.
	isolatedSince model.Instant
	// nextRefresh is when the next silent daemon is to be passed over.
	nextRefresh model.Instant
	// replaced holds the daemons of the zone that were passed over because they are silent, until Node
	// reports them.
	replaced []string
	// departures holds the daemons of the zone that can no longer be holders, oldest first. floor is the
	// time of the newest departure that is no longer in departures, or of the end of an isolation if
	// that is later.
	departures []departure
	floor      model.Instant
}

type member struct {
	Member
	hash uint64
	// passedOver is set while others are chosen instead of the daemon.
	passedOver bool
	// returnedAt is when passedOver was last reset, zero if never.
	returnedAt model.Instant
}

type departure struct {
	hash uint64
	at   model.Instant
}

func newMembers(self string, zone model.AvailabilityZone, startedAt model.Instant, startCredit time.Duration) *members {
	m := &members{self: self, zone: zone, startedAt: startedAt, startCredit: startCredit, byAddress: make(map[string]*member)}
	m.set(startedAt, nil, false)
	return m
}

// score orders the daemons of a zone as holders of an account. The daemon with the highest score is
// the holder.
func score(memberHash uint64, id ID) uint64 {
	x := memberHash ^ uint64(id)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// set replaces the list of the daemons. The local daemon need not be in it. complete states whether this
// daemon has learned of the others.
func (m *members) set(now model.Instant, list []Member, complete bool) {
	if complete && !m.complete {
		m.floor = max(m.floor, now.Add(-m.startCredit))
	}
	m.complete = complete
	previous := m.byAddress
	m.byAddress = make(map[string]*member, len(list)+1)
	m.byZone = make(map[model.AvailabilityZone][]*member)
	m.insert(previous, Member{Address: m.self, Zone: m.zone})
	for _, l := range list {
		if l.Address != m.self || l.State != Reachable {
			m.insert(previous, l)
		}
	}
	m.updateIsolation(now)
	m.nextRefresh = now
	m.refresh(now)
	for address, p := range previous {
		if m.byAddress[address] == nil && !p.passedOver {
			m.recordDeparture(p, now)
		}
	}
}

func (m *members) insert(previous map[string]*member, l Member) {
	p := previous[l.Address]
	if p == nil {
		p = &member{hash: xxhash.Sum64String(l.Address)}
	}
	if q := m.byAddress[l.Address]; q != nil {
		q.Member = l
		return
	}
	p.Member = l
	m.byAddress[l.Address] = p
	m.byZone[l.Zone] = append(m.byZone[l.Zone], p)
}

// updateIsolation determines whether this daemon reaches a majority of its zone.
func (m *members) updateIsolation(now model.Instant) {
	others, reached := 0, 0
	for _, p := range m.byZone[m.zone] {
		if p.Address == m.self || p.State == Gone {
			continue
		}
		others++
		if p.State == Reachable {
			reached++
		}
	}
	switch isolated := others > 0 && 2*reached <= others; {
	case isolated && m.isolatedSince == 0:
		m.isolatedSince = now
	case !isolated && m.isolatedSince != 0:
		if now.Sub(m.isolatedSince) >= isolationLimit {
			m.floor = now
		}
		m.isolatedSince = 0
	}
}

// refresh determines which daemons are passed over. It is called before each choice, because silent
// daemons are passed over when time has passed.
func (m *members) refresh(now model.Instant) {
	if now < m.nextRefresh {
		return
	}
	m.nextRefresh = math.MaxInt64
	for _, p := range m.byAddress {
		passedOver := p.State == Gone
		if p.State == Silent && (p.Zone != m.zone || m.isolatedSince == 0) {
			passedOver = now.Sub(p.SilentSince) >= holderRetention
			if !passedOver {
				m.nextRefresh = min(m.nextRefresh, p.SilentSince.Add(holderRetention))
			}
		}
		if passedOver == p.passedOver {
			continue
		}
		p.passedOver = passedOver
		if passedOver {
			m.recordDeparture(p, now)
			if p.State == Silent && p.Zone == m.zone {
				m.replaced = append(m.replaced, p.Address)
			}
		} else {
			p.returnedAt = now
		}
	}
}

func (m *members) recordDeparture(p *member, now model.Instant) {
	if p.Zone != m.zone || p.Address == m.self {
		return
	}
	m.departures = append(m.departures, departure{p.hash, now})
	if len(m.departures) > maxDepartures {
		m.floor = max(m.floor, m.departures[0].at)
		m.departures = m.departures[1:]
	}
}

// holder returns the address of the holder of an account in a zone. It returns false if the zone has
// none.
func (m *members) holder(zone model.AvailabilityZone, id ID) (*member, bool) {
	var best *member
	var bestScore uint64
	for _, p := range m.byZone[zone] {
		if s := score(p.hash, id); !p.passedOver && (best == nil || s > bestScore) {
			best, bestScore = p, s
		}
	}
	return best, best != nil
}

// holds reports whether this daemon is the holder of an account, and since when.
func (m *members) holds(now model.Instant, id ID) (since model.Instant, ok bool) {
	p, ok := m.holder(m.zone, id)
	if !ok || p.Address != m.self || !m.complete {
		return 0, false
	}
	if m.isolatedSince != 0 && now.Sub(m.isolatedSince) >= isolationLimit {
		return 0, false
	}
	since = max(m.startedAt, m.floor)
	own := score(p.hash, id)
	for _, d := range m.departures {
		if d.at > since && score(d.hash, id) > own {
			since = d.at
		}
	}
	return since, true
}

// returnedAgo returns how long ago a daemon was first regarded as a possible holder again, after it
// was passed over, and -1 if it never was passed over.
func (p *member) returnedAgo(now model.Instant) time.Duration {
	if p.returnedAt == 0 {
		return -1
	}
	return now.Sub(p.returnedAt)
}
