package sidecar

import (
	"bytes"
	"encoding/json"
	"sync"
	"time"
)

// relayAfter is how long a record waits for others that go the same way.
const relayAfter = 30 * time.Millisecond

// relay hands records of daemons of other zones on to the own one, several in a datagram.
// What is lost on the way comes with the next comparison. It is safe for concurrent use.
type relay struct {
	// near returns the daemons of the own zone that can be reached.
	near func() []string
	send func(address string, body []byte)

	mu      sync.Mutex
	pending map[string]Record
}

// add has a record handed on.
func (r *relay) add(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		r.pending = make(map[string]Record)
		time.AfterFunc(relayAfter, r.flush)
	}
	r.pending[rec.Address] = rec
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
	for _, address := range r.near() {
		for _, b := range bodies {
			r.send(address, b)
		}
	}
}

// packRecords writes records, one JSON value after the other, into bodies of datagrams. A
// record that fits into none is left out: its daemon is asked for it.
func packRecords(records []Record) [][]byte {
	const room = maxDatagram - headBytes
	var out [][]byte
	var body []byte
	for i := range records {
		b, err := json.Marshal(&records[i])
		if err != nil || len(b) > room {
			continue
		}
		if len(body)+len(b) > room {
			out = append(out, body)
			body = nil
		}
		body = append(body, b...)
	}
	if len(body) > 0 {
		out = append(out, body)
	}
	return out
}

// unpackRecords reads what packRecords wrote, up to what cannot be read.
func unpackRecords(body []byte) []Record {
	var out []Record
	d := json.NewDecoder(bytes.NewReader(body))
	for {
		var r Record
		if d.Decode(&r) != nil {
			return out
		}
		out = append(out, r)
	}
}
