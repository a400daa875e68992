package daemon

import "time"

const (
	// waitLimit is how long tests wait for a condition before they fail.
	waitLimit = 20 * time.Second
	// pollInterval is the time between two checks of a condition that a test waits for.
	pollInterval = 5 * time.Millisecond
)
