package sidecar

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/placement"
)

// datagrams exchanges UDP datagrams with other daemons. The senders of load queries
// and pushed records wait for a reply; for other kinds no reply is awaited. A lost datagram
// costs only the wait for its reply.
//
// Every datagram starts with a header: its kind, an id that the reply repeats, and the
// version of the configuration in force at the sender. A daemon that cannot reach the store
// learns of a newer version from the header. The body depends on the kind; see the kind
// constants.
type datagrams struct {
	d    *Daemon
	conn *net.UDPConn

	mu      sync.Mutex
	nextID  uint32
	pending map[uint32]pendingQuery
}

// pendingQuery is a query that waits for its reply.
type pendingQuery struct {
	key     string
	address string
	sent    model.Instant
	// replies receives the reply. If it is nil, onLate is called with the reply instead.
	replies chan<- queryReply
	onLate  func(queryReply)
}

// queryReply is the reply to a query and the time from the query to the reply.
type queryReply struct {
	key       string
	load      placement.Load
	roundTrip time.Duration
}

const (
	// kindLoadQuery queries the load of an upstream. Its body holds the rank and the kind of a
	// request and a hash that identifies the upstream.
	kindLoadQuery = 1
	// kindLoadReply carries the reply to a load query: the load of the upstream, counting as
	// waiting only the requests that would be served before the one described in the query.
	kindLoadReply = 2
	// kindRecordPush pushes one packed record, and kindRecordAck, without a body, acknowledges
	// it.
	kindRecordPush = 3
	kindRecordAck  = 4
	// kindVersion announces a new version of the configuration. Its body is the address to
	// fetch it from.
	kindVersion = 5
	// kindSuspects carries a message of package quarantine about requests that are suspected
	// of crashing upstreams.
	kindSuspects = 6
	// kindHeartbeat is sent by a daemon that watches the store. The body is one byte, 1 if
	// the daemon reaches the store and 0 if not, followed by the daemon's address.
	kindHeartbeat = 7
	// kindRelayedRecords relays, inside a zone, records of daemons of remote zones.
	kindRelayedRecords = 8
	// kindDigest carries a digest of all records. kindSummary replies with a summary of the
	// buckets that differ, kindRecordRequest requests records by the hashes of their addresses,
	// and kindMissingRecords carries records that the receiver lacks or has in an older version.
	kindDigest         = 9
	kindSummary        = 10
	kindRecordRequest  = 11
	kindMissingRecords = 12
	// datagramHeaderBytes is the length of the header. loadQueryBytes and loadReplyBytes are
	// the lengths of whole datagrams of kindLoadQuery and kindLoadReply.
	datagramHeaderBytes = 13
	loadQueryBytes      = datagramHeaderBytes + 5
	loadReplyBytes      = datagramHeaderBytes + 13
	// maxDatagramBytes bounds a datagram so that it fits an Ethernet frame. A record that
	// does not fit is sent over a connection.
	maxDatagramBytes = 1400
	// maxDatagramBody bounds what follows the header.
	maxDatagramBody = maxDatagramBytes - datagramHeaderBytes
)

func newDatagrams(d *Daemon) (*datagrams, error) {
	address, err := net.ResolveUDPAddr("udp4", d.opts.Addresses.PeerBind)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, err
	}
	return &datagrams{d: d, conn: conn, pending: make(map[uint32]pendingQuery)}, nil
}

// String implements fmt.Stringer. The supervisor logs this name.
func (a *datagrams) String() string { return "datagrams" }

// Serve reads datagrams until the context ends.
func (a *datagrams) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, a.close)
	defer stop()
	buf := make([]byte, maxDatagramBytes)
	for {
		n, sender, err := a.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return suture.ErrDoNotRestart
		}
		if err != nil {
			return err
		}
		a.receive(buf[:n], sender)
	}
}

func (a *datagrams) close() { _ = a.conn.Close() }

// announceVersion announces the version in force to some of the other daemons, which announce
// it in turn.
func (a *datagrams) announceVersion() {
	for _, m := range a.d.follower.peerSelector.PushTargets(a.d.peers.reachableMembers(), false) {
		a.sendOneWay(kindVersion, m.Address, []byte(a.d.opts.Addresses.Peers))
	}
}

// sendHeartbeat informs a daemon that this daemon watches the store and whether it reaches
// the store.
func (a *datagrams) sendHeartbeat(address string, reachesStore bool) {
	body := []byte{0}
	if reachesStore {
		body[0] = 1
	}
	a.sendOneWay(kindHeartbeat, address, append(body, a.d.opts.Addresses.Peers...))
}

// sendOneWay sends a datagram that needs no reply. The datagram may be lost.
func (a *datagrams) sendOneWay(kind byte, address string, body []byte) {
	if recipient, err := netip.ParseAddrPort(address); err == nil {
		a.transmit(append(a.header(kind, 0), body...), recipient)
	}
}

// transmit sends a datagram. It ignores send errors, as the datagram could be lost on the way
// as well.
func (a *datagrams) transmit(b []byte, recipient netip.AddrPort) {
	a.d.metrics.traffic.countSent(b)
	_, _ = a.conn.WriteToUDPAddrPort(b, recipient)
}

// header returns the header of a datagram, with capacity for the body of kindLoadReply.
func (a *datagrams) header(kind byte, id uint32) []byte {
	b := binary.BigEndian.AppendUint32(append(make([]byte, 0, loadReplyBytes), kind), id)
	return binary.BigEndian.AppendUint64(b, uint64(a.d.config.version()))
}

const (
	// pushAttempts is how often a record is pushed by datagram before it is sent over a
	// connection. pushAckTimeout bounds the wait for each acknowledgement: a round trip
	// between regions plus a scheduling delay on a busy processor.
	pushAttempts   = 2
	pushAckTimeout = 100 * time.Millisecond
)

// pushRecord sends a record to a daemon and reports whether the daemon acknowledged it.
func (a *datagrams) pushRecord(address string, r Record) bool {
	recipient, err := netip.ParseAddrPort(address)
	if err != nil {
		return false
	}
	bodies := packRecords([]Record{r})
	if len(bodies) != 1 {
		return false
	}
	acks := make(chan queryReply, pushAttempts)
	var ids []uint32
	defer func() { a.cancel(ids) }()
	for range pushAttempts {
		id := a.register(pendingQuery{key: address, address: address, replies: acks})
		ids = append(ids, id)
		a.transmit(append(a.header(kindRecordPush, id), bodies[0]...), recipient)
		select {
		case <-acks:
			return true
		case <-time.After(pushAckTimeout):
		}
	}
	return false
}

// register stores a query until its reply arrives, and returns its id.
func (a *datagrams) register(q pendingQuery) uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nextID++
	q.sent = a.d.now()
	a.pending[a.nextID] = q
	return a.nextID
}

// cancel drops queries that got no reply.
func (a *datagrams) cancel(ids []uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		delete(a.pending, id)
	}
}
