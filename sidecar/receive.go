package sidecar

import (
	"encoding/binary"
	"net/netip"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/placement"
)

// datagram is a received datagram.
type datagram struct {
	id uint32
	// version is the version of the configuration in force at the sender.
	version model.Version
	sender  netip.AddrPort
	// raw is the whole datagram, including the header.
	raw []byte
}

// body returns the part that follows the header.
func (m *datagram) body() []byte { return m.raw[headBytes:] }

// receivers holds the handlers for the kinds of datagrams.
var receivers = map[byte]func(*datagrams, datagram){
	kindAsk:       (*datagrams).handleLoadQuery,
	kindLoad:      (*datagrams).handleLoad,
	kindRecord:    (*datagrams).handleRecord,
	kindNoted:     func(a *datagrams, m datagram) { a.deliverReply(m.id, placement.Load{}, m.version) },
	kindNews:      func(a *datagrams, m datagram) { a.d.behind(string(m.body()), m.version) },
	kindSuspects:  func(a *datagrams, m datagram) { a.d.suspects.gossip.Receive(m.sender.String(), m.body()) },
	kindHeartbeat: (*datagrams).handleHeartbeat,
	kindRecords:   (*datagrams).handleRecords,
	kindCompare:   func(a *datagrams, m datagram) { a.d.comparer.receive(m.sender.String(), m.body()) },
	kindSummary:   func(a *datagrams, m datagram) { a.d.comparer.resolve(m.sender.String(), m.body()) },
	kindWish:      func(a *datagrams, m datagram) { a.d.comparer.grant(m.sender.String(), m.body()) },
	kindCompared:  func(a *datagrams, m datagram) { a.mergeRecords(unpackRecords(m.body())) },
}

// receive handles a datagram. Datagrams of unknown kinds are ignored.
func (a *datagrams) receive(b []byte, from netip.AddrPort) {
	if len(b) < headBytes {
		return
	}
	a.d.metrics.traffic.received(b)
	m := datagram{id: binary.BigEndian.Uint32(b[1:]), version: model.Version(binary.BigEndian.Uint64(b[5:])), sender: from, raw: b}
	if receive, ok := receivers[b[0]]; ok {
		receive(a, m)
	}
}

func (a *datagrams) handleLoadQuery(m datagram) {
	if len(m.raw) == askBytes {
		go a.sendLoad(m.id, decodeLoadQuery(m.raw), m.sender)
	}
}

func (a *datagrams) handleLoad(m datagram) {
	if len(m.raw) == loadBytes {
		a.deliverReply(m.id, decodeLoad(m.raw), m.version)
	}
}

func (a *datagrams) handleHeartbeat(m datagram) {
	body := m.body()
	if len(body) == 0 {
		return
	}
	address := string(body[1:])
	a.d.follower.heard(address, body[0] == 1)
	a.d.behindWatcher(address, m.version)
}

func (a *datagrams) handleRecords(m datagram) {
	records := unpackRecords(m.body())
	a.d.relay.relayed(records)
	a.mergeRecords(records)
}

// mergeRecords stores records of other daemons. If any of them is new, an anti-entropy
// exchange is started soon, as other daemons may lack them too.
func (a *datagrams) mergeRecords(records []Record) {
	if news := a.d.peers.merge(records); len(news) > 0 {
		a.d.comparer.wake()
	}
}

// handleRecord stores the record that another daemon sent about itself, and acknowledges
// it. An outdated record is not acknowledged: its sender then sends it over a connection,
// and learns from the reply that its clock was set back.
func (a *datagrams) handleRecord(m datagram) {
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
	a.transmit(a.head(kindNoted, m.id), m.sender)
}

// deliverReply passes a reply to the code that waits for it.
func (a *datagrams) deliverReply(id uint32, l placement.Load, v model.Version) {
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
		// Does not block: the channel has a buffer for all replies.
		q.to <- h
	}
	a.d.behind(q.address, v)
}
