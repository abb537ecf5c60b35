package qhfeed

import (
	"sync/atomic"
	"time"
)

// maxResponseGrace bounds the grace of a store that responds late.
const maxResponseGrace = 2 * time.Second

// responseGrace is the time by which the store's response to a watch may be late
// before the connection counts as silent. It grows with the lateness of the
// responses and with each watch in a row that got none, so that the watches of a slow
// store succeed. allowed may be called concurrently with the other methods.
type responseGrace struct {
	// base is the grace of a store that responds in time.
	base    time.Duration
	current atomic.Int64 // nanoseconds
}

func newResponseGrace(base time.Duration) *responseGrace {
	g := &responseGrace{base: base}
	g.current.Store(int64(base))
	return g
}

func (g *responseGrace) allowed() time.Duration { return time.Duration(g.current.Load()) }

// recordLateness records by how much a response was late.
func (g *responseGrace) recordLateness(late time.Duration) {
	const margin = 2
	g.current.Store(int64(min(max(g.base, margin*late), maxResponseGrace)))
}

// recordMiss records that a watch got no response.
func (g *responseGrace) recordMiss() {
	g.current.Store(int64(min(2*g.allowed(), maxResponseGrace)))
}
