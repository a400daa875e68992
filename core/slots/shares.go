package slots

import "time"

// Kind tells requests that go the same way from others. Its value has no order.
type Kind uint16

// shares keeps the kinds of one rank at equal shares of the work, by start-time fair
// queueing: each start advances its kind by the work, and the kind that is furthest
// back has the next turn. A kind that had nothing to do gets no credit for it.
type fairShares struct {
	// now is where the kind that last had its turn stood.
	virtualTime time.Duration
	// ends tells where each kind stands that is ahead of now.
	finishTags map[Kind]time.Duration
}

// of returns where a kind stands.
func (s *fairShares) startTag(k Kind) time.Duration { return max(s.virtualTime, s.finishTags[k]) }

// charge advances a kind by the work of a start.
func (s *fairShares) charge(k Kind, work time.Duration) {
	s.virtualTime = s.startTag(k)
	if s.finishTags == nil {
		s.finishTags = make(map[Kind]time.Duration)
	}
	s.finishTags[k] = s.virtualTime + work
	for other, finishTag := range s.finishTags {
		if finishTag <= s.virtualTime {
			delete(s.finishTags, other)
		}
	}
}
