package qhspread

import (
	"context"
	"slices"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhwire"
)

// origin is the source of entries.
type origin struct {
	// neighbor sent the entries; nil if this node itself created them.
	neighbor *neighbor
	// untilZone came with the entries, see qhwire.MembershipUpdate.
	untilZone qhid.Zone
	// reconciled is set for entries that anti-entropy found or sent.
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
	s.metrics.newEntries.Add(len(changed))
	s.metrics.duplicates.Add(len(entries) - len(changed))
	for i, entry := range changed {
		if entry.Node != s.self {
			continue
		}
		s.metrics.refutations.Inc()
		s.propagate([]qhmember.Entry{entry}, origin{})
		changed = slices.Delete(changed, i, i+1)
		break
	}
	s.propagate(changed, source)
}

// propagate queues entries for all neighbors except their source: for parent and
// children, for other roots of this availability zone unless the entries come from
// such a root, and for roots of other availability zones by propagateToRoots.
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

// propagateToRoots queues entries for roots of other availability zones; own has
// the entries of this availability zone. Entries from this node or from nodes
// below go to one root of each linked availability zone. Each of these roots gets
// a section of the ring of zone names, within which it passes the entries on.
// Entries that arrived with a section are passed on within it. Entries that
// arrived from another root without a section are left to that root. Of the
// entries found by anti-entropy with other nodes, only those of this availability
// zone are sent; the others are left to other roots.
//
// Example with one root in each of the zones a to h: the root of a is linked to
// those at the distances 1, 2 and 4 in both directions, which are b, c, e, g and h.
// It sends an entry to b with untilZone c, to c with e, to e with g, to g with h
// and to h with a. So c passes the entry on to d, e passes it on to f, and the
// others pass it on to no other zone.
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
