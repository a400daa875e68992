package slots

import "time"

// Kind identifies the requests of one route. Its numeric value has no meaning.
type Kind uint16

// fairShares gives all kinds of requests of one rank equal shares of the service time by
// start-time fair queueing (SFQ). Each kind has a tag, a point in virtual time. Starting a
// request advances the tag of its kind by the request's usual service time. The kind with the
// lowest tag starts next. A kind earns no credit while it has no waiting requests.
type fairShares struct {
	// virtualTime is the start tag of the request that was started last.
	virtualTime time.Duration
	// finishTagByKind holds the tags of the kinds whose tags are greater than virtualTime. The
	// tag of each other kind is virtualTime.
	finishTagByKind map[Kind]time.Duration
}

func (s *fairShares) startTag(k Kind) time.Duration { return max(s.virtualTime, s.finishTagByKind[k]) }

// charge advances the tag of a kind when one of its requests starts.
func (s *fairShares) charge(k Kind, serviceTime time.Duration) {
	s.virtualTime = s.startTag(k)
	if s.finishTagByKind == nil {
		s.finishTagByKind = make(map[Kind]time.Duration)
	}
	s.finishTagByKind[k] = s.virtualTime + serviceTime
	for kind, finishTag := range s.finishTagByKind {
		if finishTag <= s.virtualTime {
			delete(s.finishTagByKind, kind)
		}
	}
}
