// Package boottime reads a clock that goes on while the machine is suspended.
// Go's own monotonic clock stands still then, so an age measured with it can be
// too small.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, suspension included.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has had this clock since 2.6.39; without it no age can be shown.
		panic("boottime: " + err.Error())
	}
	return time.Duration(now.Nano())
}
