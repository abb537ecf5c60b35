// Package qhgroup runs groups of goroutines that are cancelled and awaited
// together.
package qhgroup

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Group runs goroutines with a common context. It is safe for concurrent use.
type Group struct {
	goroutines errgroup.Group
	// mu prevents Go from starting goroutines while the cleanup waits.
	mu      sync.RWMutex
	stopped bool
	ctx     context.Context //nolint:containedctx // the group owns the context
}

// New returns a group and a cleanup function, which cancels the context of the
// group and waits until all goroutines have returned.
func New(ctx context.Context) (*Group, func()) {
	ctx, cancel := context.WithCancel(ctx)
	group := &Group{ctx: ctx}
	return group, func() {
		cancel()
		group.mu.Lock()
		group.stopped = true
		group.mu.Unlock()
		_ = group.goroutines.Wait() // functions given to Go return no error
	}
}

// Context returns the context of the group, which the cleanup cancels.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs f in a goroutine. It does nothing after the cleanup has begun. f must
// return soon after its context is cancelled.
func (g *Group) Go(f func(ctx context.Context)) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if g.stopped {
		return
	}
	g.goroutines.Go(func() error {
		f(g.ctx)
		return nil
	})
}

// Wait waits until all goroutines have returned. No others may be started meanwhile.
func (g *Group) Wait() {
	_ = g.goroutines.Wait() // functions given to Go return no error
}

// Every runs f once per period until the cleanup. The first run is after one
// period.
func (g *Group) Every(period time.Duration, f func(ctx context.Context)) {
	g.Go(func(ctx context.Context) {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				f(ctx)
			}
		}
	})
}
