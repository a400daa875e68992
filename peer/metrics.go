package peer

import "github.com/uber-go/tally/v4"

// metrics counts the rounds and deltas by result, and the bytes of rounds.
type metrics struct {
	// rounds and roundsFailed count the exchanges with single peers that succeeded and
	// that failed. roundsLimited counts the rounds that were limited to one neighbour
	// because the byte budget was exhausted.
	rounds, roundsFailed, roundsLimited tally.Counter
	// deltasLimited counts the deltas that were limited to minDeltaBytes because
	// the byte budget was exhausted.
	deltasApplied, deltasRejected, deltasLimited tally.Counter
	// triggersLimited counts the triggers that the rate limit dropped.
	triggersLimited, bytes tally.Counter
}

// newMetrics creates the metrics in a sub-scope of s. The names and labels of metrics
// must not change, even where a field has another name.
func newMetrics(s tally.Scope) metrics {
	if s == nil {
		s = tally.NoopScope
	}
	s = s.SubScope("peer")
	return metrics{
		rounds:          s.Tagged(map[string]string{"result": "done"}).Counter("rounds"),
		roundsFailed:    s.Tagged(map[string]string{"result": "failed"}).Counter("rounds"),
		roundsLimited:   s.Tagged(map[string]string{"result": "limited"}).Counter("rounds"),
		deltasApplied:   s.Tagged(map[string]string{"result": "applied"}).Counter("deltas"),
		deltasRejected:  s.Tagged(map[string]string{"result": "refused"}).Counter("deltas"),
		deltasLimited:   s.Tagged(map[string]string{"result": "limited"}).Counter("deltas"),
		triggersLimited: s.Counter("hints_limited"),
		bytes:           s.Counter("bytes"),
	}
}
