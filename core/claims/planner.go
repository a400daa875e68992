package claims

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Planner decides when an owner requests a Grant of further timestamps. The
// Planner is not relevant for safety. A wrong clock can cause unnecessary grants,
// and so can daemons that disagree about which daemons are alive. Neither ever
// causes a second execution of a request.
//
// The candidates of a range are ranked by rendezvous hashing. The first candidate
// extends the range when the time until the range's frontier is half of the grant
// length. Each other candidate waits an eighth of the grant length longer than the
// candidate ranked before it. If a candidate crashes, the next candidate therefore
// takes over without failure detection. A range that was already due for renewal
// when the Planner started, for example because its last grant had ended, is treated
// as if it became due at the start.
//
// A Planner has a startup phase, which lasts one sixteenth of the grant length.
// During this phase it requests grants of only a sixteenth of the full length. The
// daemon that starts first does not know the other candidates yet. With full
// grants, that daemon would own every range for a full grant length.
type Planner struct {
	self Owner
	// fullLength is the length of a grant after the startup phase.
	fullLength Stamp
	// ranks holds the rank of this daemon among the candidates of each range.
	ranks []uint16
	// startedAt is the time of the first call to Plan with a complete Ledger, or zero
	// before that call.
	startedAt Stamp
}

const (
	// renewDivisor sets when the first candidate renews a range: when the time until
	// the range's frontier is less than the grant length divided by renewDivisor.
	renewDivisor = 2
	// rankDelayDivisor sets how much longer each candidate waits before it renews a
	// range than the candidate ranked before it. The difference is the grant length
	// divided by rankDelayDivisor.
	rankDelayDivisor = 8
	// startupDivisor sets the length of a Planner's startup phase, and of the grants
	// that it requests during that phase. Both are the full grant length divided by
	// startupDivisor.
	startupDivisor = 16
	// notCandidate is the rank of a daemon that is not a candidate.
	notCandidate = 1<<16 - 1
)

// NewPlanner returns a Planner for an owner and a number of ranges. The grantLength
// argument is the full length of a grant. Until SetCandidates is called, Plan returns
// nil.
func NewPlanner(self Owner, rangeCount int, grantLength time.Duration) *Planner {
	p := &Planner{self: self, fullLength: Stamp(grantLength.Milliseconds()), ranks: make([]uint16, rangeCount)}
	p.SetCandidates(nil)
	return p
}

// SetCandidates sets the daemons that may own ranges, and computes the rank of this
// daemon among them for each range.
func (p *Planner) SetCandidates(daemons []model.DaemonID) {
	selfIsCandidate := false
	hashes := make([]uint64, len(daemons))
	for i, d := range daemons {
		hashes[i] = xxhash.Sum64String(string(d))
		selfIsCandidate = selfIsCandidate || d == p.self.Daemon
	}
	selfHash := xxhash.Sum64String(string(p.self.Daemon))
	for r := range p.ranks {
		p.ranks[r] = notCandidate
		if selfIsCandidate {
			p.ranks[r] = rankOf(selfHash, hashes, uint64(r))
		}
	}
}

// rankOf returns the rank of a candidate for a range: the number of candidates that
// have a higher hash score. candidateHash is the hash of the candidate's ID. hashes are
// the hashes of the IDs of all candidates.
func rankOf(candidateHash uint64, hashes []uint64, r uint64) uint16 {
	score := mix(candidateHash ^ mix(r))
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

// Plan returns the Grant that the owner must append to the log now. It returns nil if
// no Grant is needed or if the Ledger is incomplete.
func (p *Planner) Plan(l *Ledger, now Stamp) *Grant {
	if !l.IsComplete() {
		return nil
	}
	if p.startedAt == 0 {
		p.startedAt = now
	}
	length := p.lengthAt(now)
	g := &Grant{Owner: p.self, Until: now + length}
	// An interval that ends before assumedEnd is assumed to end at assumedEnd. Its
	// range then becomes due for the first candidate when the Planner starts, and
	// for each further candidate after its usual wait.
	assumedEnd := min(p.startedAt, now) + length/renewDivisor - 1
	due := false
	for r := range p.ranks {
		frontier, _ := l.Frontier(Range(r))
		intervalEnd := max(frontier, assumedEnd)
		if frontier >= g.Until || !isDue(p.ranks[r], length, intervalEnd, now, true) {
			continue
		}
		due = due || isDue(p.ranks[r], length, intervalEnd, now, false)
		g.Extensions = append(g.Extensions, Extension{Range: Range(r), Base: frontier})
	}
	if !due {
		return nil
	}
	return g
}

// lengthAt returns the length of a grant that is requested at the given time.
func (p *Planner) lengthAt(now Stamp) Stamp {
	if startupLength := p.fullLength / startupDivisor; now < p.startedAt+startupLength {
		return startupLength
	}
	return p.fullLength
}

// isDue reports whether the candidate with the given rank should extend a range now.
// The last interval of the range ends at intervalEnd, and length is the length of the
// grant. If early is set, the range is due an eighth of the length sooner for the first
// candidate. One record then renews several ranges that become due at nearly the same
// time.
func isDue(rank uint16, length, intervalEnd, now Stamp, early bool) bool {
	if rank == notCandidate {
		return false
	}
	rankDelays := int64(rank)
	if early && rank == 0 {
		rankDelays = -1
	}
	leadTime := int64(length)/renewDivisor - rankDelays*int64(length)/rankDelayDivisor
	return int64(intervalEnd)-int64(now) < leadTime
}
