package qhproxy

import (
	"sync"
	"sync/atomic"
)

// inFlightCounter counts in-flight calls and can be closed to new ones.
type inFlightCounter struct {
	// count includes, for a moment, calls that find the counter closed.
	count  atomic.Int64
	closed atomic.Bool
	// drained is closed once the counter is closed and no calls are in flight.
	drained     chan struct{}
	drainedOnce sync.Once
}

func newInFlightCounter() *inFlightCounter { return &inFlightCounter{drained: make(chan struct{})} }

// tryAdd adds a call, or returns false if the counter is closed. Each
// successful tryAdd must be followed by one call of done.
func (c *inFlightCounter) tryAdd() bool {
	c.count.Add(1)
	if !c.closed.Load() {
		return true
	}
	c.done()
	return false
}

// done removes a call.
func (c *inFlightCounter) done() {
	if c.count.Add(-1) == 0 && c.closed.Load() {
		c.drainedOnce.Do(func() { close(c.drained) })
	}
}

// isEmpty reports whether no calls are in flight.
func (c *inFlightCounter) isEmpty() bool { return c.count.Load() == 0 }

// close rejects new calls and returns a channel that is closed once no calls
// are in flight.
func (c *inFlightCounter) close() <-chan struct{} {
	c.closed.Store(true)
	if c.count.Load() == 0 {
		c.drainedOnce.Do(func() { close(c.drained) })
	}
	return c.drained
}
