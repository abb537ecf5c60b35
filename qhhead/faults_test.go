package qhhead_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhplatform"
)

// maxDelay bounds the random delay before a call.
const maxDelay = 40 * time.Millisecond

// faults draws the faults of calls from a seeded random source.
type faults struct {
	mu     sync.Mutex
	random *rand.Rand
	// lossRate is the number of writes out of ten whose response is lost.
	lossRate int
	// refusalRate is the number of calls out of a hundred that are refused.
	refusalRate int
	// stale holds an older state of each object that was read.
	stale map[qhplatform.Key]qhplatform.Object
}

// newFaults returns faults drawn from the seed. Two, five or nine of ten writes
// lose their response, depending on the seed.
func newFaults(seed uint64) *faults {
	return &faults{random: rand.New(rand.NewPCG(seed, 1)), lossRate: []int{2, 5, 9}[seed%3], refusalRate: 4}
}

// newLightFaults returns faults light enough for most operations of many calls
// to succeed.
func newLightFaults(seed uint64) *faults {
	return &faults{random: rand.New(rand.NewPCG(seed, 1)), lossRate: 1}
}

// draw returns a random number from 0 to n-1.
func (f *faults) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// delayOrRefuse delays a call or refuses it.
func (f *faults) delayOrRefuse(ctx context.Context) error {
	time.Sleep(time.Duration(f.draw(int(maxDelay))))
	if ctx.Err() != nil || f.draw(100) < f.refusalRate {
		return qherr.New(qherr.Unavailable, ctx.Err(), "", "refused")
	}
	return nil
}

// maybeStale returns the object or an older state of it.
func (f *faults) maybeStale(object qhplatform.Object, err error) (qhplatform.Object, error) {
	if err != nil {
		return object, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old, found := f.stale[object.Key]
	if found && f.random.IntN(6) == 0 {
		return old, nil
	}
	if !found || f.random.IntN(2) == 0 {
		f.stale[object.Key] = object
	}
	return object, nil
}

func (f *faults) write(ctx context.Context, write func() (qhplatform.Revision, error)) (qhplatform.Revision, error) {
	if err := f.delayOrRefuse(ctx); err != nil {
		return 0, err
	}
	lost := qherr.New(qherr.Unknown, nil, "", "lost")
	if f.draw(10) >= f.lossRate {
		return write()
	}
	switch f.draw(3) {
	case 0: // the request was lost
	case 1: // the response was lost
		_, _ = write()
	default: // the write takes effect late
		time.AfterFunc(time.Duration(f.draw(int(10*maxDelay))), func() { _, _ = write() })
	}
	return 0, lost
}

// withFaults returns the store with faults: slow or refused calls, writes that
// are lost before or after they take effect or take effect late, and reads of
// old objects.
func withFaults(store qhplatform.Store, f *faults) qhplatform.Store {
	f.stale = make(map[qhplatform.Key]qhplatform.Object)
	inner := store
	store.Get = func(ctx context.Context, key qhplatform.Key) (qhplatform.Object, error) {
		if err := f.delayOrRefuse(ctx); err != nil {
			return qhplatform.Object{}, err
		}
		object, err := inner.Get(ctx, key)
		return f.maybeStale(object, err)
	}
	store.List = func(ctx context.Context, prefix qhplatform.Key) ([]qhplatform.Object, error) {
		objects, err := inner.List(ctx, prefix)
		if refused := f.delayOrRefuse(ctx); refused != nil {
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
