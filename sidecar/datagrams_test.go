package sidecar

import (
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/core/route"
)

// TestLateLoadRepliesAreRecorded queries the load of a guard that is further away than the
// timeout allows, for example in another region. queryLoads must return without the load. When
// the reply arrives, its load must be passed to onLate, once even if the reply is repeated.
func TestLateLoadRepliesAreRecorded(t *testing.T) {
	for name, c := range map[string]struct {
		timeout time.Duration
		tooFar  bool
	}{
		"later than the timeout":   {time.Millisecond, false},
		"known to be too far away": {time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) { queryDistantGuard(t, c.timeout, c.tooFar) })
	}
}

// queryDistantGuard queries the load of a guard that replies only after queryLoads has returned,
// and then replies twice. It checks the contents of the query and that onLate gets one reply.
func queryDistantGuard(t *testing.T, timeout time.Duration, tooFar bool) {
	d := startReady(t, newStore(documentOf(1, "a")), "a", "a1")
	remote, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = remote.Close() }()
	up := placement.Upstream{Key: "far", Daemon: model.DaemonID(remote.LocalAddr().String())}
	lateLoads := make(chan placement.Load, 1)
	replies := d.datagrams.queryLoads(loadQuery{
		upstreams: []placement.Upstream{up}, rank: 2, kind: 7, timeout: timeout,
		tooFar: func(placement.Upstream) bool { return tooFar },
		onLate: func(q queryReply) {
			require.Equal(t, "far", q.key)
			require.Positive(t, q.roundTrip)
			lateLoads <- q.load
		},
	})
	require.Empty(t, replies)

	buf := make([]byte, maxDatagramBytes)
	n, sender, err := remote.ReadFromUDPAddrPort(buf)
	require.NoError(t, err)
	require.Equal(t, loadQueryBytes, n)
	require.EqualValues(t, 2, buf[datagramHeaderBytes], "rank")
	require.EqualValues(t, 7, binary.BigEndian.Uint16(buf[datagramHeaderBytes+1:]), "kind")
	reply := append([]byte{kindLoadReply}, buf[1:datagramHeaderBytes]...)
	want := placement.Load{Running: 3, Waiting: 1, Limit: 4, Slowdown: 1.5}
	for range 2 {
		_, err = remote.WriteToUDPAddrPort(appendLoad(reply[:datagramHeaderBytes:datagramHeaderBytes], want), sender)
		require.NoError(t, err)
	}
	require.Equal(t, want, <-lateLoads)
	require.Empty(t, lateLoads, "a duplicate reply is ignored")
}

// TestRepliesToAnEarlierDaemonAreDropped guards against a reply that is taken for that to another query. It was
// sent to the daemon that was at this address before, and arrives late, as from a VM that was suspended.
func TestRepliesToAnEarlierDaemonAreDropped(t *testing.T) {
	firstID := func() uint32 {
		o := optionsFor(t, newStore(documentOf(1, "a")), newUpstream(t, "a1"), "a")
		o.Addresses.PeerBind = o.Addresses.Peers
		a, err := newDatagrams(&Daemon{opts: o})
		require.NoError(t, err)
		defer a.close()
		return a.register(pendingQuery{})
	}
	require.NotEqual(t, firstID(), firstID())
}

// TestRepliesOfAnotherKindAreDropped guards against a load reply that acknowledges a record, and the other way round.
func TestRepliesOfAnotherKindAreDropped(t *testing.T) {
	m := startReady(t, newStore(documentOf(1, "a")), "a", "a1")
	replies := make(chan queryReply, 2)
	for _, c := range []struct{ kind, other byte }{{kindLoadReply, kindRecordAck}, {kindRecordAck, kindLoadReply}} {
		id := m.datagrams.register(pendingQuery{address: m.opts.Addresses.Peers, replyKind: c.kind, replies: replies})
		receive := func(kind byte) {
			raw := m.datagrams.header(kind, id)
			if kind == kindLoadReply {
				raw = appendLoad(raw, placement.Load{Limit: 1})
			}
			m.datagrams.receive(raw, netip.AddrPort{})
		}
		receive(c.other)
		require.Empty(t, replies)
		receive(c.kind)
		require.Len(t, replies, 1)
		<-replies
	}
}

// TestDistantGuardsAreNotMarkedSilent queries a guard that does not reply within the timeout. If
// its measured round-trip time is too long for a reply in time, the guard must stay among those
// queried for the next request. If it should have replied, it must not.
func TestDistantGuardsAreNotMarkedSilent(t *testing.T) {
	for name, c := range map[string]struct {
		roundTrip time.Duration
		want      []string
	}{
		"known to be far":           {4 * remoteZoneTimeout, []string{"far", "other"}},
		"near enough, but no reply": {remoteZoneTimeout / 4, []string{"other"}},
	} {
		t.Run(name, func(t *testing.T) {
			d := startReady(t, newStore(documentOf(1, "a")), "a", "a1")
			s := d.entry.serviceStateOf("elsewhere")
			s.placer.SetUpstreams([]placement.Upstream{
				{Key: "far", Zone: "abroad", Daemon: model.DaemonID(unusedAddress(t))},
				{Key: "other", Zone: "third", Daemon: model.DaemonID(unusedAddress(t))},
			})
			s.placer.ObserveRTT("far", c.roundTrip)
			s.responded["far"] = true
			r := &forwarder{entry: d.entry, serviceState: s, request: &request{route: &route.Route{}}}
			req := placement.Request{ServiceTime: time.Millisecond}
			s.mu.Lock()
			defer s.mu.Unlock()
			r.queryLoads(req, false, 2, remoteZoneTimeout)
			var queried []string
			for _, up := range s.placer.QueryTargets(d.now(), req, false, 0, 2) {
				queried = append(queried, up.Key)
			}
			require.ElementsMatch(t, c.want, queried)
		})
	}
}

// TestDatagramSocketIsClosedOnce guards against a restarted daemon that cannot bind its address:
// of two callers of close, the second one returned while a send of the first still held the socket.
func TestDatagramSocketIsClosedOnce(t *testing.T) {
	o := optionsFor(t, newStore(documentOf(1, "a")), newUpstream(t, "a1"), "a")
	o.Addresses.PeerBind = o.Addresses.Peers
	a, err := newDatagrams(&Daemon{opts: o})
	require.NoError(t, err)
	raw, err := a.conn.SyscallConn()
	require.NoError(t, err)
	inUse, released := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	defer release()
	go func() { _ = raw.Control(func(uintptr) { close(inUse); <-released }) }()
	<-inUse
	go a.close()
	eventually(t, "the first close has begun", func() bool {
		_, err := a.conn.WriteToUDPAddrPort(nil, netip.MustParseAddrPort(o.Addresses.Peers))
		return errors.Is(err, net.ErrClosed)
	})
	bindErr := make(chan error, 1)
	go func() {
		a.close()
		next, err := newDatagrams(&Daemon{opts: o})
		if err == nil {
			next.close()
		}
		bindErr <- err
	}()
	select {
	case err = <-bindErr:
	case <-time.After(50 * time.Millisecond): // the second close waits, as it should
		release()
		err = <-bindErr
	}
	require.NoError(t, err)
}

// TestLoadQueriesOfAccounts checks that a load query names the client account of the request, with a
// rank that a byte does not hold, and that it has the bytes of a query without accounts if there is none.
func TestLoadQueriesOfAccounts(t *testing.T) {
	header := make([]byte, datagramHeaderBytes)
	without := loadQueryMessage{rank: 2, kind: 7, upstreamHash: 9}
	encoded := without.appendTo(header)
	require.Equal(t, []byte{2, 0, 7, 0, 9}, encoded[datagramHeaderBytes:])
	require.Len(t, encoded, loadQueryBytes)
	require.Equal(t, without, decodeLoadQuery(encoded))

	with := loadQueryMessage{rank: 700, kind: 7, account: 1 << 30, upstreamHash: 9}
	encoded = with.appendTo(header)
	require.Len(t, encoded, accountLoadQueryBytes)
	require.Equal(t, with, decodeLoadQuery(encoded))
}
