package qhplatform

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"quetzalhaven.dev/qherr"
)

// Compact drops the history up to now, which ends all waiting calls of Follow.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compactedTo = m.revision + 1
	m.revision++
	m.notifyLocked()
}

// notifyLocked wakes all watches. The lock is held.
func (m *Memory) notifyLocked() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Memory) listAt(ctx context.Context, prefix Key) (Listing, error) {
	m.mu.Lock()
	revision := m.revision // read before the list, so that a concurrent write is returned by Follow too
	m.mu.Unlock()
	objects, err := m.list(ctx, prefix)
	return Listing{Objects: objects, Revision: revision}, err
}

// watchPrefix returns the changes after a revision, or none after the limit.
func (m *Memory) watchPrefix(ctx context.Context, prefix Key, after Revision, limit time.Duration) (Changes, error) {
	if _, err := m.admit(ctx, OpFollow, prefix); err != nil {
		return Changes{}, err
	}
	m.countWaiting(1)
	defer m.countWaiting(-1)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		changes, changed, err := m.since(prefix, after)
		if err != nil || len(changes.Objects) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return changes, nil
		case <-ctx.Done():
			return Changes{}, cancelledError(ctx, OpFollow, prefix)
		}
	}
}

// since returns the latest states of the objects changed after a revision, and a
// channel that is closed at the next write.
func (m *Memory) since(prefix Key, after Revision) (Changes, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.SilentWatches && m.faults.matches(prefix) {
		return Changes{Revision: after}, nil, nil
	}
	if after < m.compactedTo {
		return Changes{}, nil, qherr.New(qherr.Conflict, nil, "list it again", "the history of %s after revision %d was compacted", prefix, after)
	}
	changes := Changes{Revision: m.revision}
	for key, writes := range m.history {
		last := writes[len(writes)-1]
		if last.Revision > after && strings.HasPrefix(string(key), string(prefix)) {
			changes.Objects = append(changes.Objects, clone(last))
		}
	}
	slices.SortFunc(changes.Objects, func(a, b Object) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes, m.changed, nil
}
