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
	// defaultWatch bounds a waiting watch.
	defaultWatch = 10 * time.Second
	// keptWrites is how many old states of an object stay for stale reads.
	keptWrites = 16
)

// MemoryOptions are the options of NewMemory. The zero value has the defaults.
type MemoryOptions struct {
	// WatchTimeout bounds a waiting watch; 10 s where it is 0.
	WatchTimeout time.Duration
}

// Memory is a platform in memory with a switch for each fault. It takes the
// platform's place in tests and in the demo.
type Memory struct {
	watch time.Duration

	mu sync.Mutex
	// revision is that of the last write of any object, so that an object that
	// was deleted and made again has a larger revision than before.
	revision Revision
	// writes are the last states of each object, the newest last. A nil value
	// stands for a deleted object.
	writes  map[Key][]Object
	faults  Faults
	limiter *rate.Limiter
	counts  Counts
	current second
	// changed is closed and replaced by each write.
	changed chan struct{}
	// compacted is the revision up to which the history is forgotten.
	compacted Revision
}

// NewMemory returns an empty Memory without faults.
func NewMemory(opts MemoryOptions) *Memory {
	if opts.WatchTimeout == 0 {
		opts.WatchTimeout = defaultWatch
	}
	return &Memory{
		watch:   opts.WatchTimeout,
		writes:  make(map[Key][]Object),
		limiter: rate.NewLimiter(rate.Inf, 1),
		counts:  Counts{Calls: make(map[Operation]int)},
		changed: make(chan struct{}),
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
			return m.follow(ctx, prefix, after, min(m.watch, orDefault(wait, m.watch)))
		},
		Watch: func(ctx context.Context, key Key, after Revision) (Object, error) {
			return m.wait(ctx, key, after, m.watch)
		},
	}
}

// SetFaults replaces the faults, which pass their check. Calls that hang or wait already go on so.
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

// Faults returns the faults that are on.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// Counts returns what was asked so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.counts
	counts.Calls = maps.Clone(m.counts.Calls)
	for _, writes := range m.writes {
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
	object, found := m.read(key)
	if !found {
		return Object{}, notFound(key)
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
	for _, key := range slices.Sorted(maps.Keys(m.writes)) {
		if !strings.HasPrefix(string(key), string(prefix)) {
			continue
		}
		if object, found := m.read(key); found {
			m.counts.BytesRead += qhid.Bytes(len(object.Value))
			objects = append(objects, object)
		}
	}
	return objects, nil
}

// wait returns the object once it is above the revision, NotFound at the bound.
func (m *Memory) wait(ctx context.Context, key Key, after Revision, limit time.Duration) (Object, error) {
	if _, err := m.admit(ctx, OpWatch, key); err != nil {
		return Object{}, err
	}
	m.countWaiting(1)
	defer m.countWaiting(-1)
	bound := time.NewTimer(limit)
	defer bound.Stop()
	for {
		object, changed, silent := m.look(key, after)
		if silent {
			<-ctx.Done()
			return Object{}, abandoned(ctx, OpWatch, key)
		}
		if object.Revision > after {
			return object, nil
		}
		select {
		case <-changed:
		case <-bound.C:
			return Object{}, notChanged(key, after)
		case <-ctx.Done():
			return Object{}, abandoned(ctx, OpWatch, key)
		}
	}
}

// look returns the newest state of the object, the zero Object where it is not
// there, and what is closed by the next write.
func (m *Memory) look(key Key, after Revision) (object Object, changed <-chan struct{}, silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.SilentWatches && m.faults.bite(key) {
		return Object{}, nil, true
	}
	object, _ = m.newest(key)
	if object.Revision > after {
		m.counts.BytesRead += qhid.Bytes(len(object.Value))
	}
	return object, m.changed, false
}

func (m *Memory) countWaiting(more int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.WaitingWatches += more
}

// newest returns the object as it is. The lock is held.
func (m *Memory) newest(key Key) (Object, bool) {
	writes := m.writes[key]
	if len(writes) == 0 || writes[len(writes)-1].Value == nil {
		return Object{}, false
	}
	return copied(writes[len(writes)-1]), true
}

// read returns the object as readers see it. The lock is held.
func (m *Memory) read(key Key) (Object, bool) {
	if m.faults.StaleBy == 0 || !m.faults.bite(key) {
		return m.newest(key)
	}
	writes := m.writes[key]
	if len(writes) == 0 {
		return Object{}, false
	}
	object := writes[max(0, len(writes)-1-m.faults.StaleBy)]
	return copied(object), object.Value != nil
}

func copied(object Object) Object {
	object.Value = bytes.Clone(object.Value)
	return object
}

func notFound(key Key) error {
	return qherr.New(qherr.NotFound, nil, "check its key", "the platform has no object %s", key)
}

func notChanged(key Key, after Revision) error {
	return qherr.New(qherr.NotFound, nil, "watch it again", "object %s did not change after revision %d", key, after)
}
