package qhmember

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"quetzalhaven.dev/qhid"
)

// Options is what a table needs.
type Options struct {
	// Self is this node's own entry. Nobody else's word replaces it.
	Self Entry
	// ViewInterval is the shortest time between two views; what is merged meanwhile
	// shows at Refresh. With 0 each merge shows at once.
	ViewInterval time.Duration
	// Now is the clock; time.Now where it is nil.
	Now func() time.Time
}

// Table keeps the latest entry of each node. All methods can be called from
// several goroutines.
type Table struct {
	now   func() time.Time
	pause time.Duration
	view  atomic.Pointer[View]

	mu sync.Mutex
	// self is the id of this node, whose entry is changed by Announce only.
	self qhid.Node
	// entries has one entry a node.
	entries map[qhid.Node]Entry
	// digests is kept with every change of entries.
	digests map[qhid.Zone]Digest
	// stale has the nodes whose change does not show in the view yet, with
	// the entry that does; an entry without a node for none.
	stale map[qhid.Node]Entry
	// refuted is when this node last answered what others say of it.
	refuted time.Time
	// shown is when the view was made, took how long that took.
	shown time.Time
	took  time.Duration
}

// NewTable returns a table that knows this node only.
func NewTable(options Options) *Table {
	if options.Now == nil {
		options.Now = time.Now
	}
	t := &Table{
		now:     options.Now,
		pause:   options.ViewInterval,
		self:    options.Self.Node,
		entries: make(map[qhid.Node]Entry),
		digests: make(map[qhid.Zone]Digest),
		stale:   make(map[qhid.Node]Entry),
	}
	t.view.Store(&View{Services: make(map[qhid.Service][]*Endpoint)})
	if t.self != "" {
		t.put(options.Self)
		t.show()
	}
	return t
}

// Merge takes entries of any age and order, and returns those that changed what
// is known. An entry of this node that says more than this node ever did (it is
// down, or lives a later life) is answered by a newer own entry, which is among
// those returned. Such answers have a shortest time between them.
func (t *Table) Merge(entries []Entry) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Entry
	for _, entry := range entries {
		if !sound(entry) {
			continue
		}
		if kept, ok := t.merge(entry); ok {
			changed = append(changed, kept)
		}
	}
	t.showSoon()
	return changed
}

// maxOrder bounds incarnations and sequences, so that there is always a later one.
const maxOrder = 1 << 62

// sound tells whether a node can have announced the entry.
func sound(entry Entry) bool {
	return entry.Node != "" && entry.Zone != "" && entry.Incarnation < maxOrder && entry.Sequence < maxOrder
}

func (t *Table) merge(entry Entry) (Entry, bool) {
	known, ok := t.entries[entry.Node]
	if ok && Compare(entry, known) <= 0 {
		return Entry{}, false
	}
	if entry.Node == t.self {
		if t.now().Sub(t.refuted) < refutePause {
			return Entry{}, false // it comes again, by an exchange
		}
		t.refuted = t.now()
		entry = refute(known, entry)
	}
	t.put(entry)
	return entry, true
}

// refutePause is the shortest time between two answers to what others say of this
// node. It bounds the quarrel of two processes that run with the same id, as when
// a VM that was paused wakes after it was replaced.
const refutePause = 2 * time.Second

// refute returns an own entry that is newer than what others say.
func refute(own, heard Entry) Entry {
	if heard.Incarnation > own.Incarnation {
		own.Incarnation = heard.Incarnation + 1
		own.Sequence = 0
		return own
	}
	own.Sequence = heard.Sequence + 1
	return own
}

// Announce replaces what this node says of itself by a newer entry and returns it.
func (t *Table) Announce(state State, targets []Target) Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.entries[t.self]
	own.Sequence++
	own.State = state
	own.Targets = slices.Clone(targets)
	t.put(own)
	t.show()
	return own
}

// MarkDown marks a node down if the entry that the caller judged by is still
// the latest. It returns the entry to spread, or false.
func (t *Table) MarkDown(judged Entry) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.entries[judged.Node]
	if !ok || judged.Node == t.self || known.State == Down || Compare(known, judged) != 0 {
		return Entry{}, false
	}
	known.State = Down
	t.put(known)
	t.show()
	return known, true
}

// Remove takes out a node that is known to be gone, if nothing later than the
// judged incarnation was heard of it, and tells whether it did.
func (t *Table) Remove(node qhid.Node, judged qhid.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.entries[node]
	if !ok || node == t.self || known.Incarnation > judged {
		return false
	}
	t.digests[known.Zone] -= digestOf(known)
	if _, ok := t.stale[node]; !ok {
		t.stale[node] = known
	}
	delete(t.entries, node)
	t.show()
	return true
}

// put stores an entry with its digest.
func (t *Table) put(entry Entry) {
	known, ok := t.entries[entry.Node]
	if ok {
		t.digests[known.Zone] -= digestOf(known)
	}
	if _, ok := t.stale[entry.Node]; !ok {
		t.stale[entry.Node] = known
	}
	t.entries[entry.Node] = entry
	t.digests[entry.Zone] += digestOf(entry)
}

// Get returns the latest entry of a node.
func (t *Table) Get(node qhid.Node) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, ok := t.entries[node]
	return entry, ok
}

// Self returns this node's own entry.
func (t *Table) Self() Entry {
	entry, _ := t.Get(t.self)
	return entry
}

// Zone returns the entries of an availability zone, ordered by node.
func (t *Table) Zone(zone qhid.Zone) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var entries []Entry
	for _, entry := range t.entries {
		if entry.Zone == zone {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, byNode)
	return entries
}

// Digests returns the digest of each availability zone.
func (t *Table) Digests() map[qhid.Zone]Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	digests := make(map[qhid.Zone]Digest, len(t.digests))
	for zone, digest := range t.digests {
		digests[zone] = digest
	}
	return digests
}

// Digest returns the digest of all entries.
func (t *Table) Digest() Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum Digest
	for _, digest := range t.digests {
		sum += digest
	}
	return sum
}
