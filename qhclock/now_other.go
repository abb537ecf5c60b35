//go:build !linux

package qhclock

import "time"

// processStart is the origin of the instants.
var processStart = time.Now() //nolint:gochecknoglobals // read only

// Now returns the current instant. On this system suspended time is not counted.
func Now() Instant { return Instant(time.Since(processStart)) }
