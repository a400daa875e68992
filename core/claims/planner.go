package claims

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Planner decides when an owner asks for more stamps. Nothing it does bears on
// safety: a wrong clock, or two daemons that disagree on who is alive, cost
// grants and never a second run.
//
// The candidates of a range are ordered by rendezvous hashing. The first one
// extends the range when half of a grant's length is left, and each next one an
// eighth later, so that the death of a candidate needs no detection. A range
// that had lapsed when the Planner started counts as falling due then.
//
// For the first sixteenth of a grant after its start a Planner asks for a
// sixteenth at a time. A daemon that starts first, and knows no other candidate
// yet, would otherwise own every range for a whole grant.
type Planner struct {
	self       Owner
	fullLength Stamp
	ranks      []uint16
	// started is the clock at the first Plan, zero before it.
	startedAt Stamp
}

const (
	// renewParts and rankParts are the parts of the grant's length at which the
	// first candidate renews, and by which each next one waits longer.
	renewDivisor     = 2
	rankDelayDivisor = 8
	// settleParts is the part of the grant's length for which a Planner asks
	// after its start, and for how long it does so.
	startupDivisor = 16
	// maxRank is the rank of a daemon that is no candidate.
	notCandidate = 1<<16 - 1
)

// NewPlanner returns a Planner for an owner whose grants reach a duration
// ahead. SetCandidates must be called before Plan.
func NewPlanner(self Owner, ranges int, grant time.Duration) *Planner {
	p := &Planner{self: self, fullLength: Stamp(grant.Milliseconds()), ranks: make([]uint16, ranges)}
	p.SetCandidates(nil)
	return p
}

// SetCandidates tells which daemons may own ranges.
func (p *Planner) SetCandidates(daemons []model.DaemonID) {
	isCandidate := false
	hashes := make([]uint64, len(daemons))
	for i, d := range daemons {
		hashes[i] = xxhash.Sum64String(string(d))
		isCandidate = isCandidate || d == p.self.Daemon
	}
	own := xxhash.Sum64String(string(p.self.Daemon))
	for r := range p.ranks {
		p.ranks[r] = notCandidate
		if isCandidate {
			p.ranks[r] = rankOf(own, hashes, uint64(r))
		}
	}
}

// rankOf counts the candidates that score higher on a range.
func rankOf(own uint64, hashes []uint64, r uint64) uint16 {
	score := mix(own ^ mix(r))
	rank := 0
	for _, h := range hashes {
		if mix(h^mix(r)) > score {
			rank++
		}
	}
	return uint16(min(rank, notCandidate))
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Plan returns the grant to append now, nil when none is needed.
func (p *Planner) Plan(l *Ledger, now Stamp) *Grant {
	if !l.Proven() {
		return nil
	}
	if p.startedAt == 0 {
		p.startedAt = now
	}
	length := p.lengthAt(now)
	g := &Grant{Owner: p.self, Until: now + length}
	lapsed := min(p.startedAt, now) + length/renewDivisor - 1
	due := false
	for r := range p.ranks {
		frontier, _ := l.Frontier(Range(r))
		end := max(frontier, lapsed)
		if frontier >= g.Until || !isDue(p.ranks[r], length, end, now, true) {
			continue
		}
		due = due || isDue(p.ranks[r], length, end, now, false)
		g.Extensions = append(g.Extensions, Extension{Range: Range(r), Base: frontier})
	}
	if !due {
		return nil
	}
	return g
}

// reach returns how far a grant that is asked for now reaches ahead.
func (p *Planner) lengthAt(now Stamp) Stamp {
	if startup := p.fullLength / startupDivisor; now < p.startedAt+startup {
		return startup
	}
	return p.fullLength
}

// wants reports whether it is a candidate's turn to extend a range whose stamps
// end at end by a grant of some reach. Soon looks an eighth of that ahead, so
// that one record renews ranges that fall due close together.
func isDue(rank uint16, length, end, now Stamp, early bool) bool {
	if rank == notCandidate {
		return false
	}
	wait := int64(rank)
	if early && rank == 0 {
		wait = -1
	}
	lead := int64(length)/renewDivisor - wait*int64(length)/rankDelayDivisor
	return int64(end)-int64(now) < lead
}
