package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// holderRetention is how long a silent daemon remains the holder. Another daemon that took its
	// place at once would double the share whenever a daemon is cut off from some others only.
	holderRetention = 10 * time.Second
	// isolationLimit is how long a daemon may go on as a holder after the last message that a majority of its
	// zone has acknowledged, by its own clock. It is shorter than holderRetention, after which the majority
	// replaces the daemon, as the clocks differ.
	isolationLimit = holderRetention / 2
	// returnDelay is how long a daemon that was out of contact for longer waits before it grants anything again. The
	// others take that long to notice that it is back, and go on with its shares until then.
	returnDelay = 2 * time.Second
	// maxFormerHolders bounds the daemons of a zone that a holder asks for what their buckets have left.
	maxFormerHolders = 3
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
	// changedAt is when the possible holders last changed.
	changedAt model.Instant
	// stoppedAt is since when this daemon has been stopping, zero if it is not.
	stoppedAt model.Instant
	// isolatedSince is since when this daemon has not reached a majority of its zone, zero if it does.
	isolatedSince model.Instant
	// contactAt is when this daemon sent the oldest of the newest messages that a majority of its zone has
	// acknowledged. It counts only if tracksContact is set.
	contactAt     model.Instant
	tracksContact bool
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
	// joinedAt is since when the daemon has been a possible holder, leftAt since when it is not.
	joinedAt, leftAt model.Instant
}

type departure struct {
	hash uint64
	at   model.Instant
}

func newMembers(self string, zone model.AvailabilityZone, startedAt model.Instant, startCredit time.Duration) *members {
	m := &members{self: self, zone: zone, startedAt: startedAt, changedAt: startedAt, startCredit: startCredit, byAddress: make(map[string]*member)}
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
	joinedAt := m.startedAt
	switch {
	case m.complete:
		joinedAt = now
	case complete:
		m.floor = max(m.floor, now.Add(-m.startCredit))
	}
	m.complete = complete
	previous := m.byAddress
	m.byAddress = make(map[string]*member, len(list)+1)
	m.byZone = make(map[model.AvailabilityZone][]*member)
	self := Member{Address: m.self, Zone: m.zone}
	if m.stoppedAt != 0 {
		self.State = Stopping
	}
	m.insert(previous, self, m.startedAt)
	for _, l := range list {
		if l.Address != m.self {
			m.insert(previous, l, joinedAt)
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

func (m *members) insert(previous map[string]*member, l Member, joinedAt model.Instant) {
	p := previous[l.Address]
	if p == nil {
		p = &member{hash: xxhash.Sum64String(l.Address), joinedAt: joinedAt}
		m.changedAt = max(m.changedAt, joinedAt)
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
		if p.Address == m.self || p.State == Gone || p.State == Stopping {
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

// setContact sets when this daemon sent the oldest of the newest messages that a majority of its zone has
// acknowledged. After a time in which it might not grant anything, others may have replaced it: it waits for
// returnDelay, and its buckets start empty then.
func (m *members) setContact(now, at model.Instant) {
	if m.lacksContact(now) {
		m.floor = now.Add(returnDelay)
	}
	m.contactAt, m.tracksContact = at, true
}

// lacksContact reports whether the last contact with a majority of the zone is too long ago.
func (m *members) lacksContact(now model.Instant) bool {
	return m.tracksContact && now.Sub(m.contactAt) >= isolationLimit
}

// hasLapsed reports whether this daemon must grant nothing as a holder, because others may have replaced it. That
// depends on its own clock only, also after a pause.
func (m *members) hasLapsed(now model.Instant) bool {
	return m.isolatedSince != 0 && now.Sub(m.isolatedSince) >= isolationLimit || m.lacksContact(now)
}

// refresh determines which daemons are passed over. It is called before each choice, because silent
// daemons are passed over when time has passed.
func (m *members) refresh(now model.Instant) {
	if now < m.nextRefresh {
		return
	}
	m.nextRefresh = math.MaxInt64
	for _, p := range m.byAddress {
		passedOver := p.State == Gone || p.State == Stopping
		if p.State == Silent && (p.Zone != m.zone || m.isolatedSince == 0 && !m.hasLapsed(now)) {
			passedOver = now.Sub(p.SilentSince) >= holderRetention
			if !passedOver {
				m.nextRefresh = min(m.nextRefresh, p.SilentSince.Add(holderRetention))
			}
		}
		if passedOver == p.passedOver {
			continue
		}
		p.passedOver, m.changedAt = passedOver, now
		if passedOver {
			p.leftAt = now
			m.recordDeparture(p, now)
			if p.State == Silent && p.Zone == m.zone {
				m.replaced = append(m.replaced, p.Address)
			}
		} else {
			p.returnedAt, p.joinedAt = now, now
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

// isHolder reports whether a daemon is the holder of an account in its zone.
func (m *members) isHolder(address string, id ID) bool {
	p := m.byAddress[address]
	if p == nil {
		return false
	}
	holder, _ := m.holder(p.Zone, id)
	return holder == p
}

// holds reports whether this daemon is the holder of an account, and since when.
func (m *members) holds(now model.Instant, id ID) (since model.Instant, ok bool) {
	p, ok := m.holder(m.zone, id)
	if !ok || p.Address != m.self || !m.mayGrant(now) {
		return 0, false
	}
	return m.firstSince(score(p.hash, id), id), true
}

// firstSince returns since when no daemon of the zone with a higher score than own has been a
// possible holder of an account, if none is now.
func (m *members) firstSince(own uint64, id ID) model.Instant {
	since := max(m.startedAt, m.floor)
	for _, d := range m.departures {
		if d.at > since && score(d.hash, id) > own {
			since = d.at
		}
	}
	return since
}

// mayGrant reports whether this daemon may grant anything as a holder.
func (m *members) mayGrant(now model.Instant) bool {
	return m.complete && !m.hasLapsed(now) && m.floor <= now
}

// flowOf returns the flow of this daemon's bucket of an account.
func (m *members) flowOf(now model.Instant, id ID) flow {
	if _, ok := m.holds(now, id); ok {
		return filling
	}
	if _, ok := m.holder(m.zone, id); ok || m.stoppedAt == 0 {
		return draining
	}
	return paused
}

// stop ends the time in which this daemon is a possible holder.
func (m *members) stop(now model.Instant) {
	m.stoppedAt, m.changedAt = now, now
	p := m.byAddress[m.self]
	p.State, p.passedOver, p.leftAt = Stopping, true, now
}

// held returns from when to when this daemon was the holder of an account, if it is not any more.
func (m *members) held(now model.Instant, id ID) (since, until model.Instant, ok bool) {
	if !m.mayGrant(now) || m.isolatedSince != 0 {
		return 0, 0, false
	}
	own := score(m.byAddress[m.self].hash, id)
	until = model.Instant(math.MaxInt64)
	if m.stoppedAt != 0 {
		until = m.stoppedAt
	}
	for _, p := range m.byZone[m.zone] {
		if !p.passedOver && p.Address != m.self && score(p.hash, id) > own {
			until = min(until, p.joinedAt)
		}
	}
	since = m.firstSince(own, id)
	return since, until, since < until
}

// formerHolders returns the daemons of a zone that held the share of an account until less than drainTime ago
// and can be asked for the tokens that they have left: those that are stopping and came before the holder, and
// those that come after it.
func (m *members) formerHolders(now model.Instant, zone model.AvailabilityZone, id ID, drainTime time.Duration) []*member {
	if now.Sub(m.changedAt) >= drainTime {
		return nil
	}
	holder, ok := m.holder(zone, id)
	var former []*member
	for _, p := range m.byZone[zone] {
		if p.Address == m.self || p == holder || p.State != Reachable && p.State != Stopping {
			continue
		}
		lostAt := p.leftAt
		if ok && score(p.hash, id) < score(holder.hash, id) {
			lostAt = max(lostAt, holder.joinedAt)
		}
		if now.Sub(lostAt) < drainTime {
			former = append(former, p)
		}
	}
	slices.SortFunc(former, func(a, b *member) int { return cmp.Compare(score(b.hash, id), score(a.hash, id)) })
	return former[:min(len(former), maxFormerHolders)]
}

// returnedAgo returns how long ago a daemon was first regarded as a possible holder again, after it
// was passed over, and -1 if it never was passed over.
func (p *member) returnedAgo(now model.Instant) time.Duration {
	if p.returnedAt == 0 {
		return -1
	}
	return now.Sub(p.returnedAt)
}
