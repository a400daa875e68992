package controltest_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/bubble"
	"github.com/dottereltiller/dottereltiller/configuration"
	"github.com/dottereltiller/dottereltiller/controltest"
	"github.com/dottereltiller/dottereltiller/core/member"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/membership"
	"github.com/dottereltiller/dottereltiller/peer"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

// fleet is a number of daemons. Each consists only of its control plane:
// configuration, membership and the exchange between peers.
type fleet struct {
	ctx                  context.Context
	log                  *recordlog.FaultyLog
	network              *controltest.Network
	nodes                []*node
	logReads, logAppends atomic.Int64

	mu sync.Mutex
	// inForceAt holds, for each version, the times at which daemons put the
	// version in force.
	inForceAt map[model.Version][]time.Time
}

type node struct {
	peer.Peer
	logConn     *controltest.LogConnection
	store       *configuration.Store
	registry    *membership.Registry
	exchanger   *peer.Exchanger
	cancel      context.CancelFunc
	incarnation uint64
}

const nZones = 5

func zone(i int) model.AvailabilityZone { return model.AvailabilityZone(fmt.Sprint("zone-", i%nZones)) }

func newFleet(ctx context.Context, size int) *fleet {
	f := &fleet{ctx: ctx, network: controltest.NewNetwork(500 * time.Microsecond), inForceAt: map[model.Version][]time.Time{}}
	f.log = recordlog.NewFaultyLog(&recordlog.Memory{})
	f.log.SetFaults(recordlog.Faults{Latency: 5 * time.Millisecond})
	for i := range size {
		n := &node{Peer: peer.Peer{ID: model.DaemonID(fmt.Sprintf("10.0.%d.%d:7001", i/256, i%256)), Zone: zone(i)},
			logConn: &controltest.LogConnection{Log: f.log, Reads: &f.logReads, Appends: &f.logAppends}}
		f.nodes = append(f.nodes, n)
	}
	return f
}

// start starts or restarts daemon i with empty state, and announces its upstream.
func (f *fleet) start(i int) {
	n := f.nodes[i]
	ctx, cancel := context.WithCancel(f.ctx)
	n.cancel = cancel
	n.incarnation++
	seed := uint64(i)<<20 | n.incarnation
	var exchanger *peer.Exchanger
	var registry *membership.Registry
	isLogReader := func() bool {
		return time.Since(exchanger.LastRoundTime()) > 4*time.Second || peer.IsLogReader(n.ID, n.Zone, registry.Peers())
	}
	onUpdate := func() { exchanger.TriggerRound() }
	endpoint := f.network.Endpoint(n.ID)
	store := configuration.NewStore(configuration.Options{Log: n.logConn, IsLogReader: isLogReader, OnUpdate: onUpdate, Seed: seed})
	registry = membership.NewRegistry(membership.Options{Self: n.ID, Zone: n.Zone, Log: n.logConn, Pinger: endpoint,
		IsLogReader: isLogReader, OnUpdate: onUpdate, Seed: seed, MaxUpstreams: 1 << 20})
	exchanger = peer.NewExchanger(peer.Options{Self: n.ID, Zone: n.Zone, Transport: endpoint, Seed: seed,
		Peers: registry.Peers, Unreachable: registry.DeadPeers, OnResult: registry.RecordExchange})
	exchanger.Register(store.Topic())
	exchanger.Register(registry.Topic())
	store.OnChange(func(c *configuration.InForce) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.inForceAt[c.Version] = append(f.inForceAt[c.Version], time.Now())
	})
	f.network.Attach(n.Peer, &peer.Service{Exchanger: exchanger, Ping: registry.HandlePing})
	n.store, n.registry, n.exchanger = store, registry, exchanger
	for _, server := range []interface{ Serve(context.Context) error }{store, registry, exchanger} {
		go func() { _ = server.Serve(ctx) }()
	}
	upstream := model.Upstream{ID: model.UpstreamID(fmt.Sprintf("service-%d-%d", i/22, i)), Service: "s", Zone: n.Zone,
		Daemon: n.ID, Slots: 6, Incarnation: model.Incarnation(n.incarnation)}
	registry.Announce(member.Event{Upstream: upstream, State: member.Joined}, 0)
}

// kill stops daemon i and makes it unreachable.
func (f *fleet) kill(i int) {
	f.nodes[i].cancel()
	f.network.Attach(f.nodes[i].Peer, nil)
}

// disconnectLog disconnects the daemons of a zone from the log, or reconnects them.
func (f *fleet) disconnectLog(z model.AvailabilityZone, disconnected bool) {
	for _, n := range f.nodes {
		if n.Zone == z {
			n.logConn.SetDisconnected(disconnected)
		}
	}
}

func (f *fleet) allUpstreamsSeenByAll() bool {
	for _, n := range f.nodes {
		if ups, _ := n.registry.Upstreams("s"); len(ups) != len(f.nodes) {
			return false
		}
	}
	return true
}

// waitFor polls until a condition holds, and returns how long that took. It fails the
// test if the condition does not hold within the given time.
func (f *fleet) waitFor(t *testing.T, within time.Duration, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		require.Less(t, time.Since(start), within)
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

// runWithFleet starts a fleet in virtual time, waits until every daemon sees all
// upstreams and then 30 seconds more, and runs a test on the fleet.
func runWithFleet(t *testing.T, size int, test func(t *testing.T, f *fleet)) {
	bubble.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, size)
		for i := range f.nodes {
			f.start(i)
		}
		f.waitFor(t, time.Minute, f.allUpstreamsSeenByAll)
		time.Sleep(30 * time.Second)
		test(t, f)
		cancel()
		time.Sleep(10 * time.Second)
		synctest.Wait()
	})
}
