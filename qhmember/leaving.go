package qhmember

import (
	"maps"
	"time"

	"quetzalhaven.dev/qhid"
)

// leavingMemory is how long it is remembered that an incarnation of a target is
// leaving. A leaving target ends sooner than that.
const leavingMemory = 5 * time.Minute

// leavingTarget is an incarnation of a target that said that it is leaving.
type leavingTarget struct {
	startedAt int64
	markedAt  time.Time
}

// MarkTargetLeaving records that a target said in a response that it is leaving. Its
// endpoint then has the state leaving, whatever its node announces, until the target
// has another incarnation. It has no effect on a target whose incarnation is unknown.
func (t *Table) MarkTargetLeaving(id qhid.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for node, entry := range t.entries {
		for _, target := range entry.Targets {
			if target.ID != id {
				continue
			}
			if target.StartedAt != 0 && !t.isLeaving(target) {
				t.markLeaving(node, target)
			}
			return
		}
	}
}

// markLeaving records that a target of a node is leaving. The lock is held.
func (t *Table) markLeaving(node qhid.Node, target AnnouncedTarget) {
	now := t.now()
	maps.DeleteFunc(t.leaving, func(_ qhid.Target, known leavingTarget) bool { return now.Sub(known.markedAt) > leavingMemory })
	t.leaving[target.ID] = leavingTarget{startedAt: target.StartedAt, markedAt: now}
	if _, ok := t.pending[node]; !ok {
		t.pending[node] = t.entries[node]
	}
	t.rebuild()
}

// isLeaving reports whether the incarnation of the target said that it is leaving.
// The lock is held.
func (t *Table) isLeaving(target AnnouncedTarget) bool {
	known, ok := t.leaving[target.ID]
	return ok && known.startedAt == target.StartedAt
}
