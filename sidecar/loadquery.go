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
	// localZoneTimeout limits the wait for load replies from the local availability zone. It
	// allows for a few round trips and a scheduling delay on a busy processor.
	localZoneTimeout = 5 * time.Millisecond
	// remoteZoneTimeout limits the wait for load replies from remote availability zones. It also
	// allows for a few round trips and a scheduling delay.
	remoteZoneTimeout = 12 * time.Millisecond
	// lateReplyWindow is how long late replies are accepted after the wait for replies has
	// ended. It is several round-trip times to another region.
	lateReplyWindow = 300 * time.Millisecond
	// refreshTimeout limits how long a guard delays its load reply while it waits for a
	// health response of its upstream.
	refreshTimeout = 3 * time.Millisecond
)

// loadQuery asks the guards of several upstreams for their loads.
type loadQuery struct {
	upstreams []placement.Upstream
	// rank is the rank of the request for which an upstream is to be chosen.
	rank int
	// kind identifies the route of that request.
	kind slots.Kind
	// account identifies the client account of that request, zero if it has none.
	account slots.Account
	// timeout limits the wait for replies.
	timeout time.Duration
	// onLate is called with each reply that arrives after the wait has ended, for at most
	// lateReplyWindow.
	onLate func(queryReply)
	// tooFar reports whether the reply about an upstream cannot arrive within the timeout, for
	// instance because the upstream is in another region. queryLoads does not wait for such a
	// reply. When the reply arrives, it is passed to onLate.
	tooFar func(placement.Upstream) bool
}

// loadQueryMessage asks for the load of an upstream as a request of the given rank, kind
// and account would find it.
type loadQueryMessage struct {
	rank    int
	kind    slots.Kind
	account slots.Account
	// upstreamHash identifies the upstream. A different upstream may use the address by the time
	// the message arrives.
	upstreamHash uint16
}

// messageFor returns the message to the guard of an upstream.
func (q *loadQuery) messageFor(up placement.Upstream) loadQueryMessage {
	return loadQueryMessage{rank: q.rank, kind: q.kind, account: q.account, upstreamHash: hashUpstreamKey(up.Key)}
}

// hashUpstreamKey returns a 16-bit hash of the key of an upstream.
func hashUpstreamKey(key string) uint16 { return uint16(xxhash.Sum64String(key)) }

// appendTo appends the encoded message to b. If there is an account, the rank is repeated in two bytes and
// the account follows. Only ranks of accounts can exceed a byte.
func (q loadQueryMessage) appendTo(b []byte) []byte {
	b = append(b, uint8(min(max(q.rank, 0), maxUint8)))
	b = binary.BigEndian.AppendUint16(b, uint16(q.kind))
	b = binary.BigEndian.AppendUint16(b, q.upstreamHash)
	if q.account == 0 {
		return b
	}
	b = binary.BigEndian.AppendUint16(b, uint16(min(max(q.rank, 0), maxUint16)))
	return binary.BigEndian.AppendUint32(b, uint32(q.account))
}

// decodeLoadQuery parses a datagram of length loadQueryBytes or accountLoadQueryBytes.
func decodeLoadQuery(b []byte) loadQueryMessage {
	b = b[datagramHeaderBytes:]
	q := loadQueryMessage{
		rank: int(b[0]), kind: slots.Kind(binary.BigEndian.Uint16(b[1:])), upstreamHash: binary.BigEndian.Uint16(b[3:]),
	}
	if len(b) == accountLoadQueryBytes-datagramHeaderBytes {
		q.rank, q.account = int(binary.BigEndian.Uint16(b[5:])), slots.Account(binary.BigEndian.Uint32(b[7:]))
	}
	return q
}

// queryLoads sends a load query and returns the replies by upstream key. It waits until all
// guards that are not too far away have replied, or until the timeout expires.
func (a *datagrams) queryLoads(query loadQuery) map[string]queryReply {
	replies := make(map[string]queryReply, len(query.upstreams))
	incoming := make(chan queryReply, len(query.upstreams))
	var ids, lateIDs []uint32
	for _, up := range query.upstreams {
		if string(up.Daemon) == a.d.opts.Addresses.Peers {
			if l, ok := a.d.guard.loadFor(query.messageFor(up)); ok {
				replies[up.Key] = queryReply{key: up.Key, load: l}
			}
			continue
		}
		if query.tooFar(up) {
			a.sendLoadQuery(up, query, nil, &lateIDs)
		} else {
			a.sendLoadQuery(up, query, incoming, &ids)
		}
	}
	if len(lateIDs) > 0 {
		a.redirectLateReplies(lateIDs)
	}
	a.collectReplies(incoming, ids, replies, query)
	return replies
}

// sendLoadQuery sends a load query to the guard of an upstream and appends the id of the
// datagram to ids. The reply goes to the channel replies, or to query.onLate if replies is nil.
// If the address of the guard is invalid, nothing is sent.
func (a *datagrams) sendLoadQuery(up placement.Upstream, query loadQuery, replies chan<- queryReply, ids *[]uint32) {
	recipient, err := netip.ParseAddrPort(string(up.Daemon))
	if err != nil {
		return
	}
	id := a.register(pendingQuery{key: up.Key, address: string(up.Daemon), replyKind: kindLoadReply, replies: replies, onLate: query.onLate})
	*ids = append(*ids, id)
	a.transmit(query.messageFor(up).appendTo(a.header(kindLoadQuery, id)), recipient)
}

// collectReplies waits for the replies to the queries with the given ids and stores them in
// replies by upstream key. When the timeout of the query expires first, collectReplies returns,
// and later replies are passed to onLate.
func (a *datagrams) collectReplies(incoming <-chan queryReply, ids []uint32, replies map[string]queryReply, query loadQuery) {
	if len(ids) == 0 {
		return
	}
	timer := time.NewTimer(query.timeout)
	defer timer.Stop()
	for range ids {
		select {
		case reply := <-incoming:
			replies[reply.key] = reply
		case <-timer.C:
			a.redirectLateReplies(ids)
			return
		}
	}
}

// redirectLateReplies passes replies to the queries with the given ids to onLate from now on.
// After lateReplyWindow, it cancels the queries.
func (a *datagrams) redirectLateReplies(ids []uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		if pending, ok := a.pending[id]; ok {
			pending.replies = nil
			a.pending[id] = pending
		}
	}
	time.AfterFunc(lateReplyWindow, func() { a.cancel(ids) })
}

// sendLoad replies to a load query with the load of the local upstream. It sends nothing if the
// query is for another upstream or the local upstream is not ready. To the sender, the daemon
// then appears to be unreachable.
func (a *datagrams) sendLoad(id uint32, q loadQueryMessage, recipient netip.AddrPort) {
	load, ok := a.d.guard.loadFor(q)
	if !ok {
		return
	}
	a.transmit(appendLoad(a.header(kindLoadReply, id), load), recipient)
}

// loadFor returns the load of the local upstream as the request of the query would find it. It
// returns false if the query is for another upstream, the local upstream is not ready or its zone is
// evacuated. It also returns false if the guard lets no further call start.
func (g *guard) loadFor(q loadQueryMessage) (placement.Load, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	g.refreshSlowdown(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.tracker.Current()
	if g.closed || g.evacuated || current.State != lifecycle.Ready || q.upstreamHash != hashUpstreamKey(upstreamKey(g.opts.Addresses.Peers, current.ID)) {
		return placement.Load{}, false
	}
	l := g.load()
	l.Waiting = max(g.queue.Ahead(slots.Position{Rank: q.rank, Kind: q.kind, Account: q.account, Weight: g.accountWeight(q.account)})-l.Running, 0)
	l.StartDelay = g.queue.StartDelay(g.now(), l.Waiting)
	return l, true
}

const (
	maxUint16 = 1<<16 - 1
	maxUint8  = 1<<8 - 1
)

// appendLoad appends an encoded load to b. Running, Waiting, Limit, the slowdown in hundredths
// and its age in milliseconds take 16 bits each. A byte for the failure rate in hundredths and 16
// bits for StartDelay in milliseconds follow. Numbers that do not fit are replaced by the largest
// that does.
func appendLoad(b []byte, l placement.Load) []byte {
	for _, n := range []int{l.Running, l.Waiting, l.Limit, int(l.Slowdown * ratioScale), int(l.SlowdownAge.Milliseconds())} {
		b = binary.BigEndian.AppendUint16(b, uint16(min(max(n, 0), maxUint16)))
	}
	b = append(b, uint8(min(max(l.FailureRate*ratioScale, 0), maxUint8)))
	return binary.BigEndian.AppendUint16(b, uint16(min(max(l.StartDelay.Milliseconds(), 0), maxUint16)))
}

// decodeLoad parses the load in a load reply. b is the whole datagram.
func decodeLoad(b []byte) placement.Load {
	const bodyStart = datagramHeaderBytes
	field := func(i int) int { return int(binary.BigEndian.Uint16(b[bodyStart+2*i:])) }
	return placement.Load{
		Running: field(0), Waiting: field(1), Limit: field(2),
		Slowdown: float64(field(3)) / ratioScale, SlowdownAge: time.Duration(field(4)) * time.Millisecond,
		FailureRate: float64(b[bodyStart+2*5]) / ratioScale,
		StartDelay:  time.Duration(binary.BigEndian.Uint16(b[bodyStart+2*5+1:])) * time.Millisecond,
	}
}
