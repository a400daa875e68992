package gossip

import (
	"slices"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// fanOut is the number of daemons of its own zone to which each daemon sends a new update.
	// With this number, the push reaches all but 2% of the daemons.
	fanOut = 4
	// maxPushZones bounds the number of other zones to which a daemon sends an update that
	// originates at it.
	maxPushZones = 8
	// crossZoneShare is the probability that a daemon selects a daemon of another zone,
	// either to push an update or to compare digests.
	crossZoneShare = 1.0 / 8
	// confirmationPeers is how many daemons of the local zone, and how many of other zones, are asked
	// to confirm a state. One of two may be cut off together with the daemon that asks.
	confirmationPeers = 2
)

// Member is a daemon to which updates can be sent.
type Member struct {
	Address string
	Zone    model.AvailabilityZone
}

// PeerSelector selects the daemons with which one daemon communicates.
type PeerSelector struct {
	// Zone is the zone of the selecting daemon.
	Zone model.AvailabilityZone
	// RandIntN returns a uniformly distributed random number from 0 to n-1.
	RandIntN func(n int) int
}

// PushTargets returns the daemons to which to send an update. members are all other daemons.
// isOrigin is set if the update originates at this daemon.
func (s PeerSelector) PushTargets(members []Member, isOrigin bool) []Member {
	local, remote := s.splitByZone(members)
	out := s.sample(local, fanOut)
	switch {
	case isOrigin:
		out = append(out, onePerZone(s.sample(remote, len(remote)))...)
	case s.chooseCrossZone():
		out = append(out, s.sample(remote, 1)...)
	}
	if len(out) < fanOut {
		// The local zone has too few daemons for the update to spread reliably.
		out = appendNew(out, s.sample(remote, fanOut-len(out)))
	}
	return out
}

// AntiEntropyPeer returns the daemon with which to compare digests, chosen at random from
// members. It returns false if members is empty.
func (s PeerSelector) AntiEntropyPeer(members []Member) (Member, bool) {
	candidates, remote := s.splitByZone(members)
	if len(candidates) == 0 || len(remote) > 0 && s.chooseCrossZone() {
		candidates = remote
	}
	if len(candidates) == 0 {
		return Member{}, false
	}
	return candidates[s.RandIntN(len(candidates))], true
}

// ConfirmationPeers returns the daemons to ask whether a state is the newest: a few of the local zone,
// and a few of other zones.
func (s PeerSelector) ConfirmationPeers(members []Member) (local, remote []Member) {
	local, remote = s.splitByZone(members)
	return s.sample(local, confirmationPeers), s.sample(remote, confirmationPeers)
}

// chooseCrossZone decides at random whether to select a daemon of another zone.
func (s PeerSelector) chooseCrossZone() bool { return s.RandIntN(int(1/crossZoneShare)) == 0 }

// splitByZone separates the members of the local zone from the others.
func (s PeerSelector) splitByZone(members []Member) (local, remote []Member) {
	for _, m := range members {
		if m.Zone == s.Zone {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	return local, remote
}

// sample returns up to n different random members. It reorders members.
func (s PeerSelector) sample(members []Member, n int) []Member {
	n = min(n, len(members))
	for i := range n {
		j := i + s.RandIntN(len(members)-i)
		members[i], members[j] = members[j], members[i]
	}
	return members[:n:n]
}

// onePerZone returns the first member of each zone, for at most maxPushZones zones.
func onePerZone(members []Member) []Member {
	var out []Member
	seen := make(map[model.AvailabilityZone]bool)
	for _, m := range members {
		if !seen[m.Zone] && len(out) < maxPushZones {
			seen[m.Zone] = true
			out = append(out, m)
		}
	}
	return out
}

// appendNew appends those members of more that out does not contain yet.
func appendNew(out, more []Member) []Member {
	for _, m := range more {
		if !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}
