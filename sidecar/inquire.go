package sidecar

import (
	"context"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/core/slots"
)

const (
	// nearWait and farWait bound the wait for answers from the own zone and from
	// others: a few round trips, and a pause of a busy processor.
	localZoneTimeout = 5 * time.Millisecond
	farWait          = 12 * time.Millisecond
	// lateFor is how long an answer is still taken that nobody waits for: several
	// times the way to another region and back.
	lateResponseWindow = 300 * time.Millisecond
	// askRefresh bounds the wait of a guard that must ask its upstream first.
	refreshTimeout = 3 * time.Millisecond
)

// inquiry is a question to the guards of some upstreams.
type inquiry struct {
	ups  []placement.Upstream
	rank int
	kind slots.Kind
	// wait bounds the wait for the answers. Those that come later go to late.
	wait time.Duration
	late func(heard)
	// tooFar reports whether the answer of an upstream cannot come within the wait,
	// as from another region. Nobody waits for it.
	tooFar func(placement.Upstream) bool
}

// loadQuestion asks how an upstream would find a request.
type loadQueryMessage struct {
	rank int
	kind slots.Kind
	// tag stands for the upstream: another one may have its address by now.
	upstreamHash uint16
}

func (i *inquiry) messageFor(up placement.Upstream) loadQueryMessage {
	return loadQueryMessage{rank: i.rank, kind: i.kind, upstreamHash: hashKey(up.Key)}
}

// tagOf returns a number for the key of an upstream that few others have.
func hashKey(key string) uint16 { return uint16(xxhash.Sum64String(key)) }

func (q loadQueryMessage) appendTo(b []byte) []byte {
	b = append(b, uint8(min(max(q.rank, 0), maxUint8)))
	b = binary.BigEndian.AppendUint16(b, uint16(q.kind))
	return binary.BigEndian.AppendUint16(b, q.upstreamHash)
}

// decodeAsk reads the question of a datagram of askBytes.
func decodeLoadQuery(b []byte) loadQueryMessage {
	b = b[headBytes:]
	return loadQueryMessage{
		rank: int(b[0]), kind: slots.Kind(binary.BigEndian.Uint16(b[1:])), upstreamHash: binary.BigEndian.Uint16(b[3:]),
	}
}

// ask returns the answers by key once all that can answer in time have done so, or the
// wait is over.
func (a *datagrams) ask(i inquiry) map[string]heard {
	got := make(map[string]heard, len(i.ups))
	answers := make(chan heard, len(i.ups))
	var ids, far []uint32
	for _, up := range i.ups {
		if string(up.Daemon) == a.d.opts.Addresses.Peers {
			if l, ok := a.d.guard.loadFor(i.messageFor(up)); ok {
				got[up.Key] = heard{key: up.Key, load: l}
			}
			continue
		}
		if i.tooFar(up) {
			a.sendLoadQuery(up, i, nil, &far)
		} else {
			a.sendLoadQuery(up, i, answers, &ids)
		}
	}
	if len(far) > 0 {
		a.redirectLate(far)
	}
	a.collectResponses(answers, ids, got, i)
	return got
}

func (a *datagrams) sendLoadQuery(up placement.Upstream, i inquiry, answers chan<- heard, ids *[]uint32) {
	to, err := netip.ParseAddrPort(string(up.Daemon))
	if err != nil {
		return
	}
	id := a.expect(question{key: up.Key, address: string(up.Daemon), to: answers, late: i.late})
	*ids = append(*ids, id)
	a.transmit(i.messageFor(up).appendTo(a.head(kindAsk, id)), to)
}

func (a *datagrams) collectResponses(answers <-chan heard, ids []uint32, got map[string]heard, i inquiry) {
	if len(ids) == 0 {
		return
	}
	timer := time.NewTimer(i.wait)
	defer timer.Stop()
	for range ids {
		select {
		case h := <-answers:
			got[h.key] = h
		case <-timer.C:
			a.redirectLate(ids)
			return
		}
	}
}

// leave has answers that come late go where they serve the next choices, and forgets
// them after a while.
func (a *datagrams) redirectLate(ids []uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		if q, ok := a.waiting[id]; ok {
			q.to = nil
			a.waiting[id] = q
		}
	}
	time.AfterFunc(lateResponseWindow, func() { a.forget(ids) })
}

// answer tells the load of the own upstream. One that takes no requests, or is not the
// one that is asked about, says nothing, as if it were not there.
func (a *datagrams) sendLoad(id uint32, q loadQueryMessage, to netip.AddrPort) {
	load, ok := a.d.guard.loadFor(q)
	if !ok {
		return
	}
	a.transmit(appendLoad(a.head(kindLoad, id), load), to)
}

// loadFor returns the load as a request would find it, and whether the upstream is the
// one that is asked about and takes requests.
func (g *guard) loadFor(q loadQueryMessage) (placement.Load, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	g.refreshSlowdown(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	cur := g.tracker.Current()
	if g.closed || cur.State != lifecycle.Ready || q.upstreamHash != hashKey(upstreamKey(g.opts.Addresses.Peers, cur.ID)) {
		return placement.Load{}, false
	}
	l := g.load()
	l.Waiting = max(g.queue.Ahead(q.rank, q.kind)-l.Running, 0)
	return l, true
}

const (
	maxUint16 = 1<<16 - 1
	maxUint8  = 1<<8 - 1
)

// appendLoad and decodeLoad write and read a load: five numbers of two bytes, the share
// of failures in hundredths, and two bytes for later.
func appendLoad(b []byte, l placement.Load) []byte {
	for _, n := range []int{l.Running, l.Waiting, l.Limit, int(l.Slow * ratioScale), int(l.SlowAge.Milliseconds())} {
		b = binary.BigEndian.AppendUint16(b, uint16(min(max(n, 0), maxUint16)))
	}
	return binary.BigEndian.AppendUint16(append(b, uint8(min(max(l.Failing*ratioScale, 0), maxUint8))), 0)
}

func decodeLoad(b []byte) placement.Load {
	const first = headBytes
	field := func(i int) int { return int(binary.BigEndian.Uint16(b[first+2*i:])) }
	return placement.Load{
		Running: field(0), Waiting: field(1), Limit: field(2),
		Slow: float64(field(3)) / ratioScale, SlowAge: time.Duration(field(4)) * time.Millisecond,
		Failing: float64(b[first+2*5]) / ratioScale,
	}
}
