package claims

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Planner decides when an owner requests a Grant of further timestamps. It is not
// relevant for safety: a wrong clock, or daemons that disagree about which
// daemons are alive, can cause unnecessary grants but never a second execution
// of a request.
//
// The candidates of a range are ranked by rendezvous hashing. The first candidate
// extends the range when half of the grant length is left, and each further
// candidate an eighth of the grant length later than the one before. If a
// candidate crashes, the next one therefore takes over without failure detection.
// A range whose last grant had already ended when the Planner started is treated
// as if it became due for renewal at that time.
//
// For one sixteenth of the grant length after its start, a Planner requests
// grants of only a sixteenth of the full length. Otherwise the daemon that starts
// first, and does not know the other candidates yet, would own every range for a
// full grant length.
type Planner struct {
	self Owner
	// fullLength is the length of a grant after the startup phase.
	fullLength Stamp
	// ranks holds the rank of this daemon among the candidates of each range.
	ranks []uint16
	// startedAt is the time of the first call to Plan, or zero before it.
	startedAt Stamp
}

const (
	// The first candidate renews a range when the grant length divided by
	// renewDivisor is left. Each further candidate waits longer by the grant
	// length divided by rankDelayDivisor.
	renewDivisor     = 2
	rankDelayDivisor = 8
	// The startup phase of a Planner, and the grants that it requests during that
	// phase, have the length of a full grant divided by startupDivisor.
	startupDivisor = 16
	// notCandidate is the rank of a daemon that is not a candidate.
	notCandidate = 1<<16 - 1
)

// NewPlanner returns a Planner for an owner. The grant argument is the full length
// of a grant. SetCandidates must be called before Plan.
func NewPlanner(self Owner, ranges int, grant time.Duration) *Planner {
	p := &Planner{self: self, fullLength: Stamp(grant.Milliseconds()), ranks: make([]uint16, ranges)}
	p.SetCandidates(nil)
	return p
}

// SetCandidates sets the daemons that may own ranges and ranks them.
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

// rankOf returns the number of candidates with a higher hash score for a range.
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

// mix is the SplitMix64 mixing function.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Plan returns the Grant to append now, or nil if none is needed.
func (p *Planner) Plan(l *Ledger, now Stamp) *Grant {
	if !l.Complete() {
		return nil
	}
	if p.startedAt == 0 {
		p.startedAt = now
	}
	length := p.lengthAt(now)
	g := &Grant{Owner: p.self, Until: now + length}
	// A range that lapsed before the Planner started is treated as if it ended at
	// assumedEnd, so that it becomes due for the first candidate at the start.
	assumedEnd := min(p.startedAt, now) + length/renewDivisor - 1
	due := false
	for r := range p.ranks {
		frontier, _ := l.Frontier(Range(r))
		end := max(frontier, assumedEnd)
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

// lengthAt returns the length of a grant that is requested at the given time.
func (p *Planner) lengthAt(now Stamp) Stamp {
	if startup := p.fullLength / startupDivisor; now < p.startedAt+startup {
		return startup
	}
	return p.fullLength
}

// isDue reports whether a candidate should now extend a range whose last interval
// ends at end with a grant of the given length. If early is set, the range is due
// an eighth of the length sooner for the first candidate, so that one record
// renews several ranges that become due at nearly the same time.
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
