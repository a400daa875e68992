package sidecar

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// relayAfter is how long a record waits for others that go the same way, and relaySpread
	// how much longer at most, by chance: of the relays of a zone the first one to send a
	// record spares the others that.
	relayDelay  = 20 * time.Millisecond
	relayJitter = 80 * time.Millisecond
)

// relay hands records of daemons of other zones on to the own one, several in a datagram.
// What is lost on the way comes with the next comparison. It is safe for concurrent use.
type relay struct {
	// near returns the daemons of the own zone that can be reached.
	zonePeers func() []string
	send      func(address string, body []byte)

	mu      sync.Mutex
	pending map[string]Record
}

// add has a record handed on.
func (r *relay) add(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		r.pending = make(map[string]Record)
		time.AfterFunc(relayDelay+rand.N(relayJitter), r.flush)
	}
	r.pending[rec.Address] = rec
}

// relayed takes in records that another daemon of the zone has handed on.
func (r *relay) relayed(records []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range records {
		rec := &records[i]
		if waiting, ok := r.pending[rec.Address]; ok && !waiting.newer(rec) {
			delete(r.pending, rec.Address)
		}
	}
}

func (r *relay) flush() {
	r.mu.Lock()
	pending := r.pending
	r.pending = nil
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
