package sidecar

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/dottereltiller/dottereltiller/core/model"
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
