package qhspread_test

import (
	"context"
	"sync"
	"time"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

// platformAccess cuts nodes off from the platform, or blocks their calls to it.
type platformAccess struct {
	mu          sync.Mutex
	unreachable map[qhid.Node]bool
	paused      map[qhid.Node]chan struct{}
	// stale holds, by key, an old object that every watch of the key returns.
	stale map[qhplatform.Key]qhplatform.Object
}

func newPlatformAccess() *platformAccess {
	return &platformAccess{unreachable: make(map[qhid.Node]bool), paused: make(map[qhid.Node]chan struct{}), stale: make(map[qhplatform.Key]qhplatform.Object)}
}

// setStale makes watches of a key return an old object as if it were new. A nil
// object restores the watches.
func (a *platformAccess) setStale(key qhplatform.Key, object *qhplatform.Object) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.stale, key)
	if object != nil {
		a.stale[key] = *object
	}
}

func (a *platformAccess) staleObject(key qhplatform.Key) (qhplatform.Object, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	object, ok := a.stale[key]
	return object, ok
}

func (a *platformAccess) setUnreachable(unreachable bool, nodes ...*node) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range nodes {
		a.unreachable[n.id] = unreachable
	}
}

// pause blocks the platform calls of a node until the returned function is
// called.
func (a *platformAccess) pause(id qhid.Node) func() {
	a.mu.Lock()
	defer a.mu.Unlock()
	resume := make(chan struct{})
	a.paused[id] = resume
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.paused, id)
		close(resume)
	}
}

func (a *platformAccess) check(ctx context.Context, id qhid.Node) error {
	a.mu.Lock()
	resume, unreachable := a.paused[id], a.unreachable[id]
	a.mu.Unlock()
	if resume != nil {
		select {
		case <-resume:
		case <-ctx.Done():
		}
	}
	if unreachable || ctx.Err() != nil {
		return qherr.New(qherr.Unavailable, ctx.Err(), "try again", "the platform is unreachable")
	}
	return nil
}

// callPlatform runs a platform call for a node if it can reach the platform.
func callPlatform[T any](ctx context.Context, access *platformAccess, id qhid.Node, call func() (T, error)) (T, error) {
	if err := access.check(ctx, id); err != nil {
		var none T
		return none, err
	}
	return call()
}

// store wraps the store of one node, so that its calls can be blocked or fail.
func (a *platformAccess) store(id qhid.Node, inner qhplatform.Store) qhplatform.Store {
	type revision = qhplatform.Revision
	return qhplatform.Store{
		Get: func(ctx context.Context, key qhplatform.Key) (qhplatform.Object, error) {
			return callPlatform(ctx, a, id, func() (qhplatform.Object, error) { return inner.Get(ctx, key) })
		},
		Create: func(ctx context.Context, key qhplatform.Key, value []byte) (revision, error) {
			return callPlatform(ctx, a, id, func() (revision, error) { return inner.Create(ctx, key, value) })
		},
		Update: func(ctx context.Context, key qhplatform.Key, value []byte, at revision) (revision, error) {
			return callPlatform(ctx, a, id, func() (revision, error) { return inner.Update(ctx, key, value, at) })
		},
		Delete: inner.Delete,
		List: func(ctx context.Context, prefix qhplatform.Key) ([]qhplatform.Object, error) {
			return callPlatform(ctx, a, id, func() ([]qhplatform.Object, error) { return inner.List(ctx, prefix) })
		},
		WatchObject: func(ctx context.Context, key qhplatform.Key, after revision) (qhplatform.Object, error) {
			if object, ok := a.staleObject(key); ok {
				time.Sleep(10 * time.Millisecond)
				object.Revision = max(object.Revision, after)
				return object, nil
			}
			object, err := inner.WatchObject(ctx, key, after)
			if err != nil {
				return object, err
			}
			return callPlatform(ctx, a, id, func() (qhplatform.Object, error) { return object, nil })
		},
	}
}
