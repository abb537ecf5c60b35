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
	// memoryWatchTimeout is the default of MemoryOptions.WatchTimeout.
	memoryWatchTimeout = 10 * time.Second
	// maxHistory is the number of states kept of each object, for stale reads.
	maxHistory = 16
)

// MemoryOptions configures NewMemory. The zero value has the defaults.
type MemoryOptions struct {
	// WatchTimeout bounds a waiting watch; 10 s if it is 0.
	WatchTimeout time.Duration
}

// Memory is an in-memory platform with fault injection, for tests and demos.
type Memory struct {
	watchTimeout time.Duration

	mu sync.Mutex
	// revision is the revision of the last write of any object, so that an object
	// that was deleted and created again has a greater revision than before.
	revision Revision
	// history has the last states of each object, the latest last. A nil value
	// stands for a deleted object.
	history       map[Key][]Object
	faults        Faults
	limiter       *rate.Limiter
	counts        Counts
	currentSecond secondCounter
	// changed is closed and replaced at each write.
	changed chan struct{}
	// compactedTo is the revision below which the history is gone.
	compactedTo Revision
}

// NewMemory returns an empty Memory without faults.
func NewMemory(opts MemoryOptions) *Memory {
	if opts.WatchTimeout == 0 {
		opts.WatchTimeout = memoryWatchTimeout
	}
	return &Memory{
		watchTimeout: opts.WatchTimeout,
		history:      make(map[Key][]Object),
		limiter:      rate.NewLimiter(rate.Inf, 1),
		counts:       Counts{Calls: make(map[Operation]int)},
		changed:      make(chan struct{}),
	}
}

// Store returns the object API of the memory.
func (m *Memory) Store() Store {
	return Store{
		Get:    m.get,
		Create: m.create,
		Update: m.update,
		Delete: m.delete,
		List:   m.list,
		ListAt: m.listAt,
		Follow: func(ctx context.Context, prefix Key, after Revision, wait time.Duration) (Changes, error) {
			return m.watchPrefix(ctx, prefix, after, min(m.watchTimeout, orDefault(wait, m.watchTimeout)))
		},
		Watch: func(ctx context.Context, key Key, after Revision) (Object, error) {
			return m.watchObject(ctx, key, after, m.watchTimeout)
		},
	}
}

// SetFaults replaces the injected faults, which must have passed Check. Calls that
// already hang or wait are not affected.
func (m *Memory) SetFaults(faults Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = faults
	limit := rate.Inf
	if faults.RateLimit > 0 {
		limit = rate.Limit(faults.RateLimit)
	}
	m.limiter = rate.NewLimiter(limit, max(1, int(faults.RateLimit)))
}

// Faults returns the injected faults.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// Counts returns the totals of all calls so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.counts
	counts.Calls = maps.Clone(m.counts.Calls)
	for _, writes := range m.history {
		if last := writes[len(writes)-1]; last.Value != nil {
			counts.Objects++
			counts.BytesStored += qhid.Bytes(len(last.Value))
		}
	}
	return counts
}

func (m *Memory) get(ctx context.Context, key Key) (Object, error) {
	if _, err := m.admit(ctx, OpGet, key); err != nil {
		return Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	object, found := m.readVisible(key)
	if !found {
		return Object{}, notFoundError(key)
	}
	m.counts.BytesRead += qhid.Bytes(len(object.Value))
	return object, nil
}

func (m *Memory) list(ctx context.Context, prefix Key) ([]Object, error) {
	if _, err := m.admit(ctx, OpList, prefix); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var objects []Object
	for _, key := range slices.Sorted(maps.Keys(m.history)) {
		if !strings.HasPrefix(string(key), string(prefix)) {
			continue
		}
		if object, found := m.readVisible(key); found {
			m.counts.BytesRead += qhid.Bytes(len(object.Value))
			objects = append(objects, object)
		}
	}
	return objects, nil
}

// watchObject returns the object once its revision is above after, or NotFound
// after the limit.
func (m *Memory) watchObject(ctx context.Context, key Key, after Revision, limit time.Duration) (Object, error) {
	if _, err := m.admit(ctx, OpWatch, key); err != nil {
		return Object{}, err
	}
	m.countWaiting(1)
	defer m.countWaiting(-1)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		object, changed, noAnswer := m.newestAndChanged(key, after)
		if noAnswer {
			<-ctx.Done()
			return Object{}, cancelledError(ctx, OpWatch, key)
		}
		if object.Revision > after {
			return object, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return Object{}, notChangedError(key, after)
		case <-ctx.Done():
			return Object{}, cancelledError(ctx, OpWatch, key)
		}
	}
}

// newestAndChanged returns the latest state of the object, or the zero Object if it
// does not exist, and a channel that is closed at the next write. noAnswer is set
// if the faults suppress the response.
func (m *Memory) newestAndChanged(key Key, after Revision) (object Object, changed <-chan struct{}, noAnswer bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.SilentWatches && m.faults.matches(key) {
		return Object{}, nil, true
	}
	object, _ = m.newest(key)
	if object.Revision > after {
		m.counts.BytesRead += qhid.Bytes(len(object.Value))
	}
	return object, m.changed, false
}

func (m *Memory) countWaiting(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.WaitingWatches += n
}

// newest returns the current state of the object. The lock is held.
func (m *Memory) newest(key Key) (Object, bool) {
	writes := m.history[key]
	if len(writes) == 0 || writes[len(writes)-1].Value == nil {
		return Object{}, false
	}
	return clone(writes[len(writes)-1]), true
}

// readVisible returns the state of the object that reads see, which is an old one
// while reads are stale. The lock is held.
func (m *Memory) readVisible(key Key) (Object, bool) {
	if m.faults.StaleBy == 0 || !m.faults.matches(key) {
		return m.newest(key)
	}
	writes := m.history[key]
	if len(writes) == 0 {
		return Object{}, false
	}
	object := writes[max(0, len(writes)-1-m.faults.StaleBy)]
	return clone(object), object.Value != nil
}

func clone(object Object) Object {
	object.Value = bytes.Clone(object.Value)
	return object
}

func notFoundError(key Key) error {
	return qherr.New(qherr.NotFound, nil, "check the key", "the platform has no object %s", key)
}

func notChangedError(key Key, after Revision) error {
	return qherr.New(qherr.NotFound, nil, "watch it again", "object %s did not change after revision %d", key, after)
}
