package sidecar

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// relayDelay is how long a record waits for other records, so that they share a datagram.
	relayDelay = 20 * time.Millisecond
	// relayJitter bounds a random delay that is added to relayDelay. Of the daemons that received
	// a record to relay in a zone, the one whose delay ends first sends it. The others then drop it
	// (see dropRelayed).
	relayJitter = 80 * time.Millisecond
)

// relay sends records of daemons of remote zones to the daemons of the local zone, several in
// one datagram. Lost datagrams are repaired by the anti-entropy protocol. It is safe for
// concurrent use.
type relay struct {
	// zonePeers returns the reachable daemons of the local zone.
	zonePeers func() []string
	// send sends a datagram body to a daemon.
	send func(address string, body []byte)

	mu sync.Mutex
	// pendingByAddress holds the records that wait to be relayed, by the address of their daemon.
	pendingByAddress map[string]Record
}

// add schedules a record to be relayed. It replaces a pending record of the same daemon.
func (r *relay) add(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pendingByAddress == nil {
		r.pendingByAddress = make(map[string]Record)
		time.AfterFunc(relayDelay+rand.N(relayJitter), r.flush)
	}
	r.pendingByAddress[rec.Address] = rec
}

// dropRelayed drops pending records that another daemon of the zone has just relayed. A pending
// record that is newer than the relayed one is kept.
func (r *relay) dropRelayed(records []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range records {
		rec := &records[i]
		if pendingRecord, ok := r.pendingByAddress[rec.Address]; ok && !pendingRecord.supersedes(rec) {
			delete(r.pendingByAddress, rec.Address)
		}
	}
}

// flush sends the pending records to all reachable daemons of the local zone.
func (r *relay) flush() {
	r.mu.Lock()
	pending := r.pendingByAddress
	r.pendingByAddress = nil
	r.mu.Unlock()
	records := make([]Record, 0, len(pending))
	for _, rec := range pending {
		records = append(records, rec)
	}
	bodies := packRecords(records)
	for _, address := range r.zonePeers() {
		for _, b := range bodies {
			r.send(address, b)
		}
	}
}
