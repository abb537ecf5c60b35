package qhfeed

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
)

func keyOf(node qhid.Node) qhplatform.Key { return nodeKeys + qhplatform.Key(node) }

// nodeOf returns the node whose entry the key has.
func nodeOf(key qhplatform.Key) qhid.Node { return qhid.Node(key[len(nodeKeys):]) }

// takeNodes merges entries of the store. What is in no listing is gone.
func (f *Feed) takeNodes(objects []qhplatform.Object, whole bool) {
	var entries []qhmember.Entry
	listed := make(map[qhid.Node]bool, len(objects))
	self := f.Members.Self()
	for _, object := range objects {
		node := nodeOf(object.Key)
		listed[node] = true
		f.note(node, object)
		if object.Value == nil {
			f.forget(node, "its entry was removed")
			continue
		}
		var entry qhmember.Entry
		if err := json.Unmarshal(object.Value, &entry); err != nil || entry.Node != node {
			f.Log.Warn("entry of a node can't be read", zap.String("node", string(node)), zap.Error(err))
			continue
		}
		entries = append(entries, entry)
	}
	for _, entry := range f.Members.Merge(entries) {
		f.Log.Info("member known", zap.String("member", string(entry.Node)), zap.String("state", string(entry.State)),
			zap.Uint64("incarnation", uint64(entry.Incarnation)), zap.Uint64("sequence", uint64(entry.Sequence)), zap.Int("targets", len(entry.Targets)))
	}
	if whole {
		f.forgetUnlisted(listed)
	}
	f.Members.Refresh()
	if now := f.Members.Self(); now.Sequence != self.Sequence || now.Incarnation != self.Incarnation || f.unwritten(now) {
		f.wake()
	}
}

// note keeps the revision of an entry.
func (f *Feed) note(node qhid.Node, object qhplatform.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if node == f.Members.Self().Node {
		f.mine = object.Revision
		if object.Value == nil {
			f.mine, f.written = 0, qhmember.Entry{}
		}
		return
	}
	f.revisions[node] = object.Revision
	if object.Value == nil {
		delete(f.revisions, node)
	}
}

// forget takes out a node whose entry is gone.
func (f *Feed) forget(node qhid.Node, why string) {
	entry, ok := f.Members.Get(node)
	if ok && f.Members.Remove(node, entry.Incarnation) {
		f.Log.Info("member gone", zap.String("member", string(node)), zap.String("because", why))
	}
}

func (f *Feed) forgetUnlisted(listed map[qhid.Node]bool) {
	for _, entry := range f.Members.View().Entries {
		if !listed[entry.Node] {
			f.forget(entry.Node, "the store does not list it")
		}
	}
}

// unwritten tells whether the store lacks the own entry as it is.
func (f *Feed) unwritten(own qhmember.Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.announcedOnce && !f.left && len(own.Targets) > 0 && qhmember.Compare(own, f.written) != 0
}

// superfluous tells whether the store has an entry of this node, which has no
// target any more.
func (f *Feed) superfluous(own qhmember.Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.announcedOnce && len(own.Targets) == 0 && f.mine != 0
}

// publish writes the own entry whenever it changed, until the store has it.
func (f *Feed) publish(ctx context.Context) {
	pause := newPause()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.announced:
		}
		for own := f.Members.Self(); f.unwritten(own) && ctx.Err() == nil; own = f.Members.Self() {
			if err := f.write(ctx, own); err != nil {
				f.Log.Warn("own entry not written", zap.Uint64("sequence", uint64(own.Sequence)), zap.Error(err))
				pause.wait(ctx)
				continue
			}
			pause.reset()
		}
		if f.superfluous(f.Members.Self()) {
			f.remove(ctx)
		}
	}
}

// write puts the own entry into the store. Where the outcome is not certain or
// the condition failed it reads the entry, so that the next try has its revision.
func (f *Feed) write(ctx context.Context, own qhmember.Entry) error {
	value, err := json.Marshal(own)
	if err != nil {
		return qherr.New(qherr.Internal, err, "report this as a fault", "the own entry can't be encoded")
	}
	f.mu.Lock()
	at := f.mine
	f.mu.Unlock()
	if at == 0 {
		at, err = f.Store.Create(ctx, keyOf(own.Node), value)
	} else {
		at, err = f.Store.Update(ctx, keyOf(own.Node), value, at)
	}
	if err == nil {
		f.mu.Lock()
		f.mine, f.written = at, own
		f.mu.Unlock()
		f.Log.Info("own entry written", zap.Uint64("sequence", uint64(own.Sequence)), zap.Int("targets", len(own.Targets)))
		return nil
	}
	if qherr.Is(err, qherr.Conflict) || qherr.Is(err, qherr.Unknown) || qherr.Is(err, qherr.NotFound) {
		f.lookUp(ctx, own)
	}
	return err
}

// lookUp reads the own entry as the store has it.
func (f *Feed) lookUp(ctx context.Context, own qhmember.Entry) {
	object, err := f.Store.Get(ctx, keyOf(own.Node))
	if err != nil && !qherr.Is(err, qherr.NotFound) {
		return // the next try comes here again
	}
	var found qhmember.Entry
	if err == nil && json.Unmarshal(object.Value, &found) != nil {
		found = qhmember.Entry{} // unreadable, so it is replaced
	}
	f.mu.Lock()
	f.mine, f.written = object.Revision, found
	f.mu.Unlock()
	if found.Node == own.Node {
		f.Members.Merge([]qhmember.Entry{found})
	}
}

// leaveWait bounds the removal of the own entry.
const leaveWait = time.Second

// Leave removes the own entry, so that others send no new work.
func (f *Feed) Leave(ctx context.Context) {
	f.mu.Lock()
	f.left = true
	f.mu.Unlock()
	f.remove(ctx)
}

// remove removes the own entry where the store has one.
func (f *Feed) remove(ctx context.Context) {
	f.mu.Lock()
	at := f.mine
	f.mine, f.written = 0, qhmember.Entry{}
	f.mu.Unlock()
	if at == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveWait)
	defer cancel()
	if err := f.Store.Delete(ctx, keyOf(f.Members.Self().Node), at); err != nil {
		f.Log.Warn("own entry not removed; others find out by calling", zap.Error(err))
		return
	}
	f.Log.Info("own entry removed")
}
