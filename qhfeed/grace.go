package qhfeed

import (
	"sync/atomic"
	"time"
)

// responseGrace is the time by which the store's response to a watch may be late
// before the connection counts as silent. It grows with the lateness of the responses,
// so that the watches of a slow store succeed. Its methods may be called concurrently.
type responseGrace struct {
	// base is the grace of a store that responds in time, longest that of a slow one.
	base, longest time.Duration
	current       atomic.Int64 // nanoseconds
}

func newResponseGrace(base, longest time.Duration) *responseGrace {
	g := &responseGrace{base: base, longest: longest}
	g.current.Store(int64(base))
	return g
}

func (g *responseGrace) allowed() time.Duration { return time.Duration(g.current.Load()) }

// recordLateness records by how much a response was late.
func (g *responseGrace) recordLateness(late time.Duration) {
	const margin = 2
	g.current.Store(int64(min(max(g.base, margin*late), g.longest)))
}
