package qhspread

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhwire"
)

// persistDelay is the time between two comparisons of the same peer. A difference
// is repaired only if two comparisons in a row find it, since shorter differences
// are updates in transit.
const persistDelay = 500 * time.Millisecond

// roundsPerNeighbor sets how many rounds use a neighbor: one in roundsPerNeighbor
// on average. The others use a random node, so that a parent does not get requests
// from all of its children.
const roundsPerNeighbor = 4

// antiEntropyLoop periodically reconciles with another node. Anti-entropy compares
// the newest known version and the checksums of the membership entries with those
// of the other node, and repairs the differences on both sides.
func (s *Spreader) antiEntropyLoop(ctx context.Context) {
	period := time.Duration(s.Settings.AntiEntropyPeriod)
	for ctx.Err() == nil {
		sleep(ctx, period/2+jitter(period))
		s.reconcile(ctx)
	}
}

// reconcile reconciles with a neighbor or with a random member of this
// availability zone, chosen at random.
func (s *Spreader) reconcile(ctx context.Context) {
	peers := s.filterNeighbors(func(n *neighbor) bool { return n.role != roleChild })
	if len(peers) > 0 && rand.IntN(roundsPerNeighbor) == 0 { //nolint:gosec // spreads load, no secret
		s.reconcileWith(ctx, peers[rand.IntN(len(peers))].link) //nolint:gosec // spreads load, no secret
		return
	}
	for _, entry := range s.randomNodes(1) {
		if !s.reconcileWithNode(ctx, entry) && ctx.Err() == nil {
			s.checkInBackground(entry.Node)
		}
	}
}

// reconcileWithNode reconciles with a node over a new link. It returns false if
// the node does not respond.
func (s *Spreader) reconcileWithNode(ctx context.Context, entry qhmember.Entry) bool {
	link, err := s.transport.Dial(ctx, entry.PeerAddress)
	if err != nil {
		return false
	}
	defer link.Close()
	return s.reconcileWith(ctx, link)
}

// reconcileWith finds the versions and entries that this node or the peer lacks,
// and sends or requests them. It returns false if the peer does not respond.
func (s *Spreader) reconcileWith(ctx context.Context, link *qhwire.Link) bool {
	response, err := s.requestDigests(ctx, link, false)
	if err != nil {
		return false
	}
	s.reconcileVersion(ctx, link, response)
	if response.MemberChecksum == s.Members.Checksum() {
		return true
	}
	for zone := range s.persistentlyDifferingZones(ctx, link) {
		s.repairZone(ctx, link, zone)
	}
	return true
}

// persistentlyDifferingZones returns the availability zones whose entries differ
// between this node and the peer in two comparisons in a row. A node that knows
// only itself compares once, without a delay.
func (s *Spreader) persistentlyDifferingZones(ctx context.Context, link *qhwire.Link) map[qhid.Zone]bool {
	if len(s.Members.View().Entries) <= 1 {
		return s.differingZones(ctx, link)
	}
	sleep(ctx, persistDelay)
	first := s.differingZones(ctx, link)
	if len(first) == 0 {
		return nil
	}
	sleep(ctx, persistDelay)
	return intersect(first, s.differingZones(ctx, link))
}

func (s *Spreader) requestDigests(ctx context.Context, link *qhwire.Link, includeZones bool) (qhwire.DigestResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	version, _ := s.versions.latest()
	request := qhwire.DigestRequest{Version: version, MemberChecksum: s.Members.Checksum(), IncludeZones: includeZones}
	return qhwire.Request[qhwire.DigestResponse](ctx, link, qhwire.KindDigests, request)
}

// reconcileVersion pulls the peer's version if it is newer, or sends the peer this
// node's version if that one is newer.
func (s *Spreader) reconcileVersion(ctx context.Context, link *qhwire.Link, response qhwire.DigestResponse) {
	version, digest := s.versions.latest()
	switch {
	case response.Version > version:
		s.metrics.repairs.Inc()
		if err := s.pullFrom(ctx, link); err != nil {
			s.Log.Info("cannot pull version from peer; anti-entropy will retry", zap.Error(err))
		}
	case response.Version < version:
		content, err := s.versions.contentSince(response.Version)
		if err == nil {
			_ = link.Notify(ctx, qhwire.KindContent, content) // a failure closes the link
		}
	case response.DigestPrefix != qhwire.DigestPrefix(digest):
		s.metrics.digestMismatches.Inc()
		s.Log.Error("peer has different content for the same version", zap.String("peer", string(response.Node)),
			zap.Uint64("version", uint64(version)), zap.String("own", string(digest)), zap.String("other", string(response.DigestPrefix)))
	}
}

// differingZones returns the availability zones whose checksum differs from the
// peer's; none if the peer does not respond.
func (s *Spreader) differingZones(ctx context.Context, link *qhwire.Link) map[qhid.Zone]bool {
	response, err := s.requestDigests(ctx, link, true)
	if err != nil {
		return nil
	}
	local := s.Members.Checksums()
	differing := make(map[qhid.Zone]bool)
	for zone, digest := range local {
		if response.ZoneChecksums[zone] != digest {
			differing[zone] = true
		}
	}
	for zone, digest := range response.ZoneChecksums {
		if local[zone] != digest {
			differing[zone] = true
		}
	}
	return differing
}

func intersect(a, b map[qhid.Zone]bool) map[qhid.Zone]bool {
	both := make(map[qhid.Zone]bool)
	for zone := range a {
		if b[zone] {
			both[zone] = true
		}
	}
	return both
}

// repairZone merges the peer's entries of an availability zone and sends the peer
// the entries that are newer on this node.
func (s *Spreader) repairZone(ctx context.Context, link *qhwire.Link, zone qhid.Zone) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	response, err := qhwire.Request[qhwire.ZoneEntriesResponse](ctx, link, qhwire.KindZoneEntries, qhwire.ZoneEntriesRequest{Zone: zone})
	if err != nil {
		return
	}
	entries, err := qhwire.Unpack[[]qhmember.Entry](response.Entries)
	if err != nil {
		s.Log.Warn("cannot decode membership entries of peer", zap.String("peer", link.RemoteAddress()), zap.Error(err))
		return
	}
	s.metrics.repairs.Inc()
	s.mergeEntries(entries, origin{neighbor: s.neighborOn(link), reconciled: true})
	if newer := s.newerEntries(zone, entries); len(newer) > 0 {
		_ = link.Notify(ctx, qhwire.KindMembership, qhwire.MembershipUpdate{Entries: newer}) // a failure closes the link
	}
}

// newerEntries returns this node's entries of an availability zone that are
// missing from the given ones or newer.
func (s *Spreader) newerEntries(zone qhid.Zone, entries []qhmember.Entry) []qhmember.Entry {
	remote := make(map[qhid.Node]qhmember.Entry, len(entries))
	for _, entry := range entries {
		remote[entry.Node] = entry
	}
	var newer []qhmember.Entry
	for _, entry := range s.Members.EntriesInZone(zone) {
		if known, ok := remote[entry.Node]; !ok || qhmember.Compare(entry, known) > 0 {
			newer = append(newer, entry)
		}
	}
	return newer
}

func (s *Spreader) onDigests(_ context.Context, _ *qhwire.Link, request qhwire.DigestRequest) (qhwire.DigestResponse, error) {
	version, digest := s.versions.latest()
	response := qhwire.DigestResponse{Node: s.self, Version: version, DigestPrefix: qhwire.DigestPrefix(digest), MemberChecksum: s.Members.Checksum()}
	if request.IncludeZones {
		response.ZoneChecksums = s.Members.Checksums()
	}
	return response, nil
}

func (s *Spreader) onZoneEntries(_ context.Context, _ *qhwire.Link, request qhwire.ZoneEntriesRequest) (qhwire.ZoneEntriesResponse, error) {
	packed, err := qhwire.Pack(s.Members.EntriesInZone(request.Zone))
	return qhwire.ZoneEntriesResponse{Entries: packed}, err
}
