package slots

import "time"

// Kind tells requests that go the same way from others. Its value has no order.
type Kind uint16

// shares keeps the kinds of one rank at equal shares of the work, by start-time fair
// queueing: each start advances its kind by the work, and the kind that is furthest
// back has the next turn. A kind that had nothing to do gets no credit for it.
type shares struct {
	// now is where the kind that last had its turn stood.
	now time.Duration
	// ends tells where each kind stands that is ahead of now.
	ends map[Kind]time.Duration
}

// of returns where a kind stands.
func (s *shares) of(k Kind) time.Duration { return max(s.now, s.ends[k]) }

// charge advances a kind by the work of a start.
func (s *shares) charge(k Kind, work time.Duration) {
	s.now = s.of(k)
	if s.ends == nil {
		s.ends = make(map[Kind]time.Duration)
	}
	s.ends[k] = s.now + work
	for other, end := range s.ends {
		if end <= s.now {
			delete(s.ends, other)
		}
	}
}
