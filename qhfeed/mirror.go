package qhfeed

import (
	"cmp"
	"slices"
	"sync"

	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhwire"
)

// mirror has the objects under one prefix as this node last heard of them, for
// the nodes that follow the store through this one.
type mirror struct {
	mu sync.Mutex
	// objects has the newest state of each; one that was deleted has no value.
	objects map[qhplatform.Key]*kept
	// at is the revision that the objects are of.
	at qhplatform.Revision
	// floor is the revision after which every change is among the objects.
	floor qhplatform.Revision
	// changed is closed and replaced whenever something was heard.
	changed chan struct{}
}

// kept is an object and its state before.
type kept struct {
	qhplatform.Object
	before qhplatform.Object
	// delta and whole are the value packed against the one before and against
	// nothing, once someone asked.
	delta, whole qhwire.Packed
}

func newMirror() *mirror {
	return &mirror{objects: make(map[qhplatform.Key]*kept), changed: make(chan struct{})}
}

// replace takes a listing: what it lacks is gone.
func (m *mirror) replace(listing qhplatform.Listing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.objects
	m.objects = make(map[qhplatform.Key]*kept, len(listing.Objects))
	for _, object := range listing.Objects {
		m.put(before[object.Key], object)
	}
	m.at, m.floor = listing.Revision, listing.Revision
	m.wakeAll()
}

// add takes changes that follow what was heard.
func (m *mirror) add(changes qhplatform.Changes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, object := range changes.Objects {
		m.put(m.objects[object.Key], object)
	}
	m.at = max(m.at, changes.Revision)
	if len(changes.Objects) > 0 {
		m.wakeAll()
	}
}

// put keeps an object. The lock is held.
func (m *mirror) put(old *kept, object qhplatform.Object) {
	switch {
	case old == nil:
		m.objects[object.Key] = &kept{Object: object}
	case old.Revision < object.Revision:
		m.objects[object.Key] = &kept{Object: object, before: old.Object}
	default:
		m.objects[object.Key] = old
	}
}

func (m *mirror) wakeAll() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// wake wakes all who wait for a change.
func (m *mirror) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wakeAll()
}

// since returns what changed after a revision, all objects after 0, and what is
// closed by the next change. It returns false where that history is not known.
func (m *mirror) since(after qhplatform.Revision) (found []*kept, at qhplatform.Revision, changed <-chan struct{}, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after != 0 && after < m.floor {
		return nil, 0, nil, false
	}
	for _, object := range m.objects {
		if object.Revision > after && (after != 0 || object.Value != nil) {
			found = append(found, object)
		}
	}
	slices.SortFunc(found, func(a, b *kept) int { return cmp.Compare(a.Revision, b.Revision) })
	return found, max(m.at, after), m.changed, true
}

// get returns the object as it was at a revision, or false.
func (m *mirror) get(key qhplatform.Key, revision qhplatform.Revision) (qhplatform.Object, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	object, ok := m.objects[key]
	if !ok || object.Revision != revision {
		return qhplatform.Object{}, false
	}
	return object.Object, true
}

// newest returns the newest revision among the objects.
func (m *mirror) newest() qhplatform.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	var newest qhplatform.Revision
	for _, object := range m.objects {
		newest = max(newest, object.Revision)
	}
	return newest
}

// packedFor returns the object's value packed for one who has its state of a
// revision, and the revision that it is the difference from, 0 for none.
func (m *mirror) packedFor(object *kept, has qhplatform.Revision) (qhwire.Packed, qhplatform.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var err error
	if has != 0 && has == object.before.Revision {
		if object.delta == nil {
			object.delta, err = qhwire.PackDelta(object.Value, object.before.Value)
		}
		return object.delta, has, err
	}
	if object.whole == nil {
		object.whole, err = qhwire.PackDelta(object.Value, nil)
	}
	return object.whole, 0, err
}
