package sidecar

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/quota"
)

// datagrams exchanges UDP datagrams with other daemons. The sender of a load query or of a
// pushed record waits for a reply. Senders of other kinds do not wait. A lost datagram costs
// only the wait for its reply.
//
// Every datagram starts with a header: its kind (1 byte), an id that the reply repeats (4 bytes),
// and the version of the configuration in force at the sender (8 bytes). A daemon that cannot
// reach the configuration store learns of a newer version from the header. The body depends on
// the kind. The kind constants describe it.
type datagrams struct {
	d         *Daemon
	conn      *net.UDPConn
	closeOnce sync.Once

	mu sync.Mutex
	// lastID is the id of the query that was registered last. The first one is random, so that a late reply
	// to the daemon that was at this address before matches no query.
	lastID  uint32
	pending map[uint32]pendingQuery
}

// pendingQuery is a load query or a pushed record that waits for its reply.
type pendingQuery struct {
	// key identifies the queried upstream. For a pushed record, it is the address of the
	// receiver.
	key string
	// address is the address of the daemon that the query or the record was sent to.
	address string
	// replyKind is the kind of the reply. Datagrams of other kinds with the same id are no reply.
	replyKind byte
	// sent is when register was called, just before sending.
	sent model.Instant
	// replies receives the reply. Its buffer has room for it. If replies is nil, the sender does
	// not wait for the reply, and onLate is called with it instead.
	replies chan<- queryReply
	onLate  func(queryReply)
}

// queryReply is the reply to a pendingQuery.
type queryReply struct {
	key string
	// load is the load of the queried upstream. It is empty for a pushed record.
	load      placement.Load
	roundTrip time.Duration
}

const (
	// kindLoadQuery queries the load of an upstream on behalf of a request that may be sent to
	// it. The body holds the rank of the request (its place in the order of priorities), the kind
	// of the request and a hash that identifies the upstream.
	kindLoadQuery = 1
	// kindLoadReply replies to a load query with the load of the upstream. Of the requests that
	// wait for the upstream, the load counts only those that would be served before the request
	// that the query describes.
	kindLoadReply = 2
	// kindRecordPush pushes one packed record.
	kindRecordPush = 3
	// kindRecordAck acknowledges a pushed record. It has no body.
	kindRecordAck = 4
	// kindVersion announces a new version of the configuration. Its body is the address of the
	// daemon to fetch the version from.
	kindVersion = 5
	// kindSuspects carries a message of package core/quarantine about requests that are suspected
	// of crashing upstreams.
	kindSuspects = 6
	// kindHeartbeat is sent by a daemon that watches the configuration store. The body starts with
	// one byte: 1 if the sender reaches the store and 0 if not. The sender's address follows.
	kindHeartbeat = 7
	// kindRelayedRecords carries records of daemons of remote zones. It is sent inside a zone,
	// by a daemon that relays the records.
	kindRelayedRecords = 8
	// kindDigest carries a digest of all records that the sender holds. See antiEntropy.
	kindDigest = 9
	// kindSummary replies to a digest. A digest divides the records into buckets by a hash of the
	// daemon's address, and holds one hash for each bucket. The body is a summary of the records
	// in buckets whose hashes differ between the two daemons.
	kindSummary = 10
	// kindRecordRequest requests the records of daemons. Its body holds the hashes of their
	// addresses.
	kindRecordRequest = 11
	// kindMissingRecords carries records that the receiver lacks or has in an older version.
	kindMissingRecords = 12
	// kindEvacuations carries the newest state of the evacuations that the sender knows, encoded
	// by package evacuation.
	kindEvacuations = 13
	// kindQuotaRequest asks the holder of the quota of a client account for tokens, kindQuotaReply is
	// its reply. The bodies are messages of package core/quota.
	kindQuotaRequest = 14
	kindQuotaReply   = 15
	// kindProbe asks a daemon to acknowledge it, kindProbeReply is the acknowledgement. Neither has a body.
	kindProbe      = 16
	kindProbeReply = 17

	// datagramHeaderBytes is the length of the header, which every datagram starts with.
	datagramHeaderBytes = 13
	// loadQueryBytes is the length of a kindLoadQuery datagram, header included.
	loadQueryBytes = datagramHeaderBytes + 5
	// accountLoadQueryBytes is the length if the request has a client account. Two bytes for the rank
	// and four for the account follow. The ranks of accounts may exceed a byte.
	accountLoadQueryBytes = loadQueryBytes + 6
	// loadReplyBytes is the length of a kindLoadReply datagram, header included.
	loadReplyBytes = datagramHeaderBytes + 13
	// maxDatagramBytes bounds a datagram so that it fits an Ethernet frame. A record that
	// does not fit is sent over a connection.
	maxDatagramBytes = 1400
	// maxDatagramBody bounds the length of the body, which follows the header.
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
	return &datagrams{d: d, conn: conn, lastID: rand.Uint32(), pending: make(map[uint32]pendingQuery)}, nil
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

// close closes the socket. When it returns, to any of its callers, the address is free: of
// several calls of net.UDPConn.Close, only the first waits for sends in progress.
func (a *datagrams) close() { a.closeOnce.Do(func() { _ = a.conn.Close() }) }

// announceVersion announces the version of the configuration in force to some of the other
// daemons. Each of them announces the version in turn once it has put it into force.
func (a *datagrams) announceVersion() {
	for _, m := range a.d.follower.peerSelector.PushTargets(a.d.peers.reachableMembers(), false) {
		a.sendOneWay(kindVersion, m.Address, []byte(a.d.opts.Addresses.Peers))
	}
}

// sendHeartbeat sends a heartbeat to a daemon. The heartbeat says that this daemon watches the
// configuration store, and whether it reaches the store.
func (a *datagrams) sendHeartbeat(address string, reachesStore bool) {
	body := []byte{0}
	if reachesStore {
		body[0] = 1
	}
	a.sendOneWay(kindHeartbeat, address, append(body, a.d.opts.Addresses.Peers...))
}

// sendOneWay sends a datagram and waits for no reply. The datagram may be lost. It is not sent if
// the address is not of the form IP:port.
func (a *datagrams) sendOneWay(kind byte, address string, body []byte) {
	if recipient, err := netip.ParseAddrPort(address); err == nil {
		a.transmit(append(a.header(kind, 0), body...), recipient)
	}
}

// sendQuotaMessage sends a message of the quota limiter.
func (a *datagrams) sendQuotaMessage(address string, k quota.MessageKind, exchange uint32, body []byte) {
	kind := byte(kindQuotaRequest)
	if k == quota.ReplyMessage {
		kind = kindQuotaReply
	}
	if recipient, err := netip.ParseAddrPort(address); err == nil {
		a.transmit(append(a.header(kind, exchange), body...), recipient)
	}
}

// transmit sends a datagram. It ignores send errors, because a datagram can also be lost on the
// way.
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
	// pushAttempts is how many times a record is pushed by datagram before it is sent over a
	// connection.
	pushAttempts = 2
	// pushAckTimeout bounds the wait for each acknowledgement. It allows for a round trip
	// between regions plus a scheduling delay on a busy processor.
	pushAckTimeout = 100 * time.Millisecond
)

// pushRecord sends a record to a daemon by datagram, up to pushAttempts times, and reports whether
// the daemon acknowledged it. A record that does not fit a datagram is not sent.
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
		id := a.register(pendingQuery{key: address, address: address, replyKind: kindRecordAck, replies: acks})
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

// register stores a query until its reply arrives or cancel drops it. It returns the id of the
// query.
func (a *datagrams) register(q pendingQuery) uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	q.sent = a.d.now()
	a.pending[a.lastID] = q
	return a.lastID
}

// cancel drops the queries with the given ids. A query that has got its reply is gone already.
func (a *datagrams) cancel(ids []uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		delete(a.pending, id)
	}
}
