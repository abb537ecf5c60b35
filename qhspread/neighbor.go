package qhspread

import (
	"slices"
	"sync"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhstatus"
	"quetzalhaven.dev/qhwire"
)

// role is what the other end of a link is to this node.
type role string

const (
	roleParent role = "parent"
	roleChild  role = "child"
	// roleRoot is another root, of this or another availability zone.
	roleRoot role = "root"
)

// neighbor is a node that this one passes on to what is new. What is to be sent
// waits in it as state, not as a queue, so that a slow peer costs no memory.
type neighbor struct {
	link *qhwire.Link
	role role
	node qhid.Node
	zone qhid.Zone
	// wake has an item when there is something to send.
	wake chan struct{}

	mu sync.Mutex
	// version is the newest that the peer is known to have or was sent.
	version qhid.Version
	// entries wait to be sent, by the bound that goes with them.
	entries map[qhid.Zone]map[qhid.Node]qhmember.Entry
	// urgent is set where the entries must not wait for others.
	urgent bool
	// path waits to be sent; nil for none.
	path []qhid.Node
	// summary is the last that a child sent.
	summary qhstatus.Summary
	// left is set when the peer has said goodbye.
	left bool
}

func newNeighbor(link *qhwire.Link, role role, node qhid.Node, zone qhid.Zone, version qhid.Version) *neighbor {
	return &neighbor{
		link:    link,
		role:    role,
		node:    node,
		zone:    zone,
		version: version,
		wake:    make(chan struct{}, 1),
		entries: make(map[qhid.Zone]map[qhid.Node]qhmember.Entry),
	}
}

// poke wakes the sender.
func (n *neighbor) poke() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// add puts entries among those to be sent.
func (n *neighbor) add(until qhid.Zone, entries []qhmember.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.entries[until] == nil {
		n.entries[until] = make(map[qhid.Node]qhmember.Entry)
	}
	for _, entry := range entries {
		n.entries[until][entry.Node] = entry
		n.urgent = n.urgent || entry.State == qhmember.Down || entry.State == qhmember.Leaving
	}
	n.poke()
}

// heard takes back what the peer has itself sent.
func (n *neighbor) heard(entries []qhmember.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, waiting := range n.entries {
		for _, entry := range entries {
			if own, ok := waiting[entry.Node]; ok && qhmember.Compare(own, entry) <= 0 {
				delete(waiting, entry.Node)
			}
		}
	}
}

// news returns the entries that wait, and forgets them.
func (n *neighbor) news() []qhwire.News {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []qhwire.News
	for until, waiting := range n.entries {
		var entries []qhmember.Entry
		for _, entry := range waiting {
			entries = append(entries, entry)
		}
		if len(entries) > 0 {
			list = append(list, qhwire.News{Entries: entries, Until: until})
		}
	}
	clear(n.entries)
	n.urgent = false
	return list
}

// has notes that the peer has a version.
func (n *neighbor) has(version qhid.Version) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.version = max(n.version, version)
}

// lacks returns the version that the peer has, and false where that is the newest.
func (n *neighbor) lacks(newest qhid.Version) (qhid.Version, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version, n.version < newest
}

// setPath puts the path to be sent.
func (n *neighbor) setPath(path []qhid.Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.path = slices.Clone(path)
	n.poke()
}

func (n *neighbor) takePath() []qhid.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	path := n.path
	n.path = nil
	return path
}

func (n *neighbor) hurry() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.urgent
}

func (n *neighbor) setLeft() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.left = true
}

func (n *neighbor) hasLeft() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.left
}

func (n *neighbor) setSummary(summary qhstatus.Summary) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.summary = summary
}

func (n *neighbor) getSummary() qhstatus.Summary {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.summary
}
