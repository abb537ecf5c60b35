package qhspread_test

import (
	"context"
	"sync"
	"time"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

// reach cuts nodes off from the platform, or pauses their calls to it.
type reach struct {
	mu     sync.Mutex
	away   map[qhid.Node]bool
	paused map[qhid.Node]chan struct{}
	// old has the object that a watch of its key tells again and again.
	old map[qhplatform.Key]qhplatform.Object
}

func newReach() *reach {
	return &reach{away: make(map[qhid.Node]bool), paused: make(map[qhid.Node]chan struct{}), old: make(map[qhplatform.Key]qhplatform.Object)}
}

// setOld makes watches tell an object of earlier as news; nil ends it.
func (r *reach) setOld(key qhplatform.Key, object *qhplatform.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.old, key)
	if object != nil {
		r.old[key] = *object
	}
}

func (r *reach) oldOf(key qhplatform.Key) (qhplatform.Object, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	object, ok := r.old[key]
	return object, ok
}

func (r *reach) setAway(away bool, nodes ...*node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range nodes {
		r.away[n.id] = away
	}
}

// pause holds the calls of a node until the returned function is called.
func (r *reach) pause(id qhid.Node) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	gate := make(chan struct{})
	r.paused[id] = gate
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.paused, id)
		close(gate)
	}
}

func (r *reach) check(ctx context.Context, id qhid.Node) error {
	r.mu.Lock()
	gate, away := r.paused[id], r.away[id]
	r.mu.Unlock()
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
		}
	}
	if away || ctx.Err() != nil {
		return qherr.New(qherr.Unavailable, ctx.Err(), "try again", "the platform is out of reach")
	}
	return nil
}

// gated calls the platform for a node where it is in reach.
func gated[T any](ctx context.Context, r *reach, id qhid.Node, call func() (T, error)) (T, error) {
	if err := r.check(ctx, id); err != nil {
		var none T
		return none, err
	}
	return call()
}

// store returns the platform as one node reaches it.
func (r *reach) store(id qhid.Node, inner qhplatform.Store) qhplatform.Store {
	type revision = qhplatform.Revision
	return qhplatform.Store{
		Get: func(ctx context.Context, key qhplatform.Key) (qhplatform.Object, error) {
			return gated(ctx, r, id, func() (qhplatform.Object, error) { return inner.Get(ctx, key) })
		},
		Create: func(ctx context.Context, key qhplatform.Key, value []byte) (revision, error) {
			return gated(ctx, r, id, func() (revision, error) { return inner.Create(ctx, key, value) })
		},
		Update: func(ctx context.Context, key qhplatform.Key, value []byte, at revision) (revision, error) {
			return gated(ctx, r, id, func() (revision, error) { return inner.Update(ctx, key, value, at) })
		},
		Delete: inner.Delete,
		List: func(ctx context.Context, prefix qhplatform.Key) ([]qhplatform.Object, error) {
			return gated(ctx, r, id, func() ([]qhplatform.Object, error) { return inner.List(ctx, prefix) })
		},
		Watch: func(ctx context.Context, key qhplatform.Key, after revision) (qhplatform.Object, error) {
			if object, ok := r.oldOf(key); ok {
				time.Sleep(10 * time.Millisecond)
				object.Revision = max(object.Revision, after)
				return object, nil
			}
			object, err := inner.Watch(ctx, key, after)
			if err != nil {
				return object, err
			}
			return gated(ctx, r, id, func() (qhplatform.Object, error) { return object, nil })
		},
	}
}
