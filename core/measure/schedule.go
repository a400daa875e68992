package measure

import "time"

// Schedule spaces the polls of one upstream.
type Schedule struct {
	// Rarely is the interval while nothing surprises. Default: 2s.
	MaxInterval time.Duration
	// Often is the shortest interval. Default: 100ms.
	MinInterval time.Duration
}

const (
	defaultMaxInterval = 2 * time.Second
	defaultMinInterval = 100 * time.Millisecond
)

// Next returns the time to the next poll. surprise is Trust.Surprise; slowed is
// set when requests take clearly longer than usual, which a report may explain.
func (s Schedule) Next(discrepancy float64, slowed bool) time.Duration {
	longest, shortest := s.MaxInterval, s.MinInterval
	if longest <= 0 {
		longest = defaultMaxInterval
	}
	if shortest <= 0 {
		shortest = defaultMinInterval
	}
	if slowed {
		discrepancy++
	}
	return max(time.Duration(float64(longest)/(1+discrepancy*discrepancy)), shortest)
}
