package qhplatform

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"quetzalhaven.dev/qherr"
)

// Compact forgets the history up to now, and ends the watches that wait.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compacted = m.revision + 1
	m.revision++
	m.wake()
}

// wake wakes all watches. The lock is held.
func (m *Memory) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Memory) listAt(ctx context.Context, prefix Key) (Listing, error) {
	m.mu.Lock()
	at := m.revision // what is written meanwhile comes again as a change
	m.mu.Unlock()
	objects, err := m.list(ctx, prefix)
	return Listing{Objects: objects, Revision: at}, err
}

// follow returns the changes after a revision, none at the bound.
func (m *Memory) follow(ctx context.Context, prefix Key, after Revision, limit time.Duration) (Changes, error) {
	if _, err := m.admit(ctx, OpFollow, prefix); err != nil {
		return Changes{}, err
	}
	m.countWaiting(1)
	defer m.countWaiting(-1)
	bound := time.NewTimer(limit)
	defer bound.Stop()
	for {
		changes, changed, err := m.since(prefix, after)
		if err != nil || len(changes.Objects) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-bound.C:
			return changes, nil
		case <-ctx.Done():
			return Changes{}, abandoned(ctx, OpFollow, prefix)
		}
	}
}

// since returns the newest states of what changed after a revision, and what is
// closed by the next write.
func (m *Memory) since(prefix Key, after Revision) (Changes, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.SilentWatches && m.faults.bite(prefix) {
		return Changes{Revision: after}, nil, nil
	}
	if after < m.compacted {
		return Changes{}, nil, qherr.New(qherr.Conflict, nil, "list it again", "the history of %s after revision %d is gone", prefix, after)
	}
	changes := Changes{Revision: m.revision}
	for key, writes := range m.writes {
		last := writes[len(writes)-1]
		if last.Revision > after && strings.HasPrefix(string(key), string(prefix)) {
			changes.Objects = append(changes.Objects, copied(last))
		}
	}
	slices.SortFunc(changes.Objects, func(a, b Object) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes, m.changed, nil
}
