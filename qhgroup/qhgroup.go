// Package qhgroup runs goroutines that end together.
package qhgroup

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Group runs goroutines until its context ends.
type Group struct {
	errs errgroup.Group
	// mu keeps Go and the clean-up apart.
	mu      sync.RWMutex
	stopped bool
	ctx     context.Context //nolint:containedctx // the group is the context's owner
}

// New returns a group and its clean-up, which cancels the context and waits
// until every goroutine has returned.
func New(ctx context.Context) (*Group, func()) {
	ctx, cancel := context.WithCancel(ctx)
	group := &Group{ctx: ctx}
	return group, func() {
		cancel()
		group.mu.Lock()
		group.stopped = true
		group.mu.Unlock()
		_ = group.errs.Wait() // functions given to Go return no error
	}
}

// Context returns the context that ends with the group.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs f in a goroutine, unless the clean-up has begun. f returns soon after
// its context ends.
func (g *Group) Go(f func(ctx context.Context)) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if g.stopped {
		return
	}
	g.errs.Go(func() error {
		f(g.ctx)
		return nil
	})
}

// Every runs f once each period until the group ends.
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
