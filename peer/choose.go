package peer

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// nearNeighbours and farNeighbours are the number of peers in this daemon's
	// own zone and in others that regular rounds choose from. A stable choice
	// of few keeps their connections in use; each daemon is also chosen by
	// about as many others, so that the whole stays connected.
	nearNeighbours = 4
	farNeighbours  = 12
	// lostShare is the share of rounds that also try a lost peer.
	lostShare = 0.1
)

// neighbours are the peers that rounds choose from.
type neighbours struct {
	// of is the list that they were chosen from.
	of        []Peer
	near, far []Peer
}

// choose returns up to n random neighbours: the first in this daemon's own zone
// and the others in other zones, as far as there are any. Now and then it adds
// a lost peer.
func (e *Exchanger) choose(n int) []Peer {
	peers := e.opts.Peers()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateNeighbours(peers)
	near, far := slices.Clone(e.neighbours.near), slices.Clone(e.neighbours.far)
	var out []Peer
	for len(out) < n && len(near)+len(far) > 0 {
		from := &far
		if len(far) == 0 || len(out) == 0 && len(near) > 0 {
			from = &near
		}
		k := e.rng.IntN(len(*from))
		out = append(out, (*from)[k])
		*from = slices.Delete(*from, k, k+1)
	}
	return append(out, e.chooseLost()...)
}

// chooseLost returns a peer that is thought dead, now and then. e.mu is held.
func (e *Exchanger) chooseLost() []Peer {
	if e.opts.Unreachable == nil || e.rng.Float64() >= lostShare {
		return nil
	}
	lost := e.opts.Unreachable()
	if len(lost) == 0 {
		return nil
	}
	return []Peer{lost[e.rng.IntN(len(lost))]}
}

// updateNeighbours chooses anew when the list of peers is another one. While it
// holds nobody else the first peers are used. e.mu is held.
func (e *Exchanger) updateNeighbours(peers []Peer) {
	if e.neighbours.of != nil && sameSlice(e.neighbours.of, peers) {
		return
	}
	e.neighbours = e.chooseNeighbours(peers)
	if len(e.neighbours.near)+len(e.neighbours.far) == 0 {
		e.neighbours = e.chooseNeighbours(e.opts.BootstrapPeers)
	}
	e.neighbours.of = peers
}

func sameSlice(a, b []Peer) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (e *Exchanger) chooseNeighbours(peers []Peer) neighbours {
	var n neighbours
	for _, p := range peers {
		switch {
		case p.ID == e.opts.Self:
		case p.Zone == e.opts.Zone:
			n.near = append(n.near, p)
		default:
			n.far = append(n.far, p)
		}
	}
	n.near = e.highest(n.near, nearNeighbours)
	n.far = e.highest(n.far, farNeighbours)
	return n
}

// highest returns the n peers with the highest rendezvous hash for this daemon.
func (e *Exchanger) highest(peers []Peer, n int) []Peer {
	rank := func(p Peer) uint64 { return pairHash(e.opts.Self, p.ID) }
	slices.SortFunc(peers, func(a, b Peer) int { return compareUint(rank(b), rank(a)) })
	return slices.Clip(peers[:min(n, len(peers))])
}

func pairHash(a, b model.DaemonID) uint64 {
	return xxhash.Sum64String(string(a) + "\x00" + string(b))
}
