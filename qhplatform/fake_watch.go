package qhplatform

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"quetzalhaven.dev/qherr"
)

// Compact drops the history up to now. All waiting calls of WatchPrefix then fail
// with Conflict.
func (f *Fake) Compact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.compactedTo = f.revision + 1
	f.revision++
	f.notifyLocked()
}

// notifyLocked wakes all watches. The lock is held.
func (f *Fake) notifyLocked() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Fake) listAt(ctx context.Context, prefix Key) (Listing, error) {
	f.mu.Lock()
	listing := Listing{Revision: f.revision, Era: f.era} // read before the list, so that WatchPrefix returns a concurrent write too
	f.mu.Unlock()
	objects, err := f.list(ctx, prefix)
	listing.Objects = objects
	return listing, err
}

// watchPrefix returns the changes after a revision, or none after the limit.
func (f *Fake) watchPrefix(ctx context.Context, prefix Key, after Revision, limit time.Duration) (Changes, error) {
	if _, err := f.admit(ctx, OpWatchPrefix, prefix); err != nil {
		return Changes{}, err
	}
	f.countWaiting(1)
	defer f.countWaiting(-1)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		changes, changed, err := f.changesSince(prefix, after)
		if err != nil || len(changes.Objects) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return changes, nil
		case <-ctx.Done():
			return Changes{}, cancelledError(ctx, OpWatchPrefix, prefix)
		}
	}
}

// changesSince returns the latest states of the objects changed after a revision, or all of
// them with FakeOptions.EachChange, and a channel that is closed at the next write.
func (f *Fake) changesSince(prefix Key, after Revision) (Changes, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.SilentWatches && f.faults.matches(prefix) {
		return Changes{Revision: after, Era: f.era}, nil, nil
	}
	if after < f.compactedTo || after > f.revision {
		return Changes{}, nil, qherr.New(qherr.Conflict, nil, "list it again", "the platform does not have the history of %s after revision %d", prefix, after)
	}
	changes := Changes{Revision: f.revision, Era: f.era}
	for key, writes := range f.history {
		if !strings.HasPrefix(string(key), string(prefix)) {
			continue
		}
		if !f.eachChange {
			writes = writes[len(writes)-1:]
		}
		for _, write := range writes {
			if write.Revision > after {
				changes.Objects = append(changes.Objects, clone(write))
			}
		}
	}
	slices.SortFunc(changes.Objects, func(a, b Object) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes, f.changed, nil
}
