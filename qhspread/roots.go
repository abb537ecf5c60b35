package qhspread

import (
	"context"
	"slices"
	"time"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhlease"
	"quetzalhaven.dev/qhwire"
)

const (
	// rootPeriod is how often a root looks after its links to other roots.
	rootPeriod = time.Second
	// relaysPeriod is the longest time between two lists of all relays.
	relaysPeriod = time.Minute
	// relaysPause is the shortest.
	relaysPause = 2 * time.Second
	// rootTries is how many nodes of an availability zone are tried a period.
	rootTries = 2
	// rootHops bounds how often a root is pointed to another.
	rootHops = 3
)

// rootLoop keeps links to the other roots of this availability zone and to roots
// of others at distances 1, 2, 4 and so on round the ring of names.
func (s *Spreader) rootLoop(ctx context.Context) {
	var listed time.Time
	for ctx.Err() == nil {
		pause(ctx, rootPeriod/2+jitter(rootPeriod))
		if !s.isRoot() || s.isLeaving() {
			s.dropRoots()
			continue
		}
		missing := s.missing()
		age := time.Since(listed)
		if s.keeper.PresumedHeld() && (age > relaysPeriod || len(missing) > 0 && age > relaysPause+jitter(relaysPause)) {
			s.listRelays(ctx)
			listed = time.Now()
			missing = s.missing()
		}
		for _, zone := range missing {
			s.linkZone(ctx, zone)
		}
		s.linkSlots(ctx)
	}
}

func (s *Spreader) listRelays(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	objects, err := s.Store.List(ctx, qhlease.Prefix)
	if err != nil {
		return // what is known stays
	}
	s.platform.note()
	s.relays.learn(objects)
}

// dropRoots ends the links to roots of a node that has a parent.
func (s *Spreader) dropRoots() {
	roots := s.withRole(roleRoot)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range roots {
		if !n.hasLeft() {
			s.drop(n, "not a root")
		}
	}
}

// missing returns the availability zones that this root should have a link to
// and has not.
func (s *Spreader) missing() []qhid.Zone {
	linked := make(map[qhid.Zone]bool)
	for _, n := range s.withRole(roleRoot) {
		linked[n.zone] = true
	}
	zones := s.relays.zones()
	for zone := range s.Members.Digests() {
		zones = append(zones, zone)
	}
	return slices.DeleteFunc(fingers(s.zone, zones), func(zone qhid.Zone) bool { return linked[zone] })
}

// fingers returns the availability zones at distances 1, 2, 4 and so on from
// own, round the ring of names.
func fingers(own qhid.Zone, zones []qhid.Zone) []qhid.Zone {
	ring := append(slices.Clone(zones), own)
	slices.Sort(ring)
	ring = slices.Compact(ring)
	at := slices.Index(ring, own)
	var found []qhid.Zone
	for distance := 1; distance < len(ring); distance *= 2 {
		found = append(found, ring[(at+distance)%len(ring)])
	}
	return found
}

// linkZone makes a link to a root of another availability zone: to a relay, or
// to where a member of it points.
func (s *Spreader) linkZone(ctx context.Context, zone qhid.Zone) {
	list := s.relays.inZone(zone)
	shuffle(list)
	list = append(list, s.members(zone, rootTries)...)
	list = s.relays.unique(list, s.Self.PeerAddress)
	for _, address := range list[:min(rootTries, len(list))] {
		if s.hello(ctx, address) {
			return
		}
	}
}

// linkSlots makes links to the holders of the other slots of this availability zone.
func (s *Spreader) linkSlots(ctx context.Context) {
	holders := s.relays.holders(s.zone)
	for _, relay := range s.keeper.Holders() {
		holders[relay.Holder] = relay.PeerAddress
	}
	for _, n := range s.withRole(roleRoot) {
		delete(holders, n.node)
	}
	delete(holders, s.self)
	for _, address := range holders {
		s.hello(ctx, address)
	}
}

// hello asks the node at an address, or where it points, for a link between roots.
func (s *Spreader) hello(ctx context.Context, address qhid.Address) bool {
	for range rootHops {
		answer, ok := s.helloOnce(ctx, address)
		if ok {
			return true
		}
		if answer.To == "" || answer.To == address || answer.To == s.Self.PeerAddress {
			return false
		}
		address = answer.To
	}
	return false
}

func (s *Spreader) helloOnce(ctx context.Context, address qhid.Address) (qhwire.Joined, bool) {
	link, err := s.transport.Dial(ctx, address)
	if err != nil {
		return qhwire.Joined{}, false
	}
	asked, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	version, _ := s.content.known()
	hello := qhwire.Hello{Node: s.self, Zone: s.zone, Version: version}
	answer, err := qhwire.Call[qhwire.Joined](asked, link, qhwire.KindHello, hello)
	if err != nil || answer.Reason != "" {
		link.Close()
		return answer, false
	}
	s.mu.Lock()
	if s.parent == nil && !s.leaving {
		s.connect(newNeighbor(link, roleRoot, answer.Node, answer.Zone, answer.Version))
	}
	s.mu.Unlock()
	s.pull(link, answer.Version)
	s.group.Go(func(ctx context.Context) { s.compare(ctx, link) })
	return answer, true
}

// onHello answers a root that wants a link between roots.
func (s *Spreader) onHello(_ context.Context, link *qhwire.Link, hello qhwire.Hello) (qhwire.Joined, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving:
		return s.joined("leaving", 0), nil
	case s.parent != nil:
		answer := s.joined("not a root", 0)
		answer.To = s.addressOf(s.path[0])
		return answer, nil
	case s.linked(hello.Node):
		return s.joined("linked already", 0), nil
	}
	s.connect(newNeighbor(link, roleRoot, hello.Node, hello.Zone, hello.Version))
	return s.joined("", 0), nil
}

// linked tells whether there is a link to a root. It is called with the lock held.
func (s *Spreader) linked(node qhid.Node) bool {
	for n := range s.neighbors {
		if n.role == roleRoot && n.node == node && !n.hasLeft() {
			return true
		}
	}
	return false
}
