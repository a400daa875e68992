package peer

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// maxLocalNeighbours limits the neighbours in this daemon's availability
	// zone.
	maxLocalNeighbours = 4
	// maxRemoteNeighbours limits the neighbours in other availability zones.
	maxRemoteNeighbours = 12
	// unreachableProbability is the probability that a round also tries an
	// unreachable peer.
	unreachableProbability = 0.1
)

// neighbours are the peers that rounds choose from. They are a small stable set,
// so that the connections to them stay in use. Each daemon is also a neighbour
// of about as many others, so that the network of daemons stays connected.
type neighbours struct {
	// chosenFrom is the list of peers that the neighbours were chosen from.
	chosenFrom []Peer
	// localPeers holds the neighbours in this daemon's availability zone,
	// remotePeers those in other zones.
	localPeers, remotePeers []Peer
}

// choosePeers returns up to n random neighbours. The first is a local neighbour,
// the next are remote ones. More local ones follow if there are too few remote
// ones. With unreachableProbability, choosePeers adds an unreachable peer.
func (e *Exchanger) choosePeers(n int) []Peer {
	peers := e.opts.Peers()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateNeighbours(peers)
	localCandidates, remoteCandidates := slices.Clone(e.neighbours.localPeers), slices.Clone(e.neighbours.remotePeers)
	var chosen []Peer
	for len(chosen) < n && len(localCandidates)+len(remoteCandidates) > 0 {
		zoneCandidates := &remoteCandidates
		if len(remoteCandidates) == 0 || len(chosen) == 0 && len(localCandidates) > 0 {
			zoneCandidates = &localCandidates
		}
		i := e.rng.IntN(len(*zoneCandidates))
		chosen = append(chosen, (*zoneCandidates)[i])
		*zoneCandidates = slices.Delete(*zoneCandidates, i, i+1)
	}
	return append(chosen, e.chooseUnreachable()...)
}

// chooseUnreachable returns a random unreachable peer with unreachableProbability,
// otherwise none. The caller holds e.mu.
func (e *Exchanger) chooseUnreachable() []Peer {
	if e.opts.Unreachable == nil || e.rng.Float64() >= unreachableProbability {
		return nil
	}
	unreachable := e.opts.Unreachable()
	if len(unreachable) == 0 {
		return nil
	}
	return []Peer{unreachable[e.rng.IntN(len(unreachable))]}
}

// updateNeighbours chooses the neighbours again if the list of peers has changed.
// If the list contains no other daemon, the neighbours are chosen from the
// bootstrap peers. The caller holds e.mu.
func (e *Exchanger) updateNeighbours(peers []Peer) {
	if e.neighbours.chosenFrom != nil && sameSlice(e.neighbours.chosenFrom, peers) {
		return
	}
	e.neighbours = e.chooseNeighbours(peers)
	if len(e.neighbours.localPeers)+len(e.neighbours.remotePeers) == 0 {
		e.neighbours = e.chooseNeighbours(e.opts.BootstrapPeers)
	}
	e.neighbours.chosenFrom = peers
}

// sameSlice reports whether a and b have the same length and share their
// memory.
func sameSlice(a, b []Peer) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// chooseNeighbours returns the neighbours among the given peers.
func (e *Exchanger) chooseNeighbours(peers []Peer) neighbours {
	var n neighbours
	for _, p := range peers {
		switch {
		case p.ID == e.opts.Self:
		case p.Zone == e.opts.Zone:
			n.localPeers = append(n.localPeers, p)
		default:
			n.remotePeers = append(n.remotePeers, p)
		}
	}
	n.localPeers = e.peersWithHighestHash(n.localPeers, maxLocalNeighbours)
	n.remotePeers = e.peersWithHighestHash(n.remotePeers, maxRemoteNeighbours)
	return n
}

// peersWithHighestHash returns the n peers with the highest hash of the pair of
// this daemon and the peer (rendezvous hashing). It sorts the peers in place.
func (e *Exchanger) peersWithHighestHash(peers []Peer, n int) []Peer {
	hash := func(p Peer) uint64 { return hashPair(e.opts.Self, p.ID) }
	slices.SortFunc(peers, func(a, b Peer) int { return compareUint(hash(b), hash(a)) })
	return slices.Clip(peers[:min(n, len(peers))])
}

// hashPair hashes the names of two daemons. Their order matters.
func hashPair(a, b model.DaemonID) uint64 {
	return xxhash.Sum64String(string(a) + "\x00" + string(b))
}
