package sidecar

import (
	"encoding/binary"
	"net/netip"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/placement"
)

// datagram is a received datagram.
type datagram struct {
	// id is chosen by the sender of a query. The reply has the same id.
	id uint32
	// version is the version of the configuration in force at the sender.
	version model.Version
	sender  netip.AddrPort
	// raw is the whole datagram, including the header.
	raw []byte
}

func (m *datagram) kind() byte { return m.raw[0] }

func (m *datagram) body() []byte { return m.raw[datagramHeaderBytes:] }

// handlerByKind holds the handler of each kind of datagram.
var handlerByKind = map[byte]func(*datagrams, datagram){
	kindLoadQuery:      (*datagrams).handleLoadQuery,
	kindLoadReply:      (*datagrams).handleLoadReply,
	kindRecordPush:     (*datagrams).handleRecordPush,
	kindRecordAck:      func(a *datagrams, m datagram) { a.deliverReply(m, placement.Load{}) },
	kindVersion:        func(a *datagrams, m datagram) { a.d.onPeerVersion(string(m.body()), m.version) },
	kindSuspects:       func(a *datagrams, m datagram) { a.d.quarantine.gossip.Receive(m.sender.String(), m.body()) },
	kindHeartbeat:      (*datagrams).handleHeartbeat,
	kindRelayedRecords: (*datagrams).handleRelayedRecords,
	kindDigest:         func(a *datagrams, m datagram) { a.d.antiEntropy.receiveDigest(m.sender.String(), m.body()) },
	kindSummary:        func(a *datagrams, m datagram) { a.d.antiEntropy.receiveSummary(m.sender.String(), m.body()) },
	kindRecordRequest:  func(a *datagrams, m datagram) { a.d.antiEntropy.sendRequestedRecords(m.sender.String(), m.body()) },
	kindEvacuations:    (*datagrams).handleEvacuations,
	kindQuotaRequest:   func(a *datagrams, m datagram) { a.d.quotas.HandleRequest(m.sender.String(), m.id, m.body()) },
	kindQuotaReply:     func(a *datagrams, m datagram) { a.d.quotas.HandleReply(m.id, m.body()) },
	kindProbe:          func(a *datagrams, m datagram) { a.transmit(a.header(kindProbeReply, m.id), m.sender) },
	kindProbeReply:     func(a *datagrams, m datagram) { a.deliverReply(m, placement.Load{}) },
	kindMissingRecords: func(a *datagrams, m datagram) { a.mergeRecords(unpackRecords(m.body())) },
}

// receive passes a datagram to the handler of its kind. Datagrams of unknown kinds are ignored.
func (a *datagrams) receive(raw []byte, sender netip.AddrPort) {
	if len(raw) < datagramHeaderBytes {
		return
	}
	a.d.metrics.traffic.countReceived(raw)
	m := datagram{id: binary.BigEndian.Uint32(raw[1:]), version: model.Version(binary.BigEndian.Uint64(raw[5:])), sender: sender, raw: raw}
	if handle, ok := handlerByKind[m.kind()]; ok {
		handle(a, m)
	}
}

// handleLoadQuery replies with the load of the local upstream. A query of the wrong length is
// ignored.
func (a *datagrams) handleLoadQuery(m datagram) {
	if len(m.raw) == loadQueryBytes || len(m.raw) == accountLoadQueryBytes {
		go a.sendLoad(m.id, decodeLoadQuery(m.raw), m.sender)
	}
}

// handleLoadReply passes a load reply to the query that waits for it. A reply of the wrong length
// is ignored.
func (a *datagrams) handleLoadReply(m datagram) {
	if len(m.raw) == loadReplyBytes {
		a.deliverReply(m, decodeLoad(m.raw))
	}
}

// handleHeartbeat records the heartbeat of a daemon that watches the store of the configuration.
// The body is a byte, 1 if the sender reaches the store, and the address of the sender. An empty
// body is ignored.
func (a *datagrams) handleHeartbeat(m datagram) {
	body := m.body()
	if len(body) == 0 {
		return
	}
	address := string(body[1:])
	a.d.follower.receiveHeartbeat(address, body[0] == 1)
	a.d.onWatcherVersion(address, m.version)
}

// handleRelayedRecords stores records that another daemon of the zone relayed. It also removes
// them from the records that this daemon is about to relay.
func (a *datagrams) handleRelayedRecords(m datagram) {
	records := unpackRecords(m.body())
	a.d.relay.dropRelayed(records)
	a.mergeRecords(records)
}

// mergeRecords stores records of other daemons. If any of the records is new, other daemons may
// lack it too. The interval between anti-entropy rounds, in which daemons compare their records,
// is then shortened.
func (a *datagrams) mergeRecords(records []Record) {
	if updated := a.d.peers.merge(records); len(updated) > 0 {
		a.d.antiEntropy.speedUp()
	}
}

// handleRecordPush stores the record that another daemon sent about itself, and acknowledges it.
// A datagram that does not hold exactly one record with an address is ignored.
// An outdated record is not acknowledged. Its sender then sends it over a connection, and learns
// from the reply that its clock was set back. New records from remote zones are relayed in the
// local zone.
func (a *datagrams) handleRecordPush(m datagram) {
	records := unpackRecords(m.body())
	if len(records) != 1 || records[0].Address == "" {
		return
	}
	r := records[0]
	if known, ok := a.d.peers.recordOf(r.Address); ok && known.supersedes(&r) {
		return
	}
	for _, updated := range a.d.peers.merge([]Record{r}) {
		if updated.Zone != a.d.opts.Zone {
			a.d.relay.add(updated)
		}
	}
	a.transmit(a.header(kindRecordAck, m.id), m.sender)
}

// deliverReply passes a reply to the query that waits for it. A reply without such a query is
// dropped.
func (a *datagrams) deliverReply(m datagram, l placement.Load) {
	a.mu.Lock()
	q, ok := a.pending[m.id]
	ok = ok && q.replyKind == m.kind()
	if ok {
		delete(a.pending, m.id)
	}
	a.mu.Unlock()
	if !ok {
		return
	}
	a.d.peers.recordContact(q.address, q.sent)
	reply := queryReply{key: q.key, load: l, roundTrip: a.d.now().Sub(q.sent)}
	if q.replies == nil {
		q.onLate(reply)
	} else {
		// Does not block: the channel has a buffer for all replies.
		q.replies <- reply
	}
	a.d.onPeerVersion(q.address, m.version)
}
