// Package qhtransit estimates how long calls were on their way from one node to another,
// whose clocks cannot be compared.
//
// The sender says when it sent a call, counted from the opening of the connection on its
// own clock. The receiver counts from the moment it accepted the connection. The smallest
// difference between the two counts in a sliding window stands for a call that was not
// delayed; what a call exceeds it by is its age. The age is never more than the time that
// the call was on its way, apart from the drift of the clocks within the window.
package qhtransit

import (
	"sync"
	"time"

	"quetzalhaven.dev/qhclock"
)

// window is how long the smallest difference is kept, at least; at most, it is kept twice
// as long. It bounds the effect of clock drift and the time until a path that has become
// slower for good counts as not delayed.
const window = time.Minute

// Conn is the receiving end of a connection between nodes. It is safe for concurrent use.
type Conn struct {
	accepted qhclock.Instant

	mu sync.Mutex
	// current is the smallest difference since windowStart, and previous that of the
	// window before; the opening of the connection counts as a difference of 0.
	current, previous time.Duration
	windowStart       qhclock.Instant
}

// NewConn returns the state of a connection that was accepted at the given instant.
func NewConn(accepted qhclock.Instant) *Conn { return &Conn{accepted: accepted, windowStart: accepted} }

// Age returns for how long a call that was received now has been delayed on its way. The
// sender sent it the given time after it had opened the connection; this is negative for a
// call that it prepared before.
func (c *Conn) Age(sent time.Duration, now qhclock.Instant) time.Duration {
	difference := now.Since(c.accepted) - sent
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Since(c.windowStart) > window {
		c.previous, c.current, c.windowStart = c.current, difference, now
	}
	c.current = min(c.current, difference)
	return difference - min(c.current, c.previous)
}
