package qhspread

import (
	"slices"
	"strings"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhlease"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhstatus"
)

// State is what a dump shows of a spreader.
type State struct {
	Version qhid.Version `json:"version"`
	Digest  qhid.Digest  `json:"digest"`
	// Path leads from the root to this node.
	Path []qhid.Node `json:"path"`
	// Slot is the relay slot that this node holds; nil for none.
	Slot *qhlease.Slot `json:"slot,omitempty"`
	// Links are ordered by role and peer.
	Links []LinkState `json:"links"`
	// Suspects is how many nodes give no answer to this node right now.
	Suspects int `json:"suspects,omitempty"`
	// MemberDigest is the digest of all entries.
	MemberDigest qhmember.Digest  `json:"members"`
	Summary      qhstatus.Summary `json:"summary"`
}

// LinkState is one link in a State.
type LinkState struct {
	Role    string       `json:"role"`
	Node    qhid.Node    `json:"node"`
	Zone    qhid.Zone    `json:"zone"`
	Version qhid.Version `json:"version"`
}

// State returns what a dump shows.
func (s *Spreader) State() State {
	version, digest := s.content.known()
	state := State{
		Links:        []LinkState{},
		Version:      version,
		Digest:       digest,
		MemberDigest: s.Members.Digest(),
		Suspects:     s.suspects.count(),
		Summary:      s.Summary(),
	}
	if slot, ok := s.keeper.HeldSlot(); ok {
		state.Slot = &slot
	}
	for _, n := range s.list(func(*neighbor) bool { return true }) {
		held, _ := n.lacks(version)
		state.Links = append(state.Links, LinkState{Role: string(n.role), Node: n.node, Zone: n.zone, Version: held})
	}
	slices.SortFunc(state.Links, func(a, b LinkState) int {
		return strings.Compare(a.Role+string(a.Node), b.Role+string(b.Node))
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	state.Path = slices.Clone(s.path)
	return state
}
