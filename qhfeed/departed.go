package qhfeed

import (
	"context"
	"maps"
	"slices"
	"time"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

// departureMemory is how long the last entry of a node that has left is remembered.
// A copy from which the store is restored is at most seconds old.
const departureMemory = time.Minute

// departure is a node whose entry was deleted from the store.
type departure struct {
	entry qhmember.Entry
	time  time.Time
}

// recordDeparture remembers the last entry of a node whose entry was deleted.
func (f *Feed) recordDeparture(node qhid.Node) {
	entry, ok := f.Members.Get(node)
	if !ok {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(f.departed, func(_ qhid.Node, d departure) bool { return now.Sub(d.time) > departureMemory })
	f.departed[node] = departure{entry: entry, time: now}
}

// withoutDeparted returns the entries of a restored store without those of nodes
// that had left. The first reader of their zone deletes them again.
func (f *Feed) withoutDeparted(entries []qhmember.Entry) []qhmember.Entry {
	self := f.Members.Self()
	readers := readersInZone(f.Members.View().Entries, self.Zone)
	return slices.DeleteFunc(entries, func(entry qhmember.Entry) bool {
		if !f.hasDeparted(entry) {
			return false
		}
		if entry.Zone == self.Zone && len(readers) > 0 && readers[0].Node == self.Node {
			f.group.Go(func(ctx context.Context) { f.removeDownEntry(ctx, entry, "it had left before the store was restored") })
		}
		return true
	})
}

// hasDeparted reports whether the entry is no newer than the one with which its node
// left.
func (f *Feed) hasDeparted(entry qhmember.Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.departed[entry.Node]
	return ok && time.Since(d.time) <= departureMemory && qhmember.Compare(entry, d.entry) <= 0
}
