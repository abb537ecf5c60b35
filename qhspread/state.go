package qhspread

import (
	"slices"
	"strings"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhlease"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhstatus"
)

// State is a snapshot of a spreader for dumps.
type State struct {
	Version qhid.Version `json:"version"`
	Digest  qhid.Digest  `json:"digest"`
	// Path lists the nodes from the root to this node, both included.
	Path []qhid.Node `json:"path"`
	// Slot is the relay slot that this node holds, or nil.
	Slot *qhlease.Slot `json:"slot,omitempty"`
	// Links are ordered by role and node.
	Links []LinkState `json:"links"`
	// UnresponsiveNodes is the number of nodes that are being checked and did not
	// respond to a probe.
	UnresponsiveNodes int `json:"suspects,omitempty"`
	// MemberChecksum is the checksum of all membership entries.
	MemberChecksum qhmember.Checksum `json:"members"`
	Summary        qhstatus.Summary  `json:"summary"`
}

// LinkState describes one link in a State: the peer, its role and the newest
// version that it has or was sent.
type LinkState struct {
	Role    string       `json:"role"`
	Node    qhid.Node    `json:"node"`
	Zone    qhid.Zone    `json:"zone"`
	Version qhid.Version `json:"version"`
}

// State returns a snapshot for dumps.
func (s *Spreader) State() State {
	version, digest := s.versions.latest()
	state := State{
		Links:             []LinkState{},
		Version:           version,
		Digest:            digest,
		MemberChecksum:    s.Members.Checksum(),
		UnresponsiveNodes: s.suspects.unresponsiveCount(),
		Summary:           s.Summary(),
	}
	if slot, ok := s.leases.HeldSlot(); ok {
		state.Slot = &slot
	}
	for _, n := range s.filterNeighbors(func(*neighbor) bool { return true }) {
		peerVersion, _ := n.versionLag(version)
		state.Links = append(state.Links, LinkState{Role: string(n.role), Node: n.node, Zone: n.zone, Version: peerVersion})
	}
	slices.SortFunc(state.Links, func(a, b LinkState) int {
		return strings.Compare(a.Role+string(a.Node), b.Role+string(b.Node))
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	state.Path = slices.Clone(s.path)
	return state
}
