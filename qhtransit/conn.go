package qhtransit

import (
	"sync"
	"sync/atomic"
	"time"

	"quetzalhaven.dev/qhclock"
	"quetzalhaven.dev/qhconn"
)

const (
	// window is how long the smallest difference is kept, at least; at most, it is kept twice
	// as long. It bounds the effect of clock drift and the time until a path that has become
	// slower for good counts as not delayed.
	window = time.Minute
	// maxSilence is how long a connection in use may carry nothing until it counts as
	// interrupted. The sender pings more often.
	maxSilence = qhconn.SuspectAfter
	// settleTime is how long after an interruption what was kept on the way is still being
	// read.
	settleTime = 100 * time.Millisecond
)

// Conn is the receiving end of a connection between nodes. It is safe for concurrent use.
type Conn struct {
	accepted qhclock.Instant
	// heard is when bytes were last received, and resumed when the first ones after an
	// interruption were, or the connection was accepted; both are an Instant.
	heard, resumed atomic.Int64

	mu sync.Mutex
	// current is the smallest difference since windowStart, and previous that of the
	// window before; the opening of the connection counts as a difference of 0.
	current, previous time.Duration
	windowStart       qhclock.Instant
}

// NewConn returns the state of a connection that was accepted at the given instant.
func NewConn(accepted qhclock.Instant) *Conn {
	c := &Conn{accepted: accepted, windowStart: accepted}
	c.heard.Store(int64(accepted))
	c.resumed.Store(int64(accepted.Add(-settleTime)))
	return c
}

// Hear records that bytes were received.
func (c *Conn) Hear(now qhclock.Instant) {
	if now.Since(qhclock.Instant(c.heard.Swap(int64(now)))) > maxSilence {
		c.resumed.Store(int64(now))
	}
}

// isInterrupted reports whether the connection was interrupted so recently that the end of
// a call may not have been received yet although its caller has left.
func (c *Conn) isInterrupted(now qhclock.Instant) bool {
	return now.Since(qhclock.Instant(c.heard.Load())) > maxSilence || now.Since(qhclock.Instant(c.resumed.Load())) < settleTime
}

// age returns for how long a call that was received now has been delayed on its way.
func (c *Conn) age(sent time.Duration, now qhclock.Instant) time.Duration {
	difference := now.Since(c.accepted) - sent
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Since(c.windowStart) > window {
		c.previous, c.current, c.windowStart = c.current, difference, now
	}
	c.current = min(c.current, difference)
	return difference - min(c.current, c.previous)
}

// limitAge records that a call that was received now cannot have been on its way for longer
// than limit. It corrects the smallest difference if a clock has jumped.
func (c *Conn) limitAge(sent time.Duration, now qhclock.Instant, limit time.Duration) {
	least := now.Since(c.accepted) - sent - limit
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current, c.previous = max(c.current, least), max(c.previous, least)
}
