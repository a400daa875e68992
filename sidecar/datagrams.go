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

// datagrams exchanges UDP datagrams with other daemons. Load queries and pushed records are
// answered by a reply; nobody waits for a reply to any other kind. A lost datagram costs only
// the wait for its reply.
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
	waiting map[uint32]question
}

// question is a query that waits for its reply.
type question struct {
	key     string
	address string
	sent    model.Instant
	// to receives the reply. If it is nil, late is called with the reply instead.
	to   chan<- heard
	late func(heard)
}

// heard is the reply to a query and the time from the query to the reply.
type heard struct {
	key  string
	load placement.Load
	took time.Duration
}

const (
	// kindAsk queries the load of an upstream. Its body holds the rank and the kind of a
	// request and a hash that identifies the upstream.
	kindAsk = 1
	// kindLoad replies to kindAsk with the load that such a request would find.
	kindLoad = 2
	// kindRecord pushes one packed record, and kindNoted, without a body, acknowledges it.
	kindRecord = 3
	kindNoted  = 4
	// kindNews announces a new version of the configuration. Its body is the address to fetch
	// it from.
	kindNews = 5
	// kindSuspects carries a message of package quarantine about requests that are suspected
	// of crashing upstreams.
	kindSuspects = 6
	// kindHeartbeat is sent by a daemon that watches the store. The body is one byte, 1 if
	// the daemon reaches the store and 0 if not, followed by the daemon's address.
	kindHeartbeat = 7
	// kindRecords relays, inside a zone, records of daemons of remote zones.
	kindRecords = 8
	// kindCompare carries a digest of all records. kindSummary replies with a summary of
	// the buckets that differ, kindWish requests records by the hashes of their addresses,
	// and kindCompared carries records that the receiver lacks or has in an older version.
	kindCompare  = 9
	kindSummary  = 10
	kindWish     = 11
	kindCompared = 12
	// headBytes is the length of the header. askBytes and loadBytes are the lengths of whole
	// datagrams of kindAsk and kindLoad.
	headBytes = 13
	askBytes  = headBytes + 5
	loadBytes = headBytes + 13
	// maxDatagramBytes bounds a datagram so that it fits an Ethernet frame. A record that
	// does not fit is sent over a connection.
	maxDatagramBytes = 1400
	// maxDatagramBody bounds what follows the header.
	maxDatagramBody = maxDatagramBytes - headBytes
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
	return &datagrams{d: d, conn: conn, waiting: make(map[uint32]question)}, nil
}

// String implements fmt.Stringer. The supervisor logs this name.
func (a *datagrams) String() string { return "datagrams" }

// Serve reads datagrams until the context ends.
func (a *datagrams) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, a.close)
	defer stop()
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := a.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return suture.ErrDoNotRestart
		}
		if err != nil {
			return err
		}
		a.receive(buf[:n], from)
	}
}

func (a *datagrams) close() { _ = a.conn.Close() }

// announceVersion announces the version in force to some of the other daemons, which announce
// it in turn.
func (a *datagrams) announceVersion() {
	for _, m := range a.d.follower.targets.PushTargets(a.d.peers.members(), false) {
		a.sendOneWay(kindNews, m.Address, []byte(a.d.opts.Addresses.Peers))
	}
}

// sendHeartbeat informs a daemon that this daemon watches the store and whether it reaches
// the store.
func (a *datagrams) sendHeartbeat(address string, reaches bool) {
	body := []byte{0}
	if reaches {
		body[0] = 1
	}
	a.sendOneWay(kindHeartbeat, address, append(body, a.d.opts.Addresses.Peers...))
}

// sendOneWay sends a datagram that needs no reply. The datagram may be lost.
func (a *datagrams) sendOneWay(kind byte, address string, body []byte) {
	if to, err := netip.ParseAddrPort(address); err == nil {
		a.transmit(append(a.head(kind, 0), body...), to)
	}
}

// transmit sends a datagram. It ignores send errors, as the datagram could be lost on the way
// as well.
func (a *datagrams) transmit(b []byte, to netip.AddrPort) {
	a.d.metrics.traffic.sent(b)
	_, _ = a.conn.WriteToUDPAddrPort(b, to)
}

// head returns the header of a datagram, with capacity for the body of kindLoad.
func (a *datagrams) head(kind byte, id uint32) []byte {
	b := binary.BigEndian.AppendUint32(append(make([]byte, 0, loadBytes), kind), id)
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
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return false
	}
	bodies := packRecords([]Record{r})
	if len(bodies) != 1 {
		return false
	}
	acks := make(chan heard, pushAttempts)
	var ids []uint32
	defer func() { a.forget(ids) }()
	for range pushAttempts {
		id := a.expect(question{key: address, address: address, to: acks})
		ids = append(ids, id)
		a.transmit(append(a.head(kindRecord, id), bodies[0]...), to)
		select {
		case <-acks:
			return true
		case <-time.After(pushAckTimeout):
		}
	}
	return false
}

// expect stores a query until its reply arrives, and returns its id.
func (a *datagrams) expect(q question) uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nextID++
	q.sent = a.d.now()
	a.waiting[a.nextID] = q
	return a.nextID
}

// forget drops queries that got no reply.
func (a *datagrams) forget(ids []uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		delete(a.waiting, id)
	}
}
