package qhspread

import (
	"context"
	"slices"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhwire"
)

// origin describes where entries came from.
type origin struct {
	// neighbor sent the entries; nil if this node itself created them.
	neighbor *neighbor
	// untilZone came with the entries, see qhwire.MembershipUpdate.
	untilZone qhid.Zone
	// reconciled marks entries found by anti-entropy.
	reconciled bool
}

// onMembership merges the entries of an update and propagates the new ones.
func (s *Spreader) onMembership(_ context.Context, link *qhwire.Link, update qhwire.MembershipUpdate) {
	source := s.neighborOn(link)
	if source != nil {
		source.discardKnown(update.Entries)
	}
	s.mergeEntries(update.Entries, origin{neighbor: source, untilZone: update.UntilZone, reconciled: source == nil})
}

// mergeEntries merges entries and propagates the new ones. If this node refutes
// a claim about itself, its own new entry is sent to every neighbor.
func (s *Spreader) mergeEntries(entries []qhmember.Entry, source origin) {
	changed := s.Members.Merge(entries)
	s.counts.newEntries.Add(len(changed))
	s.counts.duplicates.Add(len(entries) - len(changed))
	for i, entry := range changed {
		if entry.Node != s.self {
			continue
		}
		s.counts.refutations.Inc()
		s.propagate([]qhmember.Entry{entry}, origin{})
		changed = slices.Delete(changed, i, i+1)
		break
	}
	s.propagate(changed, source)
}

// propagate queues entries for the neighbors that need them.
func (s *Spreader) propagate(entries []qhmember.Entry, source origin) {
	if len(entries) == 0 {
		return
	}
	own, others := splitByZone(entries, s.zone)
	var remoteRoots []*neighbor
	for _, n := range s.filterNeighbors(func(n *neighbor) bool { return n != source.neighbor }) {
		switch {
		case n.role != roleRoot:
			n.queueEntries("", entries)
		case n.zone != s.zone:
			remoteRoots = append(remoteRoots, n)
		case source.neighbor == nil || source.neighbor.role != roleRoot || source.neighbor.zone != s.zone:
			n.queueEntries("", entries)
		}
	}
	s.propagateToRoots(remoteRoots, own, others, source)
}

func splitByZone(entries []qhmember.Entry, zone qhid.Zone) (own, others []qhmember.Entry) {
	for _, entry := range entries {
		if entry.Zone == zone {
			own = append(own, entry)
		} else {
			others = append(others, entry)
		}
	}
	return own, others
}

// propagateToRoots queues entries for roots of other availability zones.
// Entries of this availability zone that come from nodes below go to all of
// these roots; each root gets a section of the ring of zone names within which
// it passes them on. Entries that arrived with a section are passed on within
// it. Entries from another root of this availability zone or from anti-entropy
// are left to the other roots, except entries of this availability zone found
// by anti-entropy.
func (s *Spreader) propagateToRoots(remoteRoots []*neighbor, own, others []qhmember.Entry, source origin) {
	switch {
	case source.untilZone != "":
		s.propagateAlongRing(remoteRoots, append(own, others...), source.untilZone)
	case source.neighbor != nil && source.neighbor.role == roleRoot:
	case source.reconciled:
		s.propagateAlongRing(remoteRoots, own, s.zone)
	default:
		s.propagateAlongRing(remoteRoots, append(own, others...), s.zone)
	}
}

// propagateAlongRing queues entries for the roots of zones after this one and
// before untilZone on the ring of zone names.
func (s *Spreader) propagateAlongRing(remoteRoots []*neighbor, entries []qhmember.Entry, untilZone qhid.Zone) {
	if len(entries) == 0 {
		return
	}
	ring := ringNeighbors(s.zone, remoteRoots, untilZone)
	for i, n := range ring {
		next := untilZone
		if i+1 < len(ring) {
			next = ring[i+1].zone
		}
		n.queueEntries(next, entries)
	}
}

// ringNeighbors returns one neighbor for each availability zone after own and
// before untilZone, in the order of the ring of zone names.
func ringNeighbors(own qhid.Zone, remoteRoots []*neighbor, untilZone qhid.Zone) []*neighbor {
	byZone := make(map[qhid.Zone]*neighbor)
	var zones []qhid.Zone
	for _, n := range remoteRoots {
		if byZone[n.zone] == nil && qhmember.ZoneBetween(own, n.zone, untilZone) {
			byZone[n.zone] = n
			zones = append(zones, n.zone)
		}
	}
	slices.SortFunc(zones, func(a, b qhid.Zone) int {
		if qhmember.ZoneBetween(own, a, b) {
			return -1
		}
		return 1
	})
	ring := make([]*neighbor, len(zones))
	for i, zone := range zones {
		ring[i] = byZone[zone]
	}
	return ring
}

// Announce sets the state of this node and its targets and sends it to all
// nodes.
func (s *Spreader) Announce(state qhmember.State, targets []qhmember.AnnouncedTarget) {
	entry := s.Members.Announce(state, targets)
	s.propagate([]qhmember.Entry{entry}, origin{})
}
