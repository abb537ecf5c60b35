package qhfeed

import (
	"cmp"
	"slices"
	"sync"

	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhwire"
)

// objectCache holds the latest known objects under one prefix, from which a reader
// serves the watches of its clients.
type objectCache struct {
	mu sync.Mutex
	// objects has the latest state of each object. A deleted object has a nil
	// value.
	objects map[qhplatform.Key]*cachedObject
	// revision is the revision of the whole set.
	revision qhplatform.Revision
	// historyStart is the oldest revision from which all later changes are known.
	historyStart qhplatform.Revision
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// cachedObject is an object and its previous state.
type cachedObject struct {
	qhplatform.Object
	previous qhplatform.Object
	// delta is the value packed as a difference from the previous one, full the
	// value packed by itself. Each is computed on first use.
	delta, full qhwire.Packed
}

func newObjectCache() *objectCache {
	return &objectCache{objects: make(map[qhplatform.Key]*cachedObject), changed: make(chan struct{})}
}

// replace sets the objects to those of a listing. Objects that are not listed are
// dropped.
func (c *objectCache) replace(listing qhplatform.Listing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.objects
	c.objects = make(map[qhplatform.Key]*cachedObject, len(listing.Objects))
	for _, object := range listing.Objects {
		c.put(previous[object.Key], object)
	}
	c.revision, c.historyStart = listing.Revision, listing.Revision
	c.notifyLocked()
}

// add applies changes that follow the current revision.
func (c *objectCache) add(changes qhplatform.Changes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, object := range changes.Objects {
		c.put(c.objects[object.Key], object)
	}
	c.revision = max(c.revision, changes.Revision)
	if len(changes.Objects) > 0 {
		c.notifyLocked()
	}
}

// put stores an object unless the cached one is as new. The lock is held.
func (c *objectCache) put(old *cachedObject, object qhplatform.Object) {
	switch {
	case old == nil:
		c.objects[object.Key] = &cachedObject{Object: object}
	case old.Revision < object.Revision:
		c.objects[object.Key] = &cachedObject{Object: object, previous: old.Object}
	default:
		c.objects[object.Key] = old
	}
}

func (c *objectCache) notifyLocked() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// notify wakes all calls that wait for a change.
func (c *objectCache) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notifyLocked()
}

// since returns the objects changed after a revision, in the order of their
// revisions, the current revision, and a channel that is closed at the next change.
// After revision 0 it returns all objects that exist. It returns false if the
// history since the revision is not known.
func (c *objectCache) since(after qhplatform.Revision) (changes []*cachedObject, revision qhplatform.Revision, changed <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after != 0 && after < c.historyStart {
		return nil, 0, nil, false
	}
	for _, object := range c.objects {
		if object.Revision > after && (after != 0 || object.Value != nil) {
			changes = append(changes, object)
		}
	}
	slices.SortFunc(changes, func(a, b *cachedObject) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes, max(c.revision, after), c.changed, true
}

// get returns the object if it is at the given revision, else false.
func (c *objectCache) get(key qhplatform.Key, revision qhplatform.Revision) (qhplatform.Object, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	object, ok := c.objects[key]
	if !ok || object.Revision != revision {
		return qhplatform.Object{}, false
	}
	return object.Object, true
}

// newestRevision returns the highest revision of any object.
func (c *objectCache) newestRevision() qhplatform.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	var newest qhplatform.Revision
	for _, object := range c.objects {
		newest = max(newest, object.Revision)
	}
	return newest
}

// packedFor returns the packed value of an object for a node whose newest object has
// revision base. If that is the object's previous revision, the value is packed as a
// difference from it, and base is returned too; else it is packed by itself, and 0
// is returned.
func (c *objectCache) packedFor(object *cachedObject, base qhplatform.Revision) (qhwire.Packed, qhplatform.Revision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var err error
	if base != 0 && base == object.previous.Revision {
		if object.delta == nil {
			object.delta, err = qhwire.PackDelta(object.Value, object.previous.Value)
		}
		return object.delta, base, err
	}
	if object.full == nil {
		object.full, err = qhwire.PackDelta(object.Value, nil)
	}
	return object.full, 0, err
}
