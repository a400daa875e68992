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

// datagrams speaks to other daemons by datagram. One asks a guard how loaded its
// upstream is, another tells a daemon a record; each is answered by one. A lost
// datagram costs only the wait for its answer.
//
// All begin with their kind, an id that the answer repeats, and the version of the
// configuration in force, so that a daemon that cannot hear of a newer one from the
// store learns of it. kindAsk is followed by the rank and the kind of the request and a
// number that stands for the upstream, kindLoad by the load as it would find it,
// kindRecord by a packed record, kindNoted by nothing, kindNews by the address where
// a new version can be had.
type datagrams struct {
	d    *Daemon
	conn *net.UDPConn

	mu      sync.Mutex
	nextID  uint32
	waiting map[uint32]question
}

// question is one that waits for its answer.
type question struct {
	key     string
	address string
	sent    model.Instant
	// to is who waits for the answer. Where it is nil, late takes the answer.
	to   chan<- heard
	late func(heard)
}

// heard is an answer, and how long it took.
type heard struct {
	key  string
	load placement.Load
	took time.Duration
}

const (
	kindAsk    = 1
	kindLoad   = 2
	kindRecord = 3
	kindNoted  = 4
	kindNews   = 5
	// kindSuspects carries a message of package quarantine.
	kindSuspects = 6
	// kindHeartbeat comes from a daemon that watches the store. It is followed by a one
	// where that reaches the store, else a zero, and by the daemon's address.
	kindHeartbeat = 7
	// kindRecords carries records of the daemons of other zones, which need no answer.
	kindRecords = 8
	// kindCompare carries a digest of all records, kindSummary which ones there are where
	// digests differ, kindWish asks for some of them, and kindCompared brings some.
	kindCompare  = 9
	kindSummary  = 10
	kindWish     = 11
	kindCompared = 12
	// headBytes is the length of what all begin with; askBytes and loadBytes are
	// the lengths of whole datagrams.
	headBytes = 13
	askBytes  = headBytes + 5
	loadBytes = headBytes + 13
	// maxDatagram bounds a datagram, so that it fits an Ethernet frame. A longer
	// record is sent by connection.
	maxDatagramBytes = 1400
	// datagramRoom is the room for what follows the head.
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

// String names the part.
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

// spread tells some daemons of the configuration in force.
func (a *datagrams) announceVersion() {
	for _, m := range a.d.follower.targets.Push(a.d.peers.members(), false) {
		a.sendOneWay(kindNews, m.Address, []byte(a.d.opts.Addresses.Peers))
	}
}

// heartbeat tells a daemon that this one watches the store.
func (a *datagrams) sendHeartbeat(address string, reaches bool) {
	body := []byte{0}
	if reaches {
		body[0] = 1
	}
	a.sendOneWay(kindHeartbeat, address, append(body, a.d.opts.Addresses.Peers...))
}

// notify sends a datagram that needs no answer. It may be lost.
func (a *datagrams) sendOneWay(kind byte, address string, body []byte) {
	if to, err := netip.ParseAddrPort(address); err == nil {
		a.transmit(append(a.head(kind, 0), body...), to)
	}
}

// transmit sends a datagram. It may be lost, here as on the way.
func (a *datagrams) transmit(b []byte, to netip.AddrPort) {
	a.d.metrics.traffic.sent(b)
	_, _ = a.conn.WriteToUDPAddrPort(b, to)
}

// head returns the beginning of a datagram.
func (a *datagrams) head(kind byte, id uint32) []byte {
	b := binary.BigEndian.AppendUint32(append(make([]byte, 0, loadBytes), kind), id)
	return binary.BigEndian.AppendUint64(b, uint64(a.d.config.version()))
}

const (
	// tellTries is how often a record is sent by datagram before a connection is
	// tried, and tellWait the wait for each answer: a round trip between regions
	// and a pause of a busy processor.
	pushAttempts   = 2
	pushAckTimeout = 100 * time.Millisecond
)

// tell sends a record to a daemon and reports whether that has noted it.
func (a *datagrams) pushRecord(address string, r Record) bool {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return false
	}
	bodies := packRecords([]Record{r})
	if len(bodies) != 1 {
		return false
	}
	answers := make(chan heard, pushAttempts)
	var ids []uint32
	defer func() { a.forget(ids) }()
	for range pushAttempts {
		id := a.expect(question{key: address, address: address, to: answers})
		ids = append(ids, id)
		a.transmit(append(a.head(kindRecord, id), bodies[0]...), to)
		select {
		case <-answers:
			return true
		case <-time.After(pushAckTimeout):
		}
	}
	return false
}

// expect notes a question and returns its id.
func (a *datagrams) expect(q question) uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nextID++
	q.sent = a.d.now()
	a.waiting[a.nextID] = q
	return a.nextID
}

// forget ends the wait for answers that did not come.
func (a *datagrams) forget(ids []uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		delete(a.waiting, id)
	}
}
