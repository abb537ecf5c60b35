package qhclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the fallback for kernels without the clock.
var processStart = time.Now() //nolint:gochecknoglobals // read only

// Now returns the current instant.
func Now() Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return Instant(time.Since(processStart)) // a kernel without the clock; suspended time is not counted
	}
	return Instant(now.Nano())
}
