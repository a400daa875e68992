package daemon

import "time"

// Timeout and polling interval for conditions that tests wait for.
const (
	waitLimit = 20 * time.Second
	waitStep  = 5 * time.Millisecond
)
