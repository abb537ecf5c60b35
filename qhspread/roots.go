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
	// rootCheckInterval is the mean time between two checks of the links to
	// other roots.
	rootCheckInterval = time.Second
	// maxRelayListAge is the age at which a relay refreshes its list of all
	// relays.
	maxRelayListAge = time.Minute
	// minRelayListAge is the least age, before jitter, at which the list is
	// refreshed because links are missing.
	minRelayListAge = 2 * time.Second
	// rootDialAttempts bounds the nodes of an availability zone that are tried
	// per check.
	rootDialAttempts = 2
	// maxRootRedirects bounds the nodes asked for one link between roots: the
	// first one and those to which it redirects.
	maxRootRedirects = 3
)

// rootLoop maintains the links of this node while it is a root: to the relays of
// this availability zone, and to a root of each availability zone at the distances
// 1, 2, 4 and so on along the ring of zone names.
func (s *Spreader) rootLoop(ctx context.Context) {
	var lastRefresh time.Time
	for ctx.Err() == nil {
		sleep(ctx, rootCheckInterval/2+jitter(rootCheckInterval))
		if !s.isRoot() || s.isLeaving() {
			s.disconnectRoots()
			continue
		}
		missing := s.missingZones()
		age := time.Since(lastRefresh)
		if s.leases.HoldsIgnoringExpiry() && (age > maxRelayListAge || len(missing) > 0 && age > minRelayListAge+jitter(minRelayListAge)) {
			s.refreshRelays(ctx)
			lastRefresh = time.Now()
			missing = s.missingZones()
		}
		for _, zone := range missing {
			s.linkToZone(ctx, zone)
		}
		s.linkToRelays(ctx)
	}
}

func (s *Spreader) refreshRelays(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	objects, err := s.Store.List(ctx, qhlease.Prefix)
	if err != nil {
		return // keep the last list
	}
	s.platformContact.record()
	s.relays.update(objects)
}

// disconnectRoots closes the links to other roots, since this node is not a
// root any more.
func (s *Spreader) disconnectRoots() {
	roots := s.neighborsWithRole(roleRoot)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range roots {
		if !n.isClosing() {
			s.disconnect(n, "not a root")
		}
	}
}

// missingZones returns the availability zones to which this root should have a
// link but has none.
func (s *Spreader) missingZones() []qhid.Zone {
	linked := make(map[qhid.Zone]bool)
	for _, n := range s.neighborsWithRole(roleRoot) {
		linked[n.zone] = true
	}
	zones := s.relays.zones()
	for zone := range s.Members.Checksums() {
		zones = append(zones, zone)
	}
	return slices.DeleteFunc(zonesToLink(s.zone, zones), func(zone qhid.Zone) bool { return linked[zone] })
}

// zonesToLink returns the availability zones at distances 1, 2, 4 and so on
// from own along the ring of zone names, so that any zone is reached over a
// logarithmic number of links (as in the distributed hash table Chord).
func zonesToLink(own qhid.Zone, zones []qhid.Zone) []qhid.Zone {
	ring := append(slices.Clone(zones), own)
	slices.Sort(ring)
	ring = slices.Compact(ring)
	index := slices.Index(ring, own)
	var found []qhid.Zone
	for distance := 1; distance < len(ring); distance *= 2 {
		found = append(found, ring[(index+distance)%len(ring)])
	}
	return found
}

// linkToZone connects to a root of another availability zone: a relay, or the
// root to which another node of that zone redirects.
func (s *Spreader) linkToZone(ctx context.Context, zone qhid.Zone) {
	addresses := s.relays.addresses(zone)
	shuffle(addresses)
	addresses = append(addresses, s.randomAddresses(zone, rootDialAttempts)...)
	addresses = s.relays.filter(addresses, s.Self.PeerAddress)
	for _, address := range addresses[:min(rootDialAttempts, len(addresses))] {
		if s.linkToRoot(ctx, address) {
			return
		}
	}
}

// linkToRelays connects to the other relays of this availability zone.
func (s *Spreader) linkToRelays(ctx context.Context) {
	addresses := s.relays.addressesByNode(s.zone)
	for _, relay := range s.leases.OtherLeases() {
		addresses[relay.Holder] = relay.PeerAddress
	}
	for _, n := range s.neighborsWithRole(roleRoot) {
		delete(addresses, n.node)
	}
	delete(addresses, s.self)
	for _, address := range addresses {
		s.linkToRoot(ctx, address)
	}
}

// linkToRoot requests a link between roots from the node at an address and
// follows redirects. It reports whether a node accepted.
func (s *Spreader) linkToRoot(ctx context.Context, address qhid.Address) bool {
	for range maxRootRedirects {
		response, ok := s.requestRootLink(ctx, address)
		if ok {
			return true
		}
		if response.Redirect == "" || response.Redirect == address || response.Redirect == s.Self.PeerAddress {
			return false
		}
		address = response.Redirect
	}
	return false
}

func (s *Spreader) requestRootLink(ctx context.Context, address qhid.Address) (qhwire.LinkResponse, bool) {
	link, err := s.transport.Dial(ctx, address)
	if err != nil {
		return qhwire.LinkResponse{}, false
	}
	requestCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	version, _ := s.versions.latest()
	request := qhwire.RootLinkRequest{Node: s.self, Zone: s.zone, Version: version}
	response, err := qhwire.Request[qhwire.LinkResponse](requestCtx, link, qhwire.KindRootLink, request)
	if err != nil || response.Reason != "" {
		link.Close()
		return response, false
	}
	s.mu.Lock()
	if s.parent == nil && !s.leaving {
		s.addNeighbor(newNeighbor(link, roleRoot, response.Node, response.Zone, response.Version))
	}
	s.mu.Unlock()
	s.pull(link, response.Version)
	s.group.Go(func(ctx context.Context) { s.reconcileWith(ctx, link) })
	return response, true
}

// onRootLink handles the request of a root for a link between roots. A node that
// is not a root redirects to its own root.
func (s *Spreader) onRootLink(_ context.Context, link *qhwire.Link, request qhwire.RootLinkRequest) (qhwire.LinkResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving:
		return s.linkResponse("leaving", 0), nil
	case s.parent != nil:
		response := s.linkResponse("not a root", 0)
		response.Redirect = s.peerAddress(s.path[0])
		return response, nil
	case s.hasRootLink(request.Node):
		return s.linkResponse("linked already", 0), nil
	}
	s.addNeighbor(newNeighbor(link, roleRoot, request.Node, request.Zone, request.Version))
	return s.linkResponse("", 0), nil
}

// hasRootLink reports whether there is an open link between roots to the node.
// The caller must hold s.mu.
func (s *Spreader) hasRootLink(node qhid.Node) bool {
	for n := range s.neighbors {
		if n.role == roleRoot && n.node == node && !n.isClosing() {
			return true
		}
	}
	return false
}
