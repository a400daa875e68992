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

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/placement"
)

// asks puts the question how loaded an upstream is to its guard, by datagram: one
// each way, some twenty bytes. A lost one costs only the wait for it.
//
// A question is kindAsk, an id and a rank; an answer is kindLoad, the id and the
// load as a request of that rank would find it.
type asks struct {
	d    *Daemon
	conn *net.UDPConn

	mu      sync.Mutex
	nextID  uint32
	waiting map[uint32]question
}

// question is one that waits for its answer.
type question struct {
	key string
	to  chan<- heard
}

// heard is an answer.
type heard struct {
	key  string
	load placement.Load
}

const (
	kindAsk  = 1
	kindLoad = 2
	// askBytes and loadBytes are the lengths of the datagrams.
	askBytes  = 6
	loadBytes = 18
	// maxDatagram is more than any of them.
	maxDatagram = 64
	// nearWait and farWait bound the wait for answers from the own zone and from
	// others: a few round trips, and a pause of a busy processor.
	nearWait = 5 * time.Millisecond
	farWait  = 12 * time.Millisecond
	// askRefresh bounds the wait of a guard that must ask its upstream first.
	askRefresh = 3 * time.Millisecond
)

func newAsks(d *Daemon) (*asks, error) {
	address, err := net.ResolveUDPAddr("udp4", d.opts.Addresses.PeerBind)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, err
	}
	return &asks{d: d, conn: conn, waiting: make(map[uint32]question)}, nil
}

// String names the part.
func (a *asks) String() string { return "asks" }

// Serve reads datagrams until the context ends.
func (a *asks) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, a.close)
	defer stop()
	buf := make([]byte, maxDatagram)
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

func (a *asks) close() { _ = a.conn.Close() }

func (a *asks) receive(b []byte, from netip.AddrPort) {
	switch {
	case len(b) == askBytes && b[0] == kindAsk:
		id, rank := binary.BigEndian.Uint32(b[1:]), int(b[5])
		go a.answer(id, rank, from)
	case len(b) == loadBytes && b[0] == kindLoad:
		a.hear(binary.BigEndian.Uint32(b[1:]), b)
	}
}

// answer tells the load of the own upstream. One that takes no requests says
// nothing, as if it were not there.
func (a *asks) answer(id uint32, rank int, to netip.AddrPort) {
	load, ok := a.d.guard.loadFor(rank)
	if !ok {
		return
	}
	_, _ = a.conn.WriteToUDPAddrPort(encodeLoad(id, load), to)
}

// loadFor returns the load as a request of a rank would find it, and whether
// requests are taken at all.
func (g *guard) loadFor(rank int) (placement.Load, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), askRefresh)
	defer cancel()
	g.refresh(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || g.tracker.Current().State != lifecycle.Ready {
		return placement.Load{}, false
	}
	l := g.load()
	l.Waiting = max(g.queue.Ahead(rank)-l.Running, 0)
	return l, true
}

const (
	maxUint16 = 1<<16 - 1
	maxUint8  = 1<<8 - 1
)

func encodeLoad(id uint32, l placement.Load) []byte {
	b := append(make([]byte, 0, loadBytes), kindLoad)
	b = binary.BigEndian.AppendUint32(b, id)
	for _, n := range []int{l.Running, l.Waiting, l.Limit, int(l.Slow * hundred), int(l.SlowAge.Milliseconds())} {
		b = binary.BigEndian.AppendUint16(b, uint16(min(max(n, 0), maxUint16)))
	}
	return binary.BigEndian.AppendUint16(append(b, uint8(min(max(l.Failing*hundred, 0), maxUint8))), 0)
}

func decodeLoad(b []byte) placement.Load {
	const first = 5
	field := func(i int) int { return int(binary.BigEndian.Uint16(b[first+2*i:])) }
	return placement.Load{
		Running: field(0), Waiting: field(1), Limit: field(2),
		Slow: float64(field(3)) / hundred, SlowAge: time.Duration(field(4)) * time.Millisecond,
		Failing: float64(b[first+2*5]) / hundred,
	}
}

// hear hands an answer to who waits for it.
func (a *asks) hear(id uint32, b []byte) {
	a.mu.Lock()
	q, ok := a.waiting[id]
	delete(a.waiting, id)
	a.mu.Unlock()
	if ok {
		// The channel has room for every answer.
		q.to <- heard{key: q.key, load: decodeLoad(b)}
	}
}

// ask asks the guards of the upstreams, and returns the loads by key once all
// have answered or the wait is over.
func (a *asks) ask(ups []placement.Upstream, rank int, wait time.Duration) map[string]placement.Load {
	loads := make(map[string]placement.Load, len(ups))
	answers := make(chan heard, len(ups))
	var ids []uint32
	for _, up := range ups {
		if string(up.Daemon) == a.d.opts.Addresses.Peers {
			if l, ok := a.d.guard.loadFor(rank); ok {
				loads[up.Key] = l
			}
			continue
		}
		a.send(up, rank, answers, &ids)
	}
	a.collect(answers, ids, loads, wait)
	return loads
}

func (a *asks) send(up placement.Upstream, rank int, answers chan<- heard, ids *[]uint32) {
	to, err := netip.ParseAddrPort(string(up.Daemon))
	if err != nil {
		return
	}
	a.mu.Lock()
	a.nextID++
	id := a.nextID
	a.waiting[id] = question{key: up.Key, to: answers}
	a.mu.Unlock()
	*ids = append(*ids, id)
	b := binary.BigEndian.AppendUint32([]byte{kindAsk}, id)
	_, _ = a.conn.WriteToUDPAddrPort(append(b, uint8(min(max(rank, 0), maxUint8))), to)
}

func (a *asks) collect(answers <-chan heard, ids []uint32, loads map[string]placement.Load, wait time.Duration) {
	if len(ids) == 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for range ids {
		select {
		case h := <-answers:
			loads[h.key] = h.load
		case <-timer.C:
			a.forget(ids)
			return
		}
	}
}

// forget ends the wait for answers that did not come.
func (a *asks) forget(ids []uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		delete(a.waiting, id)
	}
}
