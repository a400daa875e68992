package sidecar

import (
	"net/netip"
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// contactProbeInterval is how old the newest acknowledged message to a daemon of the zone may be before the
	// daemon is probed. It is short compared with the time for which a holder of quotas may go on without contact.
	contactProbeInterval = 1500 * time.Millisecond
	// probeRetryInterval is the time between two probes of a daemon that does not acknowledge them.
	probeRetryInterval = 500 * time.Millisecond
	// minSuspension is the shortest suspension of the VM that is noticed.
	minSuspension = 500 * time.Millisecond
)

// zoneContact keeps this daemon in contact with the others of its zone. The monotonic clock stands still while the VM
// is suspended, so contacts grow older then, too.
type zoneContact struct {
	d         *Daemon
	bootClock func() time.Duration
	// offset is how much longer the VM had been running at the last call than the clock of the daemon tells.
	offset time.Duration
}

// refresh probes the daemons of the zone that have acknowledged nothing of late. It returns when this daemon sent the
// oldest of the newest messages that a majority of them has acknowledged.
func (c *zoneContact) refresh() model.Instant {
	now := c.d.now()
	offset := c.bootClock() - now.Sub(0)
	suspended := offset - c.offset
	if c.offset == 0 || suspended < minSuspension {
		suspended = 0
	}
	c.offset = offset
	at, stale := c.d.peers.zoneContact(now, suspended)
	c.d.datagrams.probe(stale)
	return at
}

// recordContact records that a daemon has acknowledged a message that was sent at an instant.
func (p *peers) recordContact(address string, sentAt model.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.others[address]; q != nil {
		q.contactAt = max(q.contactAt, sentAt)
	}
}

// zoneContact returns when this daemon sent the oldest of the newest messages that a majority of the other daemons of its
// zone has acknowledged, and the addresses of those to probe. Daemons that are stopping do not count. All contacts are
// taken to be older by the time for which the VM was suspended.
func (p *peers) zoneContact(now model.Instant, suspended time.Duration) (at model.Instant, stale []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var contacts []model.Instant
	for address, q := range p.others {
		q.contactAt = q.contactAt.Add(-suspended)
		if q.record.Zone != p.local.Zone || q.record.Stopping {
			continue
		}
		contacts = append(contacts, q.contactAt)
		if now.Sub(q.contactAt) >= contactProbeInterval && (q.probedAt == 0 || now.Sub(q.probedAt) >= probeRetryInterval) {
			q.probedAt = now
			stale = append(stale, address)
		}
	}
	if len(contacts) == 0 {
		return now, nil
	}
	slices.Sort(contacts)
	return contacts[(len(contacts)-1)/2], stale
}

// probe asks daemons to acknowledge a datagram.
func (a *datagrams) probe(addresses []string) {
	var ids []uint32
	for _, address := range addresses {
		recipient, err := netip.ParseAddrPort(address)
		if err != nil {
			continue
		}
		id := a.register(pendingQuery{key: address, address: address, replyKind: kindProbeReply, onLate: func(queryReply) {}})
		ids = append(ids, id)
		a.transmit(a.header(kindProbe, id), recipient)
	}
	if len(ids) > 0 {
		time.AfterFunc(lateReplyWindow, func() { a.cancel(ids) })
	}
}
