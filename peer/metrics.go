package peer

import "github.com/uber-go/tally/v4"

// metrics counts the rounds and deltas by result and the bytes of rounds. Limited
// rounds and deltas were cut down because the byte budget was exhausted; limited
// triggers were dropped by the rate limit.
type metrics struct {
	rounds, roundsFailed, roundsLimited          tally.Counter
	deltasApplied, deltasRejected, deltasLimited tally.Counter
	triggersLimited, bytes                       tally.Counter
}

// newMetrics creates the metrics in a sub-scope of s. The names and labels of metrics
// are fixed, also where a field is named differently.
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
