package controltest

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/peer"
	peerv1 "github.com/dottereltiller/dottereltiller/proto/dottereltiller/peer/v1"
)

// ErrUnreachable is returned when a message is sent to a daemon that is not
// attached, or over an interrupted connection to the log.
var ErrUnreachable = errors.New("daemon unreachable")

// Network carries control messages between in-process daemons. It is safe for
// concurrent use.
type Network struct {
	// Delay is the one-way delay of a message within an availability zone. Between
	// zones the one-way delay is twice as long.
	Delay time.Duration

	mu sync.Mutex
	// serviceByDaemon holds the service of each daemon, nil if the daemon is unreachable.
	serviceByDaemon map[model.DaemonID]*peer.Service
	// zoneByDaemon holds the zone of each daemon that was ever attached.
	zoneByDaemon map[model.DaemonID]model.AvailabilityZone
	// partitionedZones is true for the zones that are separated from all other zones.
	partitionedZones map[model.AvailabilityZone]bool
	// unresponsiveDaemons is true for the daemons that never respond.
	unresponsiveDaemons map[model.DaemonID]bool
	// blockedPairs is true for the pairs of sender and receiver between which messages
	// are dropped.
	blockedPairs map[[2]model.DaemonID]bool
	// messageCount counts the requests, including dropped ones. Responses are not
	// counted.
	messageCount int
	// totalBytes is the total size of all requests and responses.
	totalBytes int
}

// NewNetwork returns a Network without daemons.
func NewNetwork(delay time.Duration) *Network {
	return &Network{
		Delay:               delay,
		serviceByDaemon:     make(map[model.DaemonID]*peer.Service),
		zoneByDaemon:        make(map[model.DaemonID]model.AvailabilityZone),
		partitionedZones:    make(map[model.AvailabilityZone]bool),
		unresponsiveDaemons: make(map[model.DaemonID]bool),
		blockedPairs:        make(map[[2]model.DaemonID]bool),
	}
}

// Attach makes a daemon reachable through the service s. If s is nil, it makes the
// daemon unreachable.
func (n *Network) Attach(p peer.Peer, s *peer.Service) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serviceByDaemon[p.ID], n.zoneByDaemon[p.ID] = s, p.Zone
}

// SetPartitioned separates a zone from all other zones, or reconnects it.
func (n *Network) SetPartitioned(z model.AvailabilityZone, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitionedZones[z] = partitioned
}

// SetUnresponsive makes a daemon accept messages without ever responding, as
// when its process is paused or its connection is half open.
func (n *Network) SetUnresponsive(d model.DaemonID, unresponsive bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unresponsiveDaemons[d] = unresponsive
}

// SetBlocked starts or stops dropping the messages from one daemon to another. Messages
// in the opposite direction are not affected.
func (n *Network) SetBlocked(from, to model.DaemonID, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blockedPairs[[2]model.DaemonID{from, to}] = blocked
}

// Traffic returns the traffic since the network was created. messages is the
// number of requests. bytes is the total size of requests and responses, without
// the headers of the transport.
func (n *Network) Traffic() (messages, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messageCount, n.totalBytes
}

// Endpoint returns the Endpoint through which one daemon sends messages.
func (n *Network) Endpoint(d model.DaemonID) Endpoint { return Endpoint{network: n, self: d} }

// Endpoint sends the messages of one daemon.
type Endpoint struct {
	network *Network
	self    model.DaemonID
}

// Exchange implements peer.Transport.
func (e Endpoint) Exchange(ctx context.Context, to model.DaemonID, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	s, err := e.transmitRequest(ctx, to, proto.Size(req))
	if err != nil {
		return nil, err
	}
	resp := s.Exchanger.Handle(req)
	return resp, e.transmitResponse(ctx, to, proto.Size(resp))
}

// Ping implements membership.Pinger.
func (e Endpoint) Ping(ctx context.Context, to model.DaemonID, req *peerv1.PingRequest) (*peerv1.PingResponse, error) {
	s, err := e.transmitRequest(ctx, to, proto.Size(req))
	if err != nil {
		return nil, err
	}
	resp, err := s.Ping(ctx, req)
	if err != nil {
		return nil, err
	}
	return resp, e.transmitResponse(ctx, to, proto.Size(resp))
}

// transmitRequest simulates the transmission of a request of size bytes to a daemon.
// It returns the service of that daemon, which the caller then calls. If the request
// is dropped or one of the two daemons is unresponsive, transmitRequest blocks until
// the context ends, and returns the error of the context. Otherwise it returns
// ErrUnreachable if the receiver is not attached.
func (e Endpoint) transmitRequest(ctx context.Context, to model.DaemonID, size int) (*peer.Service, error) {
	if err := sleep(ctx, e.delay(to)); err != nil {
		return nil, err
	}
	n := e.network
	n.mu.Lock()
	n.messageCount++
	n.totalBytes += size
	s, unresponsive := n.serviceByDaemon[to], n.unresponsiveDaemons[to] || n.unresponsiveDaemons[e.self]
	dropped := n.separated(e.self, to) || n.blockedPairs[[2]model.DaemonID{e.self, to}]
	n.mu.Unlock()
	if unresponsive || dropped {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if s == nil {
		return nil, ErrUnreachable
	}
	return s, nil
}

// transmitResponse simulates the transmission of a response of size bytes from a
// daemon. If the response is dropped, transmitResponse blocks until the context ends,
// and returns the error of the context.
func (e Endpoint) transmitResponse(ctx context.Context, from model.DaemonID, size int) error {
	n := e.network
	n.mu.Lock()
	n.totalBytes += size
	dropped := n.blockedPairs[[2]model.DaemonID{from, e.self}]
	n.mu.Unlock()
	if dropped {
		<-ctx.Done()
		return ctx.Err()
	}
	return sleep(ctx, e.delay(from))
}

// separated reports whether two daemons are on different sides of a partition.
// n.mu is held.
func (n *Network) separated(a, b model.DaemonID) bool {
	za, zb := n.zoneByDaemon[a], n.zoneByDaemon[b]
	return za != zb && (n.partitionedZones[za] || n.partitionedZones[zb])
}

// delay returns the one-way delay between the daemon of the Endpoint and another one.
func (e Endpoint) delay(to model.DaemonID) time.Duration {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	if e.network.zoneByDaemon[e.self] != e.network.zoneByDaemon[to] {
		return 2 * e.network.Delay
	}
	return e.network.Delay
}

// sleep waits for d. If the context ends first, it returns the error of the
// context.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
