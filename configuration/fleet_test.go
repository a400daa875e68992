package configuration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/configuration"
	"github.com/dottereltiller/dottereltiller/controltest"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/operator"
	"github.com/dottereltiller/dottereltiller/peer"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

// fleet is a number of daemons. Each consists only of a configuration store and an
// exchanger.
type fleet struct {
	t   testing.TB
	ctx context.Context
	// memory holds the records of log, without the faults that log injects.
	memory     *recordlog.Memory
	log        *recordlog.FaultyLog
	network    *controltest.Network
	peers      []peer.Peer
	nodes      []*node
	logReads   atomic.Int64
	logAppends atomic.Int64

	mu sync.Mutex
	// inForceAt holds, for each version and node, when the node first put the
	// version in force.
	inForceAt map[model.Version]map[model.DaemonID]time.Time
	// chainByVersion holds the hash chain of each version, which must be the same at all
	// nodes.
	chainByVersion map[model.Version]string
}

type node struct {
	peer.Peer
	store       *configuration.Store
	logConn     *controltest.LogConnection
	cancel      context.CancelFunc
	incarnation uint64
}

const zoneCount = 5

func startFleet(t testing.TB, ctx context.Context, nodeCount int) *fleet {
	f := &fleet{t: t, ctx: ctx, memory: &recordlog.Memory{}, network: controltest.NewNetwork(500 * time.Microsecond),
		inForceAt: map[model.Version]map[model.DaemonID]time.Time{}, chainByVersion: map[model.Version]string{}}
	f.log = recordlog.NewFaultyLog(f.memory)
	for i := range nodeCount {
		f.peers = append(f.peers, peer.Peer{ID: model.DaemonID(fmt.Sprint("d", i)), Zone: zone(i % zoneCount)})
	}
	for _, p := range f.peers {
		n := &node{Peer: p, logConn: &controltest.LogConnection{Log: f.log, Reads: &f.logReads, Appends: &f.logAppends}}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	return f
}

func zone(i int) model.AvailabilityZone { return model.AvailabilityZone(fmt.Sprint("z", i)) }

// start starts a node with an empty store. It also restarts a killed node.
func (f *fleet) start(n *node) {
	ctx, cancel := context.WithCancel(f.ctx)
	n.incarnation++
	seed := n.incarnation<<32 | uint64(slices.Index(f.peers, n.Peer))
	var exchanger *peer.Exchanger
	n.cancel = cancel
	store := configuration.NewStore(configuration.Options{
		Log:  n.logConn,
		Seed: seed,
		IsLogReader: func() bool {
			return time.Since(exchanger.LastRoundTime()) > 4*time.Second || peer.IsLogReader(n.ID, n.Zone, f.peers)
		},
		OnUpdate:           func() { exchanger.TriggerRound() },
		CheckpointInterval: time.Minute,
	})
	exchanger = peer.NewExchanger(peer.Options{Self: n.ID, Zone: n.Zone, Seed: seed, Transport: f.network.Endpoint(n.ID),
		Peers: func() []peer.Peer { return f.peers }})
	exchanger.Register(store.Topic())
	n.store = store
	var lastVersion model.Version
	store.OnChange(func(c *configuration.InForce) {
		status := store.Status()
		if c.Version <= lastVersion {
			f.t.Errorf("%s went back from version %d to %d", n.ID, lastVersion, c.Version)
		}
		lastVersion = c.Version
		f.recordInForce(n.ID, c.Version, status)
	})
	f.network.Attach(n.Peer, &peer.Service{Exchanger: exchanger})
	go func() { _ = store.Serve(ctx) }()
	go func() { _ = exchanger.Serve(ctx) }()
}

// recordInForce records that a node put version v in force. status is the status of the
// node's store at that time. If status shows v, recordInForce requires that the hash
// chain of v is the same as at the other nodes. status may already show a newer version.
func (f *fleet) recordInForce(id model.DaemonID, v model.Version, status configuration.Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inForceAt[v] == nil {
		f.inForceAt[v] = map[model.DaemonID]time.Time{}
	}
	if _, ok := f.inForceAt[v][id]; !ok {
		f.inForceAt[v][id] = time.Now()
	}
	if status.Version != v {
		return
	}
	if f.chainByVersion[v] != "" && f.chainByVersion[v] != status.Chain {
		f.t.Errorf("two changes were accepted as version %d", v)
	}
	f.chainByVersion[v] = status.Chain
}

// kill stops a node and makes it unreachable for the other nodes.
func (f *fleet) kill(n *node) {
	n.cancel()
	f.network.Attach(n.Peer, nil)
}

// partitionZone separates a zone from the other zones and from the log, or
// reconnects it.
func (f *fleet) partitionZone(z model.AvailabilityZone, partitioned bool) {
	f.network.SetPartitioned(z, partitioned)
	f.disconnectLog(z, partitioned)
}

// disconnectLog disconnects the nodes of a zone from the log, or reconnects
// them.
func (f *fleet) disconnectLog(z model.AvailabilityZone, disconnected bool) {
	for _, n := range f.nodes {
		if n.Zone == z {
			n.logConn.SetDisconnected(disconnected)
		}
	}
}

// publish publishes a new document with the given name and requires that the change is
// accepted.
func (f *fleet) publish(name string) operator.Result {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.ctx, time.Minute)
	defer cancel()
	res, err := operator.Propose(ctx, f.log, proposal(name))
	require.NoError(f.t, err)
	return res
}

// proposal returns a proposal that adds a service document with the given name.
func proposal(name string) operator.Proposal {
	return operator.Proposal{Author: "op-" + name, Comment: "add " + name, Documents: []policy.Document{
		{Kind: policy.KindService, Name: name, Spec: json.RawMessage(`{"deadline":"2s"}`)}}}
}

// delays returns, for each node, the time from startTime until the node first put a version
// in force. The delays are in ascending order. Nodes that have not put the version in
// force are omitted.
func (f *fleet) delays(v model.Version, startTime time.Time) []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []time.Duration
	for _, inForceTime := range f.inForceAt[v] {
		out = append(out, inForceTime.Sub(startTime))
	}
	slices.Sort(out)
	return out
}

// countInForce returns the number of nodes at which a version is in force now.
func (f *fleet) countInForce(v model.Version) int {
	count := 0
	for _, n := range f.nodes {
		if c := n.store.Current(); c != nil && c.Version == v {
			count++
		}
	}
	return count
}

// percentile returns the p-quantile of durations in ascending order; p is from 0 to 1.
func percentile(sorted []time.Duration, p float64) time.Duration {
	return sorted[min(len(sorted)-1, int(float64(len(sorted))*p))]
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }
