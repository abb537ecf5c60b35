package qhfeed

import (
	"cmp"
	"slices"
	"sync"

	"quetzalhaven.dev/qhid"
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
	// position is that of the whole set.
	position position
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

// replace sets the objects to those of a listing at the given position. Objects that
// are not listed are dropped, and all known ones if the store was restored.
func (c *objectCache) replace(objects []qhplatform.Object, at position, restored bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.objects
	if restored {
		previous = nil
	}
	c.objects = make(map[qhplatform.Key]*cachedObject, len(objects))
	for _, object := range objects {
		c.put(previous[object.Key], object)
	}
	c.position, c.historyStart = at, at.revision
	c.notifyLocked()
}

// add applies changes up to the given position, which follows the current one.
func (c *objectCache) add(objects []qhplatform.Object, at position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, object := range objects {
		c.put(c.objects[object.Key], object)
	}
	c.position = at
	if len(objects) > 0 {
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

// since returns the objects changed after a position, in the order of their
// revisions, the current position, and a channel that is closed at the next change.
// After revision 0 it returns all objects that exist. It returns false if the
// history since the position is not known.
func (c *objectCache) since(after position) (changes []*cachedObject, at position, changed <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after.revision != 0 && (after.revision < c.historyStart || after.compareEra(c.position.era) != follows) {
		return nil, c.position, nil, false
	}
	for _, object := range c.objects {
		if object.Revision > after.revision && (after.revision != 0 || object.Value != nil) {
			changes = append(changes, object)
		}
	}
	slices.SortFunc(changes, func(a, b *cachedObject) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes, position{era: c.position.era, revision: max(c.position.revision, after.revision)}, c.changed, true
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

// size returns the size of the values of all objects.
func (c *objectCache) size() qhid.Bytes {
	c.mu.Lock()
	defer c.mu.Unlock()
	var size qhid.Bytes
	for _, object := range c.objects {
		size += qhid.Bytes(len(object.Value))
	}
	return size
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

// all returns all objects that exist.
func (c *objectCache) all() []qhplatform.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	objects := make([]qhplatform.Object, 0, len(c.objects))
	for _, object := range c.objects {
		if object.Value != nil {
			objects = append(objects, object.Object)
		}
	}
	return objects
}
