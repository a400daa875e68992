package claims

// Ownership is the ownership status of a timestamp in a range.
type Ownership uint8

// The ownership statuses.
const (
	// Incomplete means that the status is unknown because the Ledger has not yet
	// read a Checkpoint or the log from its start.
	Incomplete Ownership = iota
	// Owned means that the timestamp is in an interval that has an owner.
	Owned
	// Unassigned means that the timestamp is at or beyond the range's frontier
	// and has not been granted yet.
	Unassigned
	// Pruned means that the timestamp is below the oldest interval that the
	// Ledger keeps.
	Pruned
)

// maxIntervals is the maximum number of intervals kept per range.
const maxIntervals = 16

// mutation disables one safety check, so that tests can verify that the model
// detects the missing check. It is always zero outside tests.
type mutation uint16

const (
	noMutation mutation = iota
	// skipFrontierCheck accepts a Grant whose Base is not the frontier.
	skipFrontierCheck
	// keepStateAfterTrim keeps the Ledger's state when the log was trimmed beyond
	// Next. After a Checkpoint was restored, it also does not apply again the
	// records since the Checkpoint's Offset.
	keepStateAfterTrim
	// skipPriorOwnerCheck accepts keys although claims of an earlier owner are
	// missing.
	skipPriorOwnerCheck
	// ignoreIncarnation treats all incarnations of a daemon as the same owner.
	ignoreIncarnation
	// ignoreFloor accepts keys whose claims may have been deleted.
	ignoreFloor
	// ignoreSeal accepts submissions to a sealed table.
	ignoreSeal
	// releaseUnknownOutcome deletes the claim of a request with unknown outcome.
	releaseUnknownOutcome
	// omitRunningClaims leaves claims of running requests out of a handover.
	omitRunningClaims
	// checkLastPriorOwnerOnly accepts keys if the claims of the last earlier owner
	// were imported, even if claims of other earlier owners are missing.
	checkLastPriorOwnerOnly
	// omitExportFloor exports the floors of earlier owners without raising them to
	// the table's own floor.
	omitExportFloor
)

// Ledger is the state machine that computes from the log which owner holds which
// interval. Apply must be called with every record from Next on, in log order. A
// Ledger is not safe for concurrent use.
type Ledger struct {
	ranges []RangeState
	// next is the offset of the next record to apply.
	next uint64
	// complete is set if the state includes all records below next.
	complete bool
	mutation mutation
}

// NewLedger returns a Ledger for a number of ranges. The argument oldest is the
// offset of the oldest record that the log keeps. If oldest is 0, the Ledger starts
// with empty ranges. Otherwise the Ledger is usable only after it has read a
// Checkpoint.
func NewLedger(rangeCount int, oldest uint64) *Ledger {
	l := &Ledger{ranges: make([]RangeState, rangeCount)}
	l.Reset(oldest)
	return l
}

// Reset discards the state and starts again at the oldest offset that the log
// keeps. It must be called when the log no longer keeps the record at Next.
func (l *Ledger) Reset(oldest uint64) {
	if l.mutation == keepStateAfterTrim && l.complete {
		l.next = oldest
		return
	}
	clear(l.ranges)
	l.next = oldest
	l.complete = oldest == 0
}

// Next returns the offset of the next record to apply. It decreases when a
// Checkpoint is restored.
func (l *Ledger) Next() uint64 { return l.next }

// IsComplete reports whether the state includes all records below Next. It is false
// while the Ledger waits for a Checkpoint.
func (l *Ledger) IsComplete() bool { return l.complete }

// RangeCount returns the number of ranges.
func (l *Ledger) RangeCount() int { return len(l.ranges) }

// Apply applies the record at an offset. It ignores records at any offset other
// than Next: earlier ones are already applied, and later ones would leave a gap.
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

// Skip advances Next past the unreadable record at an offset. Like Apply, it does
// nothing if the offset is not Next.
func (l *Ledger) Skip(offset uint64) { l.Apply(offset, Record{}) }

// restore replaces the state with a checkpoint and sets Next to the checkpoint's
// Offset. The records between Offset and the checkpoint record are not part of the
// checkpoint, so they must be applied again. If the log no longer keeps them, the
// caller must call Reset. Unusable checkpoints are ignored.
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

// Checkpoint returns a copy of the state, to be appended to the log.
func (l *Ledger) Checkpoint() *Checkpoint {
	c := &Checkpoint{Offset: l.next, Ranges: make([]RangeState, len(l.ranges))}
	for i, s := range l.ranges {
		c.Ranges[i] = s.clone()
	}
	return c
}

// grant applies each extension of a Grant whose Base is the range's frontier.
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

// extend assigns the timestamps from base up to, but not including, until to an
// owner. It lengthens the last interval if that interval belongs to the same owner,
// was never transferred and ends at base. Otherwise it appends a new interval.
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

// transfer assigns all intervals of one owner to its successor.
func (l *Ledger) transfer(t *Transfer) {
	if t.From == t.To.Incarnation {
		return
	}
	for i := range l.ranges {
		for j := range l.ranges[i].Intervals {
			interval := &l.ranges[i].Intervals[j]
			if interval.Owner.Incarnation != t.From {
				continue
			}
			interval.Owner = t.To
			interval.PriorOwners = append(interval.PriorOwners[:len(interval.PriorOwners):len(interval.PriorOwners)], t.From)
		}
	}
}

// Lookup returns the ownership status of a timestamp in a range. If the status is
// Owned, it also returns the interval that contains the timestamp.
func (l *Ledger) Lookup(r Range, stamp Stamp) (Interval, Ownership) {
	if !l.complete {
		return Interval{}, Incomplete
	}
	s := &l.ranges[r]
	if stamp >= s.Frontier {
		return Interval{}, Unassigned
	}
	for i := len(s.Intervals) - 1; i >= 0; i-- {
		interval := s.Intervals[i]
		if stamp >= interval.From && stamp < interval.Until {
			return interval, Owned
		}
	}
	return Interval{}, Pruned
}

// Frontier returns the end of a range's last interval, and the owner of that
// interval. For a range without intervals, the owner is the zero Owner.
func (l *Ledger) Frontier(r Range) (Stamp, Owner) {
	s := &l.ranges[r]
	if n := len(s.Intervals); n > 0 {
		return s.Frontier, s.Intervals[n-1].Owner
	}
	return s.Frontier, Owner{}
}

// OwnedUntil returns the end of the last interval that an incarnation owns, or
// zero if it owns none.
func (l *Ledger) OwnedUntil(incarnation uint64) Stamp {
	var latestUntil Stamp
	for i := range l.ranges {
		for _, interval := range l.ranges[i].Intervals {
			if interval.Owner.Incarnation == incarnation {
				latestUntil = max(latestUntil, interval.Until)
			}
		}
	}
	return latestUntil
}

func (s RangeState) clone() RangeState {
	c := RangeState{Frontier: s.Frontier}
	if len(s.Intervals) == 0 {
		return c
	}
	c.Intervals = make([]Interval, len(s.Intervals))
	for i, interval := range s.Intervals {
		interval.PriorOwners = append([]uint64(nil), interval.PriorOwners...)
		c.Intervals[i] = interval
	}
	return c
}
