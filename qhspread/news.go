package qhspread

import (
	"context"
	"slices"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhwire"
)

// origin is where entries came from.
type origin struct {
	// from is the neighbor that sent them; nil for this node itself.
	from *neighbor
	// until is the bound that came with them, see qhwire.News.
	until qhid.Zone
	// repair marks entries found by an exchange.
	repair bool
}

// onNews takes entries and passes on what is new.
func (s *Spreader) onNews(_ context.Context, link *qhwire.Link, news qhwire.News) {
	from := s.find(link)
	if from != nil {
		from.heard(news.Entries)
	}
	s.merge(news.Entries, origin{from: from, until: news.Until, repair: from == nil})
}

// merge takes entries and passes on what is new. An own entry that answers what
// others say of this node goes to everyone.
func (s *Spreader) merge(entries []qhmember.Entry, from origin) {
	changed := s.Members.Merge(entries)
	s.counts.entries.Add(len(changed))
	s.counts.duplicates.Add(len(entries) - len(changed))
	for i, entry := range changed {
		if entry.Node != s.self {
			continue
		}
		s.counts.refuted.Inc()
		s.pass([]qhmember.Entry{entry}, origin{})
		changed = slices.Delete(changed, i, i+1)
		break
	}
	s.pass(changed, from)
}

// pass puts entries among what neighbors are sent.
func (s *Spreader) pass(entries []qhmember.Entry, from origin) {
	if len(entries) == 0 {
		return
	}
	own, others := split(entries, s.zone)
	var abroad []*neighbor
	for _, n := range s.list(func(n *neighbor) bool { return n != from.from }) {
		switch {
		case n.role != roleRoot:
			n.add("", entries)
		case n.zone != s.zone:
			abroad = append(abroad, n)
		case from.from == nil || from.from.role != roleRoot || from.from.zone != s.zone:
			n.add("", entries)
		}
	}
	s.passAbroad(abroad, own, others, from)
}

func split(entries []qhmember.Entry, zone qhid.Zone) (own, others []qhmember.Entry) {
	for _, entry := range entries {
		if entry.Zone == zone {
			own = append(own, entry)
		} else {
			others = append(others, entry)
		}
	}
	return own, others
}

// passAbroad passes entries to roots of other availability zones. Entries of
// this availability zone that come from below go to all of them, each root with
// a part of the ring of names to pass them on to. What came with such a part is
// passed on within it. What another root of this availability zone or an
// exchange brought is left to the others, but for own entries found by repair.
func (s *Spreader) passAbroad(abroad []*neighbor, own, others []qhmember.Entry, from origin) {
	switch {
	case from.until != "":
		s.passRing(abroad, append(own, others...), from.until)
	case from.from != nil && from.from.role == roleRoot:
	case from.repair:
		s.passRing(abroad, own, s.zone)
	default:
		s.passRing(abroad, append(own, others...), s.zone)
	}
}

// passRing passes entries to the roots between this availability zone and until.
func (s *Spreader) passRing(abroad []*neighbor, entries []qhmember.Entry, until qhid.Zone) {
	if len(entries) == 0 {
		return
	}
	ring := ringOf(s.zone, abroad, until)
	for i, n := range ring {
		next := until
		if i+1 < len(ring) {
			next = ring[i+1].zone
		}
		n.add(next, entries)
	}
}

// ringOf returns one neighbor of each availability zone after own and before
// until, in the order of the ring of names.
func ringOf(own qhid.Zone, abroad []*neighbor, until qhid.Zone) []*neighbor {
	byZone := make(map[qhid.Zone]*neighbor)
	var zones []qhid.Zone
	for _, n := range abroad {
		if byZone[n.zone] == nil && qhmember.ZoneBetween(own, n.zone, until) {
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

// Announce tells everyone what this node says of itself and its targets.
func (s *Spreader) Announce(state qhmember.State, targets []qhmember.Target) {
	entry := s.Members.Announce(state, targets)
	s.pass([]qhmember.Entry{entry}, origin{})
}
