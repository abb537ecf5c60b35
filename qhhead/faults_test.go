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
	// seen has an older state of each object that was read.
	seen map[qhplatform.Key]qhplatform.Object
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
	if ctx.Err() != nil || f.draw(25) == 0 {
		return qherr.New(qherr.Unavailable, ctx.Err(), "", "refused")
	}
	return nil
}

// stale returns the object, or an older state of it.
func (f *faults) stale(object qhplatform.Object, err error) (qhplatform.Object, error) {
	if err != nil {
		return object, err
	}
	old, found := f.seen[object.Key]
	if found && f.draw(6) == 0 {
		return old, nil
	}
	if !found || f.draw(2) == 0 {
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
