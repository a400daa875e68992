package sidecar

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the VM started, suspensions included, in which the
// clock of time.Since stands still.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Kernels that support the programs have the clock.
		return 0
	}
	return time.Duration(ts.Nano())
}
