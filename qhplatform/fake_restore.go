package qhplatform

import (
	"maps"
	"slices"
)

// Backup is a copy of the objects of a fake platform.
type Backup struct {
	revision    Revision
	history     map[Key][]Object
	compactedTo Revision
}

// Backup returns a copy of the objects, for Restore.
func (f *Fake) Backup() Backup {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Backup{revision: f.revision, history: cloneHistory(f.history), compactedTo: f.compactedTo}
}

// Restore takes back all writes since the backup and begins a new era, in which
// their revisions are assigned again. A watch of a prefix from such a revision fails
// with Conflict until the revision is reached.
func (f *Fake) Restore(backup Backup) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era++
	f.revision, f.history, f.compactedTo = backup.revision, cloneHistory(backup.history), backup.compactedTo
	f.notifyLocked()
}

func cloneHistory(history map[Key][]Object) map[Key][]Object {
	cloned := maps.Clone(history)
	for key, writes := range cloned {
		cloned[key] = slices.Clone(writes)
	}
	return cloned
}
