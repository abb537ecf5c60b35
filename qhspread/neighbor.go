package qhspread

import (
	"slices"
	"sync"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhstatus"
	"quetzalhaven.dev/qhwire"
)

// role is the position of the peer of a link relative to this node.
type role string

const (
	roleParent role = "parent"
	roleChild  role = "child"
	// roleRoot is another root, of this or another availability zone.
	roleRoot role = "root"
)

// neighbor is a parent, child or other root, to which this node sends updates over
// a link. Only the newest pending entry of each node is kept, so that a slow peer
// cannot use unbounded memory.
type neighbor struct {
	link *qhwire.Link
	role role
	node qhid.Node
	zone qhid.Zone
	// wake holds a signal if there may be something to send.
	wake chan struct{}

	mu sync.Mutex
	// version is the newest version that the peer is known to have or was sent.
	version qhid.Version
	// pending holds the entries to be sent, by the UntilZone of their update.
	pending map[qhid.Zone]map[qhid.Node]qhmember.Entry
	// urgent is set if the pending entries must not wait for the next batch.
	urgent bool
	// pendingPath is the path to be sent, or nil.
	pendingPath []qhid.Node
	// summary is the last summary received from a child or sent to the parent.
	summary qhstatus.Summary
	// closing is set when either end has announced that it closes the link.
	closing bool
}

func newNeighbor(link *qhwire.Link, role role, node qhid.Node, zone qhid.Zone, version qhid.Version) *neighbor {
	return &neighbor{
		link:    link,
		role:    role,
		node:    node,
		zone:    zone,
		version: version,
		wake:    make(chan struct{}, 1),
		pending: make(map[qhid.Zone]map[qhid.Node]qhmember.Entry),
	}
}

// wakeSender signals the goroutine that sends to this neighbor.
func (n *neighbor) wakeSender() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// queueEntries adds entries to the pending ones.
func (n *neighbor) queueEntries(untilZone qhid.Zone, entries []qhmember.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pending[untilZone] == nil {
		n.pending[untilZone] = make(map[qhid.Node]qhmember.Entry)
	}
	for _, entry := range entries {
		n.pending[untilZone][entry.Node] = entry
		n.urgent = n.urgent || entry.State == qhmember.Down || entry.State == qhmember.Leaving
	}
	n.wakeSender()
}

// discardKnown removes the pending entries that are not newer than those the peer
// itself has sent.
func (n *neighbor) discardKnown(entries []qhmember.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, queued := range n.pending {
		for _, entry := range entries {
			if pending, ok := queued[entry.Node]; ok && qhmember.Compare(pending, entry) <= 0 {
				delete(queued, entry.Node)
			}
		}
	}
}

// takeUpdates returns the pending entries as updates and clears them.
func (n *neighbor) takeUpdates() []qhwire.MembershipUpdate {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []qhwire.MembershipUpdate
	for untilZone, queued := range n.pending {
		var entries []qhmember.Entry
		for _, entry := range queued {
			entries = append(entries, entry)
		}
		if len(entries) > 0 {
			list = append(list, qhwire.MembershipUpdate{Entries: entries, UntilZone: untilZone})
		}
	}
	clear(n.pending)
	n.urgent = false
	return list
}

// recordVersion records that the peer has at least the version.
func (n *neighbor) recordVersion(version qhid.Version) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.version = max(n.version, version)
}

// versionLag returns the version that the peer has, and whether it is older
// than newest.
func (n *neighbor) versionLag(newest qhid.Version) (qhid.Version, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version, n.version < newest
}

// queuePath sets the path to be sent.
func (n *neighbor) queuePath(path []qhid.Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pendingPath = slices.Clone(path)
	n.wakeSender()
}

func (n *neighbor) takePath() []qhid.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	path := n.pendingPath
	n.pendingPath = nil
	return path
}

func (n *neighbor) isUrgent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.urgent
}

func (n *neighbor) markClosing() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closing = true
}

func (n *neighbor) isClosing() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closing
}

func (n *neighbor) setSummary(summary qhstatus.Summary) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.summary = summary
}

func (n *neighbor) lastSummary() qhstatus.Summary {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.summary
}
