package qhproxy

import (
	"sync"
	"sync/atomic"
)

// gate counts what is inside and can be closed to what is new.
type gate struct {
	// inside counts also those that find the gate closed and leave again.
	inside atomic.Int64
	closed atomic.Bool
	// empty is closed once the gate is closed and nobody is inside.
	empty chan struct{}
	once  sync.Once
}

func newGate() *gate { return &gate{empty: make(chan struct{})} }

// enter counts one in, or returns false where the gate is closed. Each enter
// that returned true is followed by one leave.
func (g *gate) enter() bool {
	g.inside.Add(1)
	if !g.closed.Load() {
		return true
	}
	g.leave()
	return false
}

// leave counts one out.
func (g *gate) leave() {
	if g.inside.Add(-1) == 0 && g.closed.Load() {
		g.once.Do(func() { close(g.empty) })
	}
}

// close lets nobody in any more and returns a channel that is closed once the
// gate is empty.
func (g *gate) close() <-chan struct{} {
	g.closed.Store(true)
	if g.inside.Load() == 0 {
		g.once.Do(func() { close(g.empty) })
	}
	return g.empty
}
