package gossip

import (
	"slices"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// fanOut is how many daemons are told of news by each that learns of it. It
	// reaches all but two in a hundred.
	fanOut = 4
	// maxZones bounds the zones that the first daemon tells.
	maxPushZones = 8
	// crossings is the part of the daemons that tell one of another zone, and of the
	// comparisons that are made with one.
	crossZoneShare = 1.0 / 8
)

// Member is a daemon that can be told.
type Member struct {
	Address string
	Zone    model.AvailabilityZone
}

// Targets draws the daemons that one daemon tells.
type Targets struct {
	// Zone is that of the daemon.
	Zone model.AvailabilityZone
	// Draw returns a number from 0 to n-1, each as likely.
	Draw func(n int) int
}

// Push returns whom to tell of news. First tells that the news began at this daemon.
func (t Targets) Push(members []Member, origin bool) []Member {
	local, remote := t.splitByZone(members)
	out := t.sample(local, fanOut)
	switch {
	case origin:
		out = append(out, onePerZone(t.sample(remote, len(remote)))...)
	case t.drawCrossZone():
		out = append(out, t.sample(remote, 1)...)
	}
	if len(out) < fanOut {
		// A small zone has too few daemons for the news to be sure of its way.
		out = appendNew(out, t.sample(remote, fanOut-len(out)))
	}
	return out
}

// Partner returns with whom to compare. It reports false where there is nobody.
func (t Targets) Partner(members []Member) (Member, bool) {
	local, remote := t.splitByZone(members)
	if len(local) == 0 || len(remote) > 0 && t.drawCrossZone() {
		local = remote
	}
	if len(local) == 0 {
		return Member{}, false
	}
	return local[t.Draw(len(local))], true
}

// crosses draws whether to leave the own zone.
func (t Targets) drawCrossZone() bool { return t.Draw(int(1/crossZoneShare)) == 0 }

func (t Targets) splitByZone(members []Member) (local, remote []Member) {
	for _, m := range members {
		if m.Zone == t.Zone {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	return local, remote
}

// some draws up to n of the members.
func (t Targets) sample(members []Member, n int) []Member {
	n = min(n, len(members))
	for i := range n {
		j := i + t.Draw(len(members)-i)
		members[i], members[j] = members[j], members[i]
	}
	return members[:n:n]
}

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

func appendNew(out, more []Member) []Member {
	for _, m := range more {
		if !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}
