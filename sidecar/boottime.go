package sidecar

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the VM booted, including time spent suspended. The
// monotonic clock behind time.Since does not advance during a suspension.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every kernel that can run this program has CLOCK_BOOTTIME.
		return 0
	}
	return time.Duration(ts.Nano())
}
