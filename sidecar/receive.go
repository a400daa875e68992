package sidecar

import (
	"encoding/binary"
	"net/netip"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/placement"
)

// datagram is one that was received.
type datagram struct {
	id uint32
	// version is that of the configuration which the sender has in force.
	version model.Version
	from    netip.AddrPort
	// raw is all of it, its head included.
	raw []byte
}

// body returns what follows the head.
func (m *datagram) body() []byte { return m.raw[headBytes:] }

// receivers take in the datagrams of each kind.
var receivers = map[byte]func(*datagrams, datagram){
	kindAsk:       (*datagrams).receiveAsk,
	kindLoad:      (*datagrams).receiveLoad,
	kindRecord:    (*datagrams).note,
	kindNoted:     func(a *datagrams, m datagram) { a.hear(m.id, placement.Load{}, m.version) },
	kindNews:      func(a *datagrams, m datagram) { a.d.behind(string(m.body()), m.version) },
	kindSuspects:  func(a *datagrams, m datagram) { a.d.suspects.gossip.Receive(m.from.String(), m.body()) },
	kindHeartbeat: (*datagrams).receiveHeartbeat,
	kindRecords:   (*datagrams).receiveRecords,
	kindCompare:   func(a *datagrams, m datagram) { a.d.comparer.receive(m.from.String(), m.body()) },
	kindSummary:   func(a *datagrams, m datagram) { a.d.comparer.resolve(m.from.String(), m.body()) },
	kindWish:      func(a *datagrams, m datagram) { a.d.comparer.grant(m.from.String(), m.body()) },
	kindCompared:  func(a *datagrams, m datagram) { a.learn(unpackRecords(m.body())) },
}

// receive takes in a datagram. One of a kind that is not known is passed over.
func (a *datagrams) receive(b []byte, from netip.AddrPort) {
	if len(b) < headBytes {
		return
	}
	a.d.metrics.traffic.received(b)
	m := datagram{id: binary.BigEndian.Uint32(b[1:]), version: model.Version(binary.BigEndian.Uint64(b[5:])), from: from, raw: b}
	if receive, ok := receivers[b[0]]; ok {
		receive(a, m)
	}
}

func (a *datagrams) receiveAsk(m datagram) {
	if len(m.raw) == askBytes {
		go a.answer(m.id, decodeAsk(m.raw), m.from)
	}
}

func (a *datagrams) receiveLoad(m datagram) {
	if len(m.raw) == loadBytes {
		a.hear(m.id, decodeLoad(m.raw), m.version)
	}
}

func (a *datagrams) receiveHeartbeat(m datagram) {
	body := m.body()
	if len(body) == 0 {
		return
	}
	address := string(body[1:])
	a.d.follower.heard(address, body[0] == 1)
	a.d.behindWatcher(address, m.version)
}

func (a *datagrams) receiveRecords(m datagram) {
	records := unpackRecords(m.body())
	a.d.relay.relayed(records)
	a.learn(records)
}

// learn takes in records. News may be news to others as well, who are asked soon.
func (a *datagrams) learn(records []Record) {
	if news := a.d.peers.merge(records); len(news) > 0 {
		a.d.comparer.wake()
	}
}

// note takes in the record of another daemon. One that is older than what is
// known gets no answer, so that its daemon, whose clock was set back, finds out
// over a connection.
func (a *datagrams) note(m datagram) {
	told := unpackRecords(m.body())
	if len(told) != 1 || told[0].Address == "" {
		return
	}
	r := told[0]
	if held, ok := a.d.peers.of(r.Address); ok && held.newer(&r) {
		return
	}
	for _, news := range a.d.peers.merge([]Record{r}) {
		if news.Zone != a.d.opts.Zone {
			a.d.relay.add(news)
		}
	}
	a.transmit(a.head(kindNoted, m.id), m.from)
}

// hear hands an answer to who waits for it.
func (a *datagrams) hear(id uint32, l placement.Load, v model.Version) {
	a.mu.Lock()
	q, ok := a.waiting[id]
	delete(a.waiting, id)
	a.mu.Unlock()
	if !ok {
		return
	}
	h := heard{key: q.key, load: l, took: a.d.now().Sub(q.sent)}
	if q.to == nil {
		q.late(h)
	} else {
		// The channel has room for every answer.
		q.to <- h
	}
	a.d.behind(q.address, v)
}
