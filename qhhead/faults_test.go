package qhhead_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhplatform"
)

// maxPause is the longest pause before a call.
const maxPause = 40 * time.Millisecond

// faults draws what happens to each call.
type faults struct {
	mu     sync.Mutex
	random *rand.Rand
	// losses is how many writes of each ten have no answer.
	losses int
	// refusals is how many calls of each hundred are refused.
	refusals int
	// seen has an older state of each object that was read.
	seen map[qhplatform.Key]qhplatform.Object
}

// newFaults returns the faults that the seed draws: of each ten writes two,
// five or nine have no answer.
func newFaults(seed uint64) *faults {
	return &faults{random: rand.New(rand.NewPCG(seed, 1)), losses: []int{2, 5, 9}[seed%3], refusals: 4}
}

// newLightFaults returns faults that let most operations of many calls end.
func newLightFaults(seed uint64) *faults {
	return &faults{random: rand.New(rand.NewPCG(seed, 1)), losses: 1}
}

// draw returns a number from 0 up to n.
func (f *faults) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// before pauses a call, or refuses it.
func (f *faults) before(ctx context.Context) error {
	time.Sleep(time.Duration(f.draw(int(maxPause))))
	if ctx.Err() != nil || f.draw(100) < f.refusals {
		return qherr.New(qherr.Unavailable, ctx.Err(), "", "refused")
	}
	return nil
}

// stale returns the object, or an older state of it.
func (f *faults) stale(object qhplatform.Object, err error) (qhplatform.Object, error) {
	if err != nil {
		return object, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old, found := f.seen[object.Key]
	if found && f.random.IntN(6) == 0 {
		return old, nil
	}
	if !found || f.random.IntN(2) == 0 {
		f.seen[object.Key] = object
	}
	return object, nil
}

func (f *faults) write(ctx context.Context, write func() (qhplatform.Revision, error)) (qhplatform.Revision, error) {
	if err := f.before(ctx); err != nil {
		return 0, err
	}
	lost := qherr.New(qherr.Unknown, nil, "", "lost")
	if f.draw(10) >= f.losses {
		return write()
	}
	switch f.draw(3) {
	case 0: // lost before it took effect
	case 1: // lost after it took effect
		_, _ = write()
	default: // takes effect late
		time.AfterFunc(time.Duration(f.draw(int(10*maxPause))), func() { _, _ = write() })
	}
	return 0, lost
}

// faulty returns the store with faults: calls that are
// slow or refused, writes whose answer is lost before or after they take effect
// and ones that take effect late, and reads of old objects.
func faulty(store qhplatform.Store, f *faults) qhplatform.Store {
	f.seen = make(map[qhplatform.Key]qhplatform.Object)
	inner := store
	store.Get = func(ctx context.Context, key qhplatform.Key) (qhplatform.Object, error) {
		if err := f.before(ctx); err != nil {
			return qhplatform.Object{}, err
		}
		object, err := inner.Get(ctx, key)
		return f.stale(object, err)
	}
	store.List = func(ctx context.Context, prefix qhplatform.Key) ([]qhplatform.Object, error) {
		objects, err := inner.List(ctx, prefix)
		if refused := f.before(ctx); refused != nil {
			return nil, refused
		}
		return objects, err
	}
	store.Create = func(ctx context.Context, key qhplatform.Key, value []byte) (qhplatform.Revision, error) {
		return f.write(ctx, func() (qhplatform.Revision, error) {
			return inner.Create(context.WithoutCancel(ctx), key, value)
		})
	}
	store.Update = func(ctx context.Context, key qhplatform.Key, value []byte, at qhplatform.Revision) (qhplatform.Revision, error) {
		return f.write(ctx, func() (qhplatform.Revision, error) {
			return inner.Update(context.WithoutCancel(ctx), key, value, at)
		})
	}
	store.Delete = func(ctx context.Context, key qhplatform.Key, at qhplatform.Revision) error {
		_, err := f.write(ctx, func() (qhplatform.Revision, error) {
			return 0, inner.Delete(context.WithoutCancel(ctx), key, at)
		})
		return err
	}
	return store
}
