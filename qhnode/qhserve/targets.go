package qhserve

import (
	"time"

	"quetzalhaven.dev/qhannounce"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

// targetsChanged updates the guards and then announces the targets. The order
// ensures that the guard exists when another node sends a call because of the
// announcement.
func (n *Node) targetsChanged(targets []qhannounce.Target) {
	known := make(map[qhid.Target]bool, len(targets))
	for _, target := range targets {
		known[target.ID] = true
		n.guards.Put(qhguard.TargetInfo{
			ID:             target.ID,
			Service:        target.Service,
			Address:        target.Address,
			Slots:          target.Slots,
			MaxConnections: target.MaxConnections,
			State:          target.State,
			Software:       target.Software,
			ColdUntil:      target.LastSeen.Add(time.Duration(target.WarmUp)),
		})
	}
	for _, guard := range n.guards.List() {
		if id := guard.Info().ID; !known[id] {
			n.guards.Remove(id)
		}
	}
	n.announce(targets)
}

// announce announces the state of this node and its targets to the other nodes.
func (n *Node) announce(targets []qhannounce.Target) {
	n.mu.Lock()
	defer n.mu.Unlock()
	announced := make([]qhmember.AnnouncedTarget, 0, len(targets))
	for _, target := range targets {
		announced = append(announced, qhmember.AnnouncedTarget{ID: target.ID, Service: target.Service, State: target.State, Slots: target.Slots, Software: target.Software, StartedAt: target.StartedAt})
	}
	n.source.announce(n.state, announced)
}

// targetLeaving records that a response of a target said that it is leaving.
func (n *Node) targetLeaving(target qhid.Target) {
	n.members.MarkTargetLeaving(target)
	n.targets.MarkLeaving(target)
}

// announceLeaving sets the node's state to leaving and announces it.
func (n *Node) announceLeaving() {
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

// totalLoad returns the sum of the loads of this VM's targets.
func (n *Node) totalLoad() qhguard.Load {
	var sum qhguard.Load
	for _, guard := range n.guards.List() {
		load := guard.Load()
		sum.Running += load.Running
		sum.Queued += load.Queued
		sum.Slots += load.Slots
	}
	return sum
}
