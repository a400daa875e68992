package sidecar

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// The pauses between two requests for all records while nobody is known to know all daemons.
const (
	minListedBackoff = time.Second
	maxListedBackoff = 30 * time.Second
)

// scheduleFirstExchange schedules the first exchange with a peer that is new or has restarted. If
// the peer is to be asked for all of its records, the exchange is a request for them. Otherwise,
// it is a push of the local record.
//
// A peer of a remote zone gets no push: it learns of this daemon from the daemons that this
// daemon asks for all records. Nor is a push scheduled here before the local record has been
// announced for the first time, as that announcement reaches the peer anyway. A start then takes
// one message per peer instead of two. The caller holds p.mu.
func (p *peers) scheduleFirstExchange(q *peer) {
	if q.needsFullSync || p.announced && q.record.Zone == p.local.Zone {
		p.schedulePush(q)
	}
}

// addDirectoryEntries adds the daemons that the directory lists, those of the local zone first and
// otherwise in random order. The order matters, because the first numBootstrapPeers daemons added
// are asked for all of their records. That traffic should not cross zones, and starting daemons
// should not all choose the same few peers. Daemons that are already known are skipped. If no other
// daemon is known afterwards, firstContact is closed, as there is no exchange to wait for.
func (p *peers) addDirectoryEntries(entries []DirectoryEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries = slices.Clone(entries)
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	slices.SortStableFunc(entries, func(a, b DirectoryEntry) int {
		return cmp.Compare(p.zoneDistance(a.Zone), p.zoneDistance(b.Zone))
	})
	for _, e := range entries {
		if e.Address == p.local.Address || p.others[e.Address] != nil {
			continue
		}
		p.scheduleFirstExchange(p.addPeer(Record{Address: e.Address, Zone: e.Zone}))
	}
	p.listed = true
	if len(p.others) == 0 {
		p.firstContactOnce.Do(func() { close(p.firstContact) })
	}
}

// zoneDistance returns 0 for the local zone and 1 for any other.
func (p *peers) zoneDistance(z model.AvailabilityZone) int {
	if z == p.local.Zone {
		return 0
	}
	return 1
}

// replaceBootstrapPeer is called when a peer that was to be asked for all records cannot be
// reached. It chooses another peer to ask, preferably of the local zone. Peers that are
// unreachable or already chosen are left out. If no peer remains, none is chosen. The caller holds
// p.mu.
func (p *peers) replaceBootstrapPeer(failedPeer *peer) {
	failedPeer.needsFullSync = false
	var replacement *peer
	for _, q := range p.others {
		if q.unreachable || q.needsFullSync || q == failedPeer {
			continue
		}
		if replacement == nil || p.zoneDistance(q.record.Zone) < p.zoneDistance(replacement.record.Zone) {
			replacement = q
		}
	}
	if replacement != nil {
		replacement.needsFullSync = true
		p.schedulePush(replacement)
	}
}

// addPeer adds the daemon of record r to the known daemons. The first numBootstrapPeers daemons
// added are marked to be asked for all records. They may come from the directory or from a peer,
// because the directory may be unavailable. The caller holds p.mu.
func (p *peers) addPeer(r Record) *peer {
	q := &peer{record: r, pool: newPeerPool(r.Address)}
	q.needsFullSync = p.fullSyncCount < numBootstrapPeers
	if q.needsFullSync {
		p.fullSyncCount++
	}
	p.others[r.Address] = q
	p.generation++
	return q
}

// updateListed is called with the reply of a peer that was asked for all records. listed states whether the peer
// knows all daemons of the directory. If neither it nor this daemon does, another peer is asked later.
func (p *peers) updateListed(q *peer, listed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = p.listed || listed
	if p.listed {
		return
	}
	time.AfterFunc(p.listedBackoff.Next(nil), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.listed && p.ctx.Err() == nil {
			p.replaceBootstrapPeer(q)
		}
	})
}

// allKnown returns the records of all other daemons that are known, with nothing but address and zone if none
// has been received yet. It also reports whether all daemons of the directory are among them.
func (p *peers) allKnown() ([]Record, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var records []Record
	for _, q := range p.others {
		records = append(records, q.record)
	}
	return records, p.listed
}
