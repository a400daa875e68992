package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/decision"
)

// pendingFullSyncs returns the addresses of the peers that are still to be asked for all records.
func (p *peers) pendingFullSyncs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for address, q := range p.others {
		if q.needsFullSync {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// isolatedPeers returns the peers of a daemon of a zone. Their context is cancelled, so that no
// exchange starts.
func isolatedPeers(t *testing.T, zone model.AvailabilityZone) *peers {
	p := newPeers(Record{Address: "self", Zone: zone}, func() model.Instant { return 1 }, decision.New(decision.Options{Handler: slog.DiscardHandler}))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	p.ctx = ctx
	return p
}

// TestBootstrapPeersAreInLocalZone starts many daemons with the same directory. Each must ask
// daemons of its own zone for all records. The requests must be spread over the daemons of the
// zone: none may be chosen five times as often as the mean.
func TestBootstrapPeersAreInLocalZone(t *testing.T) {
	const numDaemons, numZones, numStarts = 300, 5, 200
	var entries []DirectoryEntry
	zoneByAddress := make(map[string]model.AvailabilityZone)
	for i := range numDaemons {
		e := DirectoryEntry{Address: fmt.Sprint("d", i), Zone: model.AvailabilityZone(fmt.Sprint("z", i%numZones))}
		entries, zoneByAddress[e.Address] = append(entries, e), e.Zone
	}
	selectionCountByAddress := make(map[string]int)
	for range numStarts {
		p := isolatedPeers(t, "z3")
		p.addDirectoryEntries(entries)
		selectedAddresses := p.pendingFullSyncs()
		require.Len(t, selectedAddresses, numBootstrapPeers)
		for _, address := range selectedAddresses {
			require.EqualValues(t, "z3", zoneByAddress[address])
			selectionCountByAddress[address]++
		}
	}
	const meanSelections = numStarts * numBootstrapPeers / (numDaemons / numZones)
	for address, n := range selectionCountByAddress {
		require.Less(t, n, 5*meanSelections, address)
	}
}

// TestUnreachableBootstrapPeerIsReplaced lists three daemons in the directory, two of which no
// longer exist. The third one must be asked for all records instead.
func TestUnreachableBootstrapPeerIsReplaced(t *testing.T) {
	p := isolatedPeers(t, "z")
	p.addDirectoryEntries([]DirectoryEntry{{Address: "gone1", Zone: "z"}, {Address: "gone2", Zone: "z"}, {Address: "there", Zone: "far"}})
	for range numBootstrapPeers {
		for _, address := range p.pendingFullSyncs() {
			if address != "there" {
				p.recordFailedExchange(p.others[address], errStoreDown)
			}
		}
	}
	require.Equal(t, []string{"there"}, p.pendingFullSyncs())
}
