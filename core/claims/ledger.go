package claims

// Standing is what a Ledger knows of one stamp in one range.
type Standing uint8

// The standings.
const (
	// Unproven means that the Ledger has not yet seen enough of the log.
	Unproven Standing = iota
	// Owned means that the stamp lies in an owner's interval.
	Owned
	// Ahead means that the stamp lies at or beyond the range's frontier.
	Ahead
	// Forgotten means that the stamp lies below the intervals that are kept.
	Forgotten
)

// maxIntervals bounds the intervals kept of one range.
const maxIntervals = 16

// mutation switches off one safety check, so that tests can show that the model
// notices. Zero in every build.
type mutation uint16

const (
	noMutation mutation = iota
	skipFrontierCheck
	keepStateAfterTrim
	skipPriorOwnerCheck
	ignoreIncarnation
	ignoreFloor
	ignoreSeal
	releaseUnknownOutcome
	omitRunningClaims
	checkLastPriorOwnerOnly
	omitExportFloor
)

// Ledger folds the log of grants. Feed it every record from Next on, in order.
// It is not safe for concurrent use.
type Ledger struct {
	ranges   []RangeState
	next     uint64
	complete bool
	mutation mutation
}

// NewLedger returns a Ledger over a number of ranges that starts at the oldest
// offset that the log keeps. When that is 0 it starts from nothing; otherwise
// it needs a Checkpoint first.
func NewLedger(ranges int, oldest uint64) *Ledger {
	l := &Ledger{ranges: make([]RangeState, ranges)}
	l.Reset(oldest)
	return l
}

// Reset forgets everything and starts again at the oldest offset kept. It must
// be called when the log no longer keeps the record at Next.
func (l *Ledger) Reset(oldest uint64) {
	if l.mutation == keepStateAfterTrim && l.complete {
		l.next = oldest
		return
	}
	clear(l.ranges)
	l.next = oldest
	l.complete = oldest == 0
}

// Next is the offset of the record that the Ledger needs next. It goes back
// when a Checkpoint has been taken over.
func (l *Ledger) Next() uint64 { return l.next }

// Proven reports whether the Ledger's state is that of the log.
func (l *Ledger) Proven() bool { return l.complete }

// Ranges returns the number of ranges.
func (l *Ledger) Ranges() int { return len(l.ranges) }

// Apply folds the record at an offset. Records before Next are ignored, and so
// is a record beyond it, which would leave a gap.
func (l *Ledger) Apply(offset uint64, r Record) {
	if offset != l.next {
		return
	}
	l.next++
	if !l.complete {
		l.restore(r.Checkpoint)
		return
	}
	switch {
	case r.Grant != nil:
		l.grant(r.Grant)
	case r.Transfer != nil:
		l.transfer(r.Transfer)
	}
}

// Skip passes over a record that cannot be read.
func (l *Ledger) Skip(offset uint64) { l.Apply(offset, Record{}) }

// restore takes over a checkpoint. The records since it was taken are needed
// again; if the log no longer keeps them the Ledger is reset.
func (l *Ledger) restore(c *Checkpoint) {
	if c == nil || len(c.Ranges) != len(l.ranges) || c.Offset >= l.next {
		return
	}
	for i, s := range c.Ranges {
		l.ranges[i] = s.clone()
	}
	if l.mutation != keepStateAfterTrim {
		l.next = c.Offset
	}
	l.complete = true
}

// Checkpoint returns the state as a record for the log.
func (l *Ledger) Checkpoint() *Checkpoint {
	c := &Checkpoint{Offset: l.next, Ranges: make([]RangeState, len(l.ranges))}
	for i, s := range l.ranges {
		c.Ranges[i] = s.clone()
	}
	return c
}

func (l *Ledger) grant(g *Grant) {
	for _, e := range g.Extensions {
		if int(e.Range) >= len(l.ranges) || e.Range < 0 {
			continue
		}
		s := &l.ranges[e.Range]
		if s.Frontier != e.Base && l.mutation != skipFrontierCheck {
			continue
		}
		s.extend(e.Base, g.Until, g.Owner)
	}
}

func (s *RangeState) extend(base, until Stamp, o Owner) {
	if until <= base || until > MaxStamp {
		return
	}
	s.Frontier = until
	if n := len(s.Intervals); n > 0 {
		last := &s.Intervals[n-1]
		if last.Owner == o && len(last.PriorOwners) == 0 && last.Until == base {
			last.Until = until
			return
		}
	}
	s.Intervals = append(s.Intervals, Interval{From: base, Until: until, Owner: o})
	if extra := len(s.Intervals) - maxIntervals; extra > 0 {
		s.Intervals = append(s.Intervals[:0:0], s.Intervals[extra:]...)
	}
}

func (l *Ledger) transfer(t *Transfer) {
	if t.From == t.To.Life {
		return
	}
	for i := range l.ranges {
		for j := range l.ranges[i].Intervals {
			in := &l.ranges[i].Intervals[j]
			if in.Owner.Life != t.From {
				continue
			}
			in.Owner = t.To
			in.PriorOwners = append(in.PriorOwners[:len(in.PriorOwners):len(in.PriorOwners)], t.From)
		}
	}
}

// Lookup returns the interval of a stamp in a range, with its standing.
func (l *Ledger) Lookup(r Range, stamp Stamp) (Interval, Standing) {
	if !l.complete {
		return Interval{}, Unproven
	}
	s := &l.ranges[r]
	if stamp >= s.Frontier {
		return Interval{}, Ahead
	}
	for i := len(s.Intervals) - 1; i >= 0; i-- {
		in := s.Intervals[i]
		if stamp >= in.From && stamp < in.Until {
			return in, Owned
		}
	}
	return Interval{}, Forgotten
}

// Frontier returns the end of a range's last interval and its owner.
func (l *Ledger) Frontier(r Range) (Stamp, Owner) {
	s := &l.ranges[r]
	if n := len(s.Intervals); n > 0 {
		return s.Frontier, s.Intervals[n-1].Owner
	}
	return s.Frontier, Owner{}
}

// Reach returns the end of the last interval that a life owns, zero when it owns
// none.
func (l *Ledger) Reach(incarnation uint64) Stamp {
	var end Stamp
	for i := range l.ranges {
		for _, in := range l.ranges[i].Intervals {
			if in.Owner.Life == incarnation {
				end = max(end, in.Until)
			}
		}
	}
	return end
}

func (s RangeState) clone() RangeState {
	c := RangeState{Frontier: s.Frontier}
	if len(s.Intervals) == 0 {
		return c
	}
	c.Intervals = make([]Interval, len(s.Intervals))
	for i, in := range s.Intervals {
		in.PriorOwners = append([]uint64(nil), in.PriorOwners...)
		c.Intervals[i] = in
	}
	return c
}
