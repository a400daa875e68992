package daemon

import "time"

// Timeout and polling interval for conditions that tests wait for.
const (
	waitLimit    = 20 * time.Second
	pollInterval = 5 * time.Millisecond
)
