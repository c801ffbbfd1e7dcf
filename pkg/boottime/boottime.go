// Package boottime reads a monotonic clock that includes the time during which the
// machine is suspended. Go's monotonic clock does not, so that ages measured with it can
// be too small.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including suspension.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has this clock since 2.6.39. Without it ages cannot be measured.
		panic("boottime: " + err.Error())
	}
	return time.Duration(now.Nano())
}
