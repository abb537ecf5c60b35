package qhfeed

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
)

func entryKey(node qhid.Node) qhplatform.Key { return entryPrefix + qhplatform.Key(node) }

// entryNode returns the node whose entry is stored under the key.
func entryNode(key qhplatform.Key) qhid.Node { return qhid.Node(key[len(entryPrefix):]) }

// rewriteTimeout is the time after a restore of the store in which nodes whose
// entries it took back write them again. Until then their earlier entries are used.
const rewriteTimeout = 10 * time.Second

// applyNodeObjects merges entries from the store into the member table. A node whose
// entry was deleted or is missing from a full listing is removed. After a restore of
// the store, missing entries are kept until rewriteTimeout.
func (f *Feed) applyNodeObjects(batch batch) {
	var entries []qhmember.Entry
	listed := make(map[qhid.Node]bool, len(batch.objects))
	self := f.Members.Self()
	for _, object := range batch.objects {
		node := entryNode(object.Key)
		listed[node] = true
		f.recordRevision(node, object, batch.restored)
		if object.Value == nil {
			f.recordDeparture(node)
			f.removeMember(node, "its entry was deleted from the store")
			continue
		}
		entry, err := decodeEntry(node, object.Value)
		if err != nil {
			f.invalidEntries.Inc()
			f.Log.Warn("node entry is not used", zap.String("member", string(node)), zap.Error(err))
			continue
		}
		entries = append(entries, entry)
	}
	if batch.restored {
		entries = f.withoutDeparted(entries)
	}
	f.removeSucceeded(entries)
	for _, entry := range f.Members.Merge(entries) {
		f.Log.Info("member updated", zap.String("member", string(entry.Node)), zap.String("state", string(entry.State)),
			zap.Uint64("incarnation", uint64(entry.Incarnation)), zap.Uint64("sequence", uint64(entry.Sequence)), zap.Int("targets", len(entry.Targets)))
	}
	if batch.isListing {
		f.removeUnlisted(listed, batch.restored)
		f.recordUnlistedSelf(listed, batch)
	}
	f.refreshMembers()
	if now := f.Members.Self(); now.Sequence != self.Sequence || now.Incarnation != self.Incarnation || f.needsWrite(now) || f.needsRemoval(now) {
		f.wakePublisher()
	}
}

// refreshMembers makes merged entries visible, later if the last view is too recent.
func (f *Feed) refreshMembers() {
	wait := f.Members.Refresh()
	if wait == 0 || !f.refreshing.CompareAndSwap(false, true) {
		return
	}
	f.group.Go(func(ctx context.Context) {
		qhgroup.Sleep(ctx, wait)
		f.refreshing.Store(false)
		if ctx.Err() == nil {
			f.refreshMembers()
		}
	})
}

// removeSucceeded deletes the stored entries of other nodes that have this node's
// address. They are gone, but probes of them reach this node.
func (f *Feed) removeSucceeded(entries []qhmember.Entry) {
	self := f.Members.Self()
	for _, entry := range entries {
		if entry.Node != self.Node && entry.PeerAddress == self.PeerAddress {
			f.group.Go(func(ctx context.Context) { f.removeDownEntry(ctx, entry, "this node has its address") })
		}
	}
}

// recordRevision records the revision of a node's entry in the store, or that the
// entry was deleted. Of this node it records the entry too, unless a later write of
// the same era is known.
func (f *Feed) recordRevision(node qhid.Node, object qhplatform.Object, restored bool) {
	self := f.Members.Self().Node
	f.mu.Lock()
	defer f.mu.Unlock()
	if node == self {
		wasDeleted := object.Value == nil && object.Revision == f.storedRevision
		if restored || wasDeleted || object.Revision > f.storedRevision {
			f.setStored(object)
		}
		return
	}
	f.entryRevisions[node] = object.Revision
	if object.Value == nil {
		delete(f.entryRevisions, node)
	}
}

// setStored records this node's entry as the store has it. One that was deleted or
// cannot be decoded counts as missing, so that it is written again. The lock is held.
func (f *Feed) setStored(object qhplatform.Object) {
	f.storedRevision, f.storedEntry = object.Revision, qhmember.Entry{}
	if object.Value == nil {
		f.storedRevision = 0
		return
	}
	if entry, err := decodeEntry(f.Members.Self().Node, object.Value); err == nil {
		f.storedEntry = entry
	}
}

// decodeEntry decodes the entry of a node. Errors are of kind BadInput: another writer has
// written it.
func decodeEntry(node qhid.Node, value []byte) (qhmember.Entry, error) {
	var entry qhmember.Entry
	if err := json.Unmarshal(value, &entry); err != nil {
		return qhmember.Entry{}, qherr.New(qherr.BadInput, err, "find out who writes entries besides the nodes", "the entry of node %q cannot be decoded", node)
	}
	if entry.Node != node {
		return qhmember.Entry{}, qherr.New(qherr.BadInput, nil, "find out who writes entries besides the nodes", "the entry of node %q names node %q", node, entry.Node)
	}
	return entry, entry.Check()
}

// recordUnlistedSelf records that the store has no entry of this node if a listing
// does not have it, unless the entry was written after the listing.
func (f *Feed) recordUnlistedSelf(listed map[qhid.Node]bool, batch batch) {
	if listed[f.Members.Self().Node] {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if batch.restored || batch.revision >= f.storedRevision {
		f.setStored(qhplatform.Object{})
	}
}

// removeMember removes a node from the member table and logs the cause.
func (f *Feed) removeMember(node qhid.Node, cause string) {
	entry, ok := f.Members.Get(node)
	if ok && f.Members.Remove(node, entry.Incarnation) {
		f.Log.Info("member removed", zap.String("member", string(node)), zap.String("cause", cause))
	}
}

// removeUnlisted removes the nodes that a listing does not have. After a restore of
// the store it leaves that to removeWithoutEntry.
func (f *Feed) removeUnlisted(listed map[qhid.Node]bool, restored bool) {
	f.mu.Lock()
	maps.DeleteFunc(f.entryRevisions, func(node qhid.Node, _ qhplatform.Revision) bool { return !listed[node] })
	if restored {
		f.rewriteEnd = time.Now().Add(rewriteTimeout)
	}
	f.mu.Unlock()
	if f.isRewriting() {
		return
	}
	for _, entry := range f.unlistedMembers() {
		f.removeMember(entry.Node, "its entry is not in the store's listing")
	}
}

// unlistedMembers returns the other nodes that have no entry in the store.
func (f *Feed) unlistedMembers() []qhmember.Entry {
	self, entries := f.Members.Self().Node, f.Members.View().Entries
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(entries), func(entry qhmember.Entry) bool {
		return entry.Node == self || f.entryRevisions[entry.Node] != 0
	})
}

// removeWithoutEntry removes the nodes that have no entry in the store and do not
// respond to a probe: those that have not written it again after a restore of the
// store, and those that a peer still had. A node that responds cannot reach the store.
func (f *Feed) removeWithoutEntry(ctx context.Context) {
	for qhgroup.Sleep(ctx, rewriteTimeout/2+rand.N(rewriteTimeout/2)) {
		if !f.nodes.healthy() || f.isRewriting() {
			continue
		}
		for _, entry := range f.unlistedMembers() {
			if !f.probe(ctx, entry) && ctx.Err() == nil {
				f.removeMember(entry.Node, "it has no entry in the store and did not respond to a probe")
			}
		}
	}
}

// isRewriting reports whether nodes may still write their entries again after a
// restore of the store.
func (f *Feed) isRewriting() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.rewriteEnd)
}

// needsWrite reports whether this node's entry differs from the one in the store.
func (f *Feed) needsWrite(own qhmember.Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.announced && !f.hasLeft && len(own.Targets) > 0 && qhmember.Compare(own, f.storedEntry) != 0
}

// needsRemoval reports whether the store has an entry of this node although the
// node no longer has targets or has left.
func (f *Feed) needsRemoval(own qhmember.Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.announced && (len(own.Targets) == 0 || f.hasLeft) && f.storedRevision != 0
}

// publish writes this node's entry to the store whenever it changes, with retries,
// and deletes it once the node has no targets.
func (f *Feed) publish(ctx context.Context) {
	backoff := newRetryBackoff()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.publishWake:
		}
		for own := f.Members.Self(); f.needsWrite(own) && ctx.Err() == nil; own = f.Members.Self() {
			if err := f.writeOwnEntry(ctx, own); err != nil {
				f.Log.Warn("cannot write own entry", zap.Uint64("sequence", uint64(own.Sequence)), zap.Error(err))
				backoff.wait(ctx)
				continue
			}
			backoff.reset()
		}
		if f.needsRemoval(f.Members.Self()) {
			f.removeOwnEntry(ctx)
		}
	}
}

// writeOwnEntry writes this node's entry to the store. If the outcome is unknown or
// the condition failed, it reads the entry, so that the next attempt uses the
// current revision.
func (f *Feed) writeOwnEntry(ctx context.Context, own qhmember.Entry) error {
	value, err := json.Marshal(own)
	if err != nil {
		return qherr.New(qherr.Internal, err, "report this as a bug", "own entry cannot be encoded")
	}
	f.mu.Lock()
	revision := f.storedRevision
	f.mu.Unlock()
	if revision == 0 {
		revision, err = f.Store.Create(ctx, entryKey(own.Node), value)
	} else {
		revision, err = f.Store.Update(ctx, entryKey(own.Node), value, revision)
	}
	if err == nil {
		f.mu.Lock()
		f.storedRevision, f.storedEntry = revision, own
		f.mu.Unlock()
		f.Log.Info("own entry written", zap.Uint64("sequence", uint64(own.Sequence)), zap.Int("targets", len(own.Targets)))
		return nil
	}
	if qherr.Is(err, qherr.Conflict) || qherr.Is(err, qherr.Unknown) || qherr.Is(err, qherr.NotFound) {
		f.readOwnEntry(ctx, own)
	}
	return err
}

// readOwnEntry reads this node's entry and its revision from the store. The entry
// read is merged, so that this node's own entry becomes newer than it.
func (f *Feed) readOwnEntry(ctx context.Context, own qhmember.Entry) {
	object, err := f.Store.Get(ctx, entryKey(own.Node))
	if err != nil && !qherr.Is(err, qherr.NotFound) {
		return // the next attempt to write reads it again
	}
	f.mu.Lock()
	f.setStored(object)
	found := f.storedEntry
	f.mu.Unlock()
	if found.Node == own.Node {
		f.Members.Merge([]qhmember.Entry{found})
	}
}

// leaveTimeout bounds the deletion of this node's entry.
const leaveTimeout = time.Second

// Leave deletes this node's entry from the store, so that other nodes send no new
// calls. Failures are logged.
func (f *Feed) Leave(ctx context.Context) {
	f.mu.Lock()
	f.hasLeft = true
	f.mu.Unlock()
	f.removeOwnEntry(ctx)
}

// removeOwnEntry deletes this node's entry if the store has one.
func (f *Feed) removeOwnEntry(ctx context.Context) {
	f.mu.Lock()
	revision := f.storedRevision
	f.storedRevision, f.storedEntry = 0, qhmember.Entry{}
	f.mu.Unlock()
	if revision == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := f.Store.Delete(ctx, entryKey(f.Members.Self().Node), revision); err != nil && !qherr.Is(err, qherr.NotFound) {
		f.Log.Warn("cannot delete own entry; other nodes notice it by failed calls", zap.Error(err))
		return
	}
	f.Log.Info("own entry deleted")
}
