package measure

import "time"

// Schedule determines the intervals between the polls of one upstream.
type Schedule struct {
	// MaxInterval is the interval while reports and observations agree. Default: 2s.
	MaxInterval time.Duration
	// MinInterval is the shortest interval, used while reports and observations differ widely.
	// Default: 100ms.
	MinInterval time.Duration
}

const (
	defaultMaxInterval = 2 * time.Second
	defaultMinInterval = 100 * time.Millisecond
)

// Next returns the time until the next poll: MaxInterval divided by one plus the square of the
// discrepancy, but at least MinInterval. discrepancy is the value of Trust.Discrepancy. slowed
// is set if requests take clearly longer than usual. The next report may explain the slowness,
// so slowed adds 1 to the discrepancy.
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
