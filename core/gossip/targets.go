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
	maxZones = 8
	// crossings is the part of the daemons that tell one of another zone, and of the
	// comparisons that are made with one.
	crossings = 1.0 / 8
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
func (t Targets) Push(members []Member, first bool) []Member {
	near, far := t.split(members)
	out := t.some(near, fanOut)
	switch {
	case first:
		out = append(out, onePerZone(t.some(far, len(far)))...)
	case t.crosses():
		out = append(out, t.some(far, 1)...)
	}
	if len(out) < fanOut {
		// A small zone has too few daemons for the news to be sure of its way.
		out = appendNew(out, t.some(far, fanOut-len(out)))
	}
	return out
}

// Partner returns with whom to compare. It reports false where there is nobody.
func (t Targets) Partner(members []Member) (Member, bool) {
	near, far := t.split(members)
	if len(near) == 0 || len(far) > 0 && t.crosses() {
		near = far
	}
	if len(near) == 0 {
		return Member{}, false
	}
	return near[t.Draw(len(near))], true
}

// crosses draws whether to leave the own zone.
func (t Targets) crosses() bool { return t.Draw(int(1/crossings)) == 0 }

func (t Targets) split(members []Member) (near, far []Member) {
	for _, m := range members {
		if m.Zone == t.Zone {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	return near, far
}

// some draws up to n of the members.
func (t Targets) some(members []Member, n int) []Member {
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
		if !seen[m.Zone] && len(out) < maxZones {
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
