// Package qhclock is a steady clock that also counts the time for which the machine
// was suspended. The monotonic clock of package time stands still then, so that a
// permission would seem to last longer than it does.
package qhclock

import "time"

// Instant is a moment on the steady clock of this process's machine: the time since
// the machine started. Instants of different machines cannot be compared.
type Instant time.Duration

// Since returns the time since an earlier instant.
func (i Instant) Since(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Add returns the instant after a time.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
