package membership_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/bubble"
	"github.com/dottereltiller/dottereltiller/controltest"
	"github.com/dottereltiller/dottereltiller/core/member"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/membership"
	"github.com/dottereltiller/dottereltiller/peer"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

// fleet is a number of daemons, each with one upstream of service "s".
type fleet struct {
	ctx context.Context
	// memory holds the records of log, without the faults that log injects.
	memory     *recordlog.Memory
	log        *recordlog.FaultyLog
	network    *controltest.Network
	nodes      []*node
	logReads   atomic.Int64
	logAppends atomic.Int64
}

type node struct {
	peer.Peer
	upstream          model.Upstream
	registry          *membership.Registry
	bootstrapPeers    []peer.Peer
	logConn           *controltest.LogConnection
	cancel            context.CancelFunc
	incarnation       uint64
	expiredLeaseCount atomic.Int32
}

const zoneCount = 5

func zone(i int) model.AvailabilityZone { return model.AvailabilityZone(fmt.Sprint("z", i)) }

func newFleet(ctx context.Context, nodeCount int) *fleet {
	f := &fleet{ctx: ctx, memory: &recordlog.Memory{}, network: controltest.NewNetwork(500 * time.Microsecond)}
	f.log = recordlog.NewFaultyLog(f.memory)
	for i := range nodeCount {
		f.addNode(fmt.Sprint("d", i), zone(i%zoneCount))
	}
	return f
}

// addNode adds a node with the given daemon ID and zone, without starting it.
func (f *fleet) addNode(id string, z model.AvailabilityZone) *node {
	n := &node{Peer: peer.Peer{ID: model.DaemonID(id), Zone: z},
		logConn: &controltest.LogConnection{Log: f.log, Reads: &f.logReads, Appends: &f.logAppends}}
	n.upstream = model.Upstream{ID: model.UpstreamID("u" + id), Service: "s", Zone: z, Daemon: n.ID, Slots: 6}
	f.nodes = append(f.nodes, n)
	return n
}

// start starts a node with an empty view and announces its upstream. It also
// restarts a killed node.
func (f *fleet) start(n *node) {
	ctx, cancel := context.WithCancel(f.ctx)
	n.incarnation++
	n.cancel = cancel
	seed := n.incarnation<<32 | uint64(len(n.ID))<<16 | uint64(n.ID[len(n.ID)-1])
	for _, c := range n.ID {
		seed = seed*31 + uint64(c)
	}
	var exchanger *peer.Exchanger
	endpoint := f.network.Endpoint(n.ID)
	var registry *membership.Registry
	registry = membership.NewRegistry(membership.Options{
		Self: n.ID, Zone: n.Zone, Log: n.logConn, Pinger: endpoint, Seed: seed, MaxUpstreams: 1000,
		CheckpointInterval: time.Minute,
		IsLogReader: func() bool {
			return time.Since(exchanger.LastRoundTime()) > 4*time.Second || peer.IsLogReader(n.ID, n.Zone, registry.Peers())
		},
		OnUpdate:       func() { exchanger.TriggerRound() },
		OnLeaseExpired: func(model.UpstreamID) { n.expiredLeaseCount.Add(1) },
	})
	exchanger = peer.NewExchanger(peer.Options{Self: n.ID, Zone: n.Zone, Seed: seed, Transport: endpoint, BootstrapPeers: n.bootstrapPeers,
		Peers: registry.Peers, Unreachable: registry.DeadPeers, OnResult: registry.RecordExchange})
	exchanger.Register(registry.Topic())
	f.network.Attach(n.Peer, &peer.Service{Exchanger: exchanger, Ping: registry.HandlePing})
	n.registry = registry
	go func() { _ = registry.Serve(ctx) }()
	go func() { _ = exchanger.Serve(ctx) }()
	n.announce(member.Joined, 0)
}

// announce announces the node's upstream in a state. In state Joined it starts a
// new incarnation of the upstream.
func (n *node) announce(s member.State, lease time.Duration) {
	if s == member.Joined {
		n.upstream.Incarnation++
	}
	n.registry.Announce(member.Event{Upstream: n.upstream, State: s}, lease)
}

// renew announces the same incarnation of the upstream again, to renew its lease.
func (n *node) renew(lease time.Duration) {
	n.registry.Announce(member.Event{Upstream: n.upstream, State: member.Joined}, lease)
}

// kill stops a node and makes it unreachable.
func (f *fleet) kill(n *node) {
	n.cancel()
	f.network.Attach(n.Peer, nil)
}

// runWithFleet starts a fleet in virtual time, waits until every node sees all
// upstreams, and runs a test on it.
func runWithFleet(t *testing.T, size int, test func(t *testing.T, f *fleet)) {
	bubble.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, size)
		for _, n := range f.nodes {
			f.start(n)
		}
		f.waitFor(t, 30*time.Second, "every node sees all upstreams", func() bool { return f.countEligible(f.nodes, "s") == size*size })
		test(t, f)
		cancel()
		time.Sleep(10 * time.Second)
		synctest.Wait()
	})
}

// countEligible returns the sum, over the given nodes, of the number of upstreams
// of a service that the node sees and that are not draining.
func (f *fleet) countEligible(nodes []*node, s model.ServiceName) int {
	count := 0
	for _, n := range nodes {
		ups, _ := n.registry.Upstreams(s)
		for _, u := range ups {
			if !u.Draining {
				count++
			}
		}
	}
	return count
}

// waitFor polls until a condition holds, and returns how long that took. It fails the
// test if the condition does not hold within the given time. what describes the
// condition in the failure message.
func (f *fleet) waitFor(t *testing.T, within time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) >= within {
			require.Fail(t, what, "not within %v", within)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// allExcept returns all nodes except the given ones.
func (f *fleet) allExcept(excluded ...*node) []*node {
	var out []*node
	for _, n := range f.nodes {
		keep := true
		for _, e := range excluded {
			keep = keep && n != e
		}
		if keep {
			out = append(out, n)
		}
	}
	return out
}

func (f *fleet) nodesInZone(z model.AvailabilityZone) []*node {
	var out []*node
	for _, n := range f.nodes {
		if n.Zone == z {
			out = append(out, n)
		}
	}
	return out
}

// partitionZone separates a zone from the other zones and from the log, or
// reconnects it.
func (f *fleet) partitionZone(z model.AvailabilityZone, partitioned bool) {
	f.network.SetPartitioned(z, partitioned)
	for _, n := range f.nodesInZone(z) {
		n.logConn.SetDisconnected(partitioned)
	}
}

// countHealth counts the nodes in whose view daemon d has health h.
func countHealth(nodes []*node, d model.DaemonID, h member.Health) int {
	count := 0
	for _, n := range nodes {
		if n.registry.Health(d) == h {
			count++
		}
	}
	return count
}

// countDistinctDigests returns the number of different digests among all nodes. The
// number is 1 if all nodes have the same view.
func (f *fleet) countDistinctDigests() int {
	seen := map[string]bool{}
	for _, n := range f.nodes {
		seen[string(n.registry.Topic().Digest())] = true
	}
	return len(seen)
}

// joinIDs returns the IDs of upstreams, in order, as one string.
func joinIDs(ups []model.Upstream) string {
	var b strings.Builder
	for _, u := range ups {
		fmt.Fprint(&b, u.ID, " ")
	}
	return b.String()
}
