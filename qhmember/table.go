package qhmember

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"quetzalhaven.dev/qhid"
)

// Options configures a Table.
type Options struct {
	// Self is this node's own entry. Merged entries do not replace it.
	Self Entry
	// ViewInterval is the minimum age of the view at which Merge replaces it.
	// Entries merged before become visible at Refresh; Announce, MarkDown and
	// Remove are visible at once. If it is 0, each merge is visible at once.
	ViewInterval time.Duration
	// Now is the clock; time.Now if nil.
	Now func() time.Time
}

// Table holds the latest entry of each node. It is safe for concurrent use.
type Table struct {
	now          func() time.Time
	viewInterval time.Duration
	view         atomic.Pointer[View]

	mu sync.Mutex
	// self is the id of this node, whose entry changes by Announce and by
	// refutations only.
	self qhid.Node
	// entries has one entry per node.
	entries map[qhid.Node]Entry
	// addresses has the node at each peer address. Of the nodes that announced an
	// address, only the one that started last has an entry: the others are gone,
	// and their VM's address was assigned again.
	addresses map[qhid.Address]qhid.Node
	// checksums has the checksum of each availability zone. It is updated with every
	// change of entries.
	checksums map[qhid.Zone]Checksum
	// pending has the nodes that changed since the current view was built, with
	// their entries in that view, or an entry without a node id if the view has
	// none.
	pending map[qhid.Node]Entry
	// leaving has the targets that said in a response that they are leaving.
	leaving map[qhid.Target]leavingTarget
	// lastRefuted is when this node last refuted an entry.
	lastRefuted time.Time
	// viewBuilt is when the current view was built, viewCost how long that took.
	viewBuilt time.Time
	viewCost  time.Duration
}

// NewTable returns a table with this node's own entry only.
func NewTable(options Options) *Table {
	if options.Now == nil {
		options.Now = time.Now
	}
	t := &Table{
		now:          options.Now,
		viewInterval: options.ViewInterval,
		self:         options.Self.Node,
		entries:      make(map[qhid.Node]Entry),
		addresses:    make(map[qhid.Address]qhid.Node),
		checksums:    make(map[qhid.Zone]Checksum),
		pending:      make(map[qhid.Node]Entry),
		leaving:      make(map[qhid.Target]leavingTarget),
	}
	t.view.Store(&View{Services: make(map[qhid.Service][]*Endpoint)})
	if t.self != "" {
		t.put(options.Self)
		t.rebuild()
	}
	return t
}

// Merge applies entries of any age and order, and returns those that changed the
// table. An entry of this node that is newer than its own (it marks the node down or
// has a later incarnation) is refuted: this node's entry is made newer still, and is
// among those returned. There is a minimum time between two refutations.
func (t *Table) Merge(entries []Entry) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Entry
	for _, entry := range entries {
		if !isValid(entry) {
			continue
		}
		if latest, ok := t.mergeEntry(entry); ok {
			changed = append(changed, latest)
		}
	}
	t.rebuildIfDue()
	return changed
}

// maxCounter bounds incarnations and sequences, so that a greater value always
// exists.
const maxCounter = 1 << 62

// isValid reports whether a node can have announced the entry.
func isValid(entry Entry) bool {
	return entry.Node != "" && entry.Zone != "" && entry.Incarnation < maxCounter && entry.Sequence < maxCounter
}

func (t *Table) mergeEntry(entry Entry) (Entry, bool) {
	known, ok := t.entries[entry.Node]
	if ok && Compare(entry, known) <= 0 || t.isSucceeded(entry) {
		return Entry{}, false
	}
	if entry.Node == t.self {
		if t.now().Sub(t.lastRefuted) < minRefuteInterval {
			return Entry{}, false // a later exchange delivers it again
		}
		t.lastRefuted = t.now()
		entry = refute(known, entry)
	}
	t.put(entry)
	return entry, true
}

// isSucceeded reports whether another node, started later, has the address of the
// entry, or this node has it.
func (t *Table) isSucceeded(entry Entry) bool {
	holder, ok := t.addresses[entry.PeerAddress]
	if !ok || holder == entry.Node {
		return false
	}
	return holder == t.self || startedBefore(entry, t.entries[holder])
}

// startedBefore orders the nodes at one address. Nodes that started together are
// ordered by id, so that all tables agree.
func startedBefore(a, b Entry) bool {
	return a.Incarnation < b.Incarnation || a.Incarnation == b.Incarnation && a.Node < b.Node
}

// minRefuteInterval is the minimum time between two refutations. It limits the
// updates caused by two processes that run with the same id, which refute each other
// without end. That happens when a paused VM resumes after it was replaced.
const minRefuteInterval = 2 * time.Second

// refute returns this node's entry, made newer than the claimed one. Of an entry
// with a greater incarnation it exceeds the incarnation, else only the sequence.
func refute(own, claimed Entry) Entry {
	if claimed.Incarnation > own.Incarnation {
		own.Incarnation = claimed.Incarnation + 1
		own.Sequence = 0
		return own
	}
	own.Sequence = claimed.Sequence + 1
	return own
}

// Announce sets the state and the targets of this node's entry, which makes it
// newer, and returns it.
func (t *Table) Announce(state State, targets []AnnouncedTarget) Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.entries[t.self]
	own.Sequence++
	own.State = state
	own.Targets = slices.Clone(targets)
	t.put(own)
	t.rebuild()
	return own
}

// MarkDown marks a node down if observed is still its latest entry. It returns the
// new entry, or false.
func (t *Table) MarkDown(observed Entry) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.entries[observed.Node]
	if !ok || observed.Node == t.self || known.State == Down || Compare(known, observed) != 0 {
		return Entry{}, false
	}
	known.State = Down
	t.put(known)
	t.rebuild()
	return known, true
}

// Remove removes another node unless the table has a newer incarnation of it than
// the given one. It reports whether the node was removed.
func (t *Table) Remove(node qhid.Node, incarnation qhid.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.entries[node]
	if !ok || node == t.self || known.Incarnation > incarnation {
		return false
	}
	t.drop(known)
	t.rebuild()
	return true
}

// drop removes a node's entry. The lock is held.
func (t *Table) drop(known Entry) {
	t.checksums[known.Zone] -= entryChecksum(known)
	if _, ok := t.pending[known.Node]; !ok {
		t.pending[known.Node] = known
	}
	delete(t.entries, known.Node)
	if t.addresses[known.PeerAddress] == known.Node {
		delete(t.addresses, known.PeerAddress)
	}
}

// put stores an entry and updates the checksums. A node that had the address
// before is dropped. The lock is held.
func (t *Table) put(entry Entry) {
	known, ok := t.entries[entry.Node]
	if ok {
		t.checksums[known.Zone] -= entryChecksum(known)
		delete(t.addresses, known.PeerAddress)
	}
	if holder, ok := t.addresses[entry.PeerAddress]; ok && holder != entry.Node {
		t.drop(t.entries[holder])
	}
	if entry.PeerAddress != "" {
		t.addresses[entry.PeerAddress] = entry.Node
	}
	if _, ok := t.pending[entry.Node]; !ok {
		t.pending[entry.Node] = known
	}
	t.entries[entry.Node] = entry
	t.checksums[entry.Zone] += entryChecksum(entry)
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

// EntriesInZone returns the entries of an availability zone, ordered by node id.
func (t *Table) EntriesInZone(zone qhid.Zone) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var entries []Entry
	for _, entry := range t.entries {
		if entry.Zone == zone {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, compareByNode)
	return entries
}

// Checksums returns the checksum of each availability zone.
func (t *Table) Checksums() map[qhid.Zone]Checksum {
	t.mu.Lock()
	defer t.mu.Unlock()
	checksums := make(map[qhid.Zone]Checksum, len(t.checksums))
	for zone, checksum := range t.checksums {
		checksums[zone] = checksum
	}
	return checksums
}

// Checksum returns the checksum of all entries.
func (t *Table) Checksum() Checksum {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum Checksum
	for _, checksum := range t.checksums {
		sum += checksum
	}
	return sum
}
