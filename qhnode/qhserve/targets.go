package qhserve

import (
	"quetzalhaven.dev/qhannounce"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

// targetsChanged hands the VM's targets to the guards first, so that a call that
// another node sends on the announcement finds its guard.
func (n *Node) targetsChanged(targets []qhannounce.Target) {
	known := make(map[qhid.Target]bool, len(targets))
	for _, target := range targets {
		known[target.ID] = true
		n.guards.Put(qhguard.Announcement{
			ID:          target.ID,
			Service:     target.Service,
			Address:     target.Address,
			Slots:       target.Slots,
			Connections: target.Connections,
			State:       target.State,
		})
	}
	for _, guard := range n.guards.List() {
		if id := guard.Announcement().ID; !known[id] {
			n.guards.Remove(id)
		}
	}
	n.announce(targets)
}

// announce tells the other nodes of this node and its targets.
func (n *Node) announce(targets []qhannounce.Target) {
	n.mu.Lock()
	defer n.mu.Unlock()
	members := make([]qhmember.Target, 0, len(targets))
	for _, target := range targets {
		members = append(members, qhmember.Target{ID: target.ID, Service: target.Service, State: target.State, Slots: target.Slots})
	}
	n.source.announce(n.state, members)
}

// leave tells the others that the node takes no new work.
func (n *Node) leave() {
	n.mu.Lock()
	n.state = qhmember.Leaving
	n.mu.Unlock()
	n.announce(n.targets.List())
}

func (n *Node) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state == qhmember.Leaving
}

// load adds up the calls that the targets of this VM have.
func (n *Node) load() qhguard.Load {
	var sum qhguard.Load
	for _, guard := range n.guards.List() {
		load := guard.Load()
		sum.Running += load.Running
		sum.Queued += load.Queued
		sum.Slots += load.Slots
	}
	return sum
}
