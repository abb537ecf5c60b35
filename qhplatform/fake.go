package qhplatform

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

const (
	// fakeWatchTimeout is the default of FakeOptions.WatchTimeout.
	fakeWatchTimeout = 10 * time.Second
	// maxHistory is the number of states kept of each object, for stale reads.
	maxHistory = 16
)

// FakeOptions configures NewFake. The zero value has the defaults.
type FakeOptions struct {
	// WatchTimeout bounds a waiting watch; 10 s if it is 0.
	WatchTimeout time.Duration
	// EachChange makes a watch of a prefix return each known change of an object, not
	// only the latest.
	EachChange bool
}

// Fake is a fake platform: the object API in memory, with fault injection, for
// tests and demos. It is safe for concurrent use.
type Fake struct {
	watchTimeout time.Duration
	eachChange   bool

	mu sync.Mutex
	// revision is the revision of the last write of any object, so that an object
	// that was deleted and created again has a greater revision than before.
	revision Revision
	// era is 1 until the first restore.
	era Era
	// history has the last states of each object, the latest last. A nil value
	// stands for a deleted object.
	history       map[Key][]Object
	faults        Faults
	limiter       *rate.Limiter
	counts        Counts
	currentSecond secondCounter
	// changed is closed and replaced at each write.
	changed chan struct{}
	// compactedTo is the revision before which watches of a prefix cannot start.
	compactedTo Revision
}

// NewFake returns an empty fake platform without faults.
func NewFake(opts FakeOptions) *Fake {
	if opts.WatchTimeout == 0 {
		opts.WatchTimeout = fakeWatchTimeout
	}
	return &Fake{
		watchTimeout: opts.WatchTimeout,
		eachChange:   opts.EachChange,
		era:          1,
		history:      make(map[Key][]Object),
		limiter:      rate.NewLimiter(rate.Inf, 1),
		counts:       Counts{Calls: make(map[Operation]int)},
		changed:      make(chan struct{}),
	}
}

// Store returns the object API of the fake platform.
func (f *Fake) Store() Store {
	return Store{
		Get:          f.get,
		Create:       f.create,
		Update:       f.update,
		UpdateStatus: f.updateStatus,
		Delete:       f.delete,
		List:         f.list,
		ListAt:       f.listAt,
		WatchPrefix: func(ctx context.Context, prefix Key, after Revision, wait time.Duration) (Changes, error) {
			return f.watchPrefix(ctx, prefix, after, min(f.watchTimeout, orDefault(wait, f.watchTimeout)))
		},
		WatchObject: func(ctx context.Context, key Key, after Revision) (Object, error) {
			return f.watchObject(ctx, key, after, f.watchTimeout)
		},
	}
}

// SetFaults replaces the injected faults, which must have passed Check. Calls that
// already hang or wait are not affected.
func (f *Fake) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	limit := rate.Inf
	if faults.RateLimit > 0 {
		limit = rate.Limit(faults.RateLimit)
	}
	f.limiter = rate.NewLimiter(limit, max(1, int(faults.RateLimit)))
}

// Faults returns the injected faults.
func (f *Fake) Faults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// Era returns the era of the fake platform.
func (f *Fake) Era() Era {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

// Counts returns the totals of all calls so far.
func (f *Fake) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := f.counts
	counts.Calls = maps.Clone(f.counts.Calls)
	for _, writes := range f.history {
		if last := writes[len(writes)-1]; last.Value != nil {
			counts.Objects++
			counts.BytesStored += qhid.Bytes(len(last.Value))
		}
	}
	return counts
}

func (f *Fake) get(ctx context.Context, key Key) (Object, error) {
	if _, err := f.admit(ctx, OpGet, key); err != nil {
		return Object{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	object, found := f.readVisible(key)
	if !found {
		return Object{}, notFoundError(key)
	}
	f.counts.BytesRead += qhid.Bytes(len(object.Value))
	return object, nil
}

func (f *Fake) list(ctx context.Context, prefix Key) ([]Object, error) {
	if _, err := f.admit(ctx, OpList, prefix); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var objects []Object
	for _, key := range slices.Sorted(maps.Keys(f.history)) {
		if !strings.HasPrefix(string(key), string(prefix)) {
			continue
		}
		if object, found := f.readVisible(key); found {
			f.counts.BytesRead += qhid.Bytes(len(object.Value))
			objects = append(objects, object)
		}
	}
	return objects, nil
}

// watchObject returns the object once its revision is above after, or NotFound
// after the limit.
func (f *Fake) watchObject(ctx context.Context, key Key, after Revision, limit time.Duration) (Object, error) {
	if _, err := f.admit(ctx, OpWatchObject, key); err != nil {
		return Object{}, err
	}
	f.countWaiting(1)
	defer f.countWaiting(-1)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		object, changed, noResponse := f.newestAndNextChange(key, after)
		if noResponse {
			<-ctx.Done()
			return Object{}, cancelledError(ctx, OpWatchObject, key)
		}
		if object.Revision > after {
			return object, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return Object{}, notChangedError(key, after)
		case <-ctx.Done():
			return Object{}, cancelledError(ctx, OpWatchObject, key)
		}
	}
}

// newestAndNextChange returns the latest state of the object, or the zero Object if it
// does not exist, and a channel that is closed at the next write. noResponse is set
// if the faults suppress the response.
func (f *Fake) newestAndNextChange(key Key, after Revision) (object Object, changed <-chan struct{}, noResponse bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.SilentWatches && f.faults.matches(key) {
		return Object{}, nil, true
	}
	object, _ = f.newest(key)
	if object.Revision > after {
		f.counts.BytesRead += qhid.Bytes(len(object.Value))
	}
	return object, f.changed, false
}

func (f *Fake) countWaiting(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.WaitingWatches += n
}

// newest returns the current state of the object. The lock is held.
func (f *Fake) newest(key Key) (Object, bool) {
	writes := f.history[key]
	if len(writes) == 0 || writes[len(writes)-1].Value == nil {
		return Object{}, false
	}
	return clone(writes[len(writes)-1]), true
}

// readVisible returns the state of the object that reads see, which is an old one
// while reads are stale. The lock is held.
func (f *Fake) readVisible(key Key) (Object, bool) {
	if f.faults.StaleBy == 0 || !f.faults.matches(key) {
		return f.newest(key)
	}
	writes := f.history[key]
	if len(writes) == 0 {
		return Object{}, false
	}
	object := writes[max(0, len(writes)-1-f.faults.StaleBy)]
	return clone(object), object.Value != nil
}

func clone(object Object) Object {
	object.Value, object.Status = bytes.Clone(object.Value), bytes.Clone(object.Status)
	return object
}

func notFoundError(key Key) error {
	return qherr.New(qherr.NotFound, nil, "check the key", "the platform has no object %s", key)
}

func notChangedError(key Key, after Revision) error {
	return qherr.New(qherr.NotFound, nil, "watch it again", "object %s did not change after revision %d", key, after)
}
