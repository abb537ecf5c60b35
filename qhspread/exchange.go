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

// settleDelay is how long a difference between two nodes has to persist before
// it is repaired. Shorter differences are updates in transit.
const settleDelay = 500 * time.Millisecond

// neighborInterval is the number of rounds of which one, on average, uses a
// neighbor. Most rounds use a random node, so that a parent is not asked by all
// of its children.
const neighborInterval = 4

// antiEntropyLoop periodically reconciles this node's state with that of
// another node.
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
	if len(peers) > 0 && rand.IntN(neighborInterval) == 0 { //nolint:gosec // spreads load, no secret
		s.reconcileWith(ctx, peers[rand.IntN(len(peers))].link) //nolint:gosec // spreads load, no secret
		return
	}
	for _, entry := range s.randomNodes(1) {
		if !s.reconcileWithNode(ctx, entry) && ctx.Err() == nil {
			s.suspect(entry.Node)
		}
	}
}

// reconcileWithNode reconciles with a node over a new link. It returns false if
// the node does not answer.
func (s *Spreader) reconcileWithNode(ctx context.Context, entry qhmember.Entry) bool {
	link, err := s.transport.Dial(ctx, entry.PeerAddress)
	if err != nil {
		return false
	}
	defer link.Close()
	return s.reconcileWith(ctx, link)
}

// reconcileWith finds what this node or the peer lacks and repairs both sides.
// It returns false if the peer does not answer.
func (s *Spreader) reconcileWith(ctx context.Context, link *qhwire.Link) bool {
	response, err := s.requestDigests(ctx, link, false)
	if err != nil {
		return false
	}
	s.reconcileVersion(ctx, link, response)
	if response.MemberChecksum == s.Members.Checksum() {
		return true
	}
	for zone := range s.persistentDifferences(ctx, link) {
		s.repairZone(ctx, link, zone)
	}
	return true
}

// persistentDifferences returns the availability zones whose entries keep
// differing between this node and the peer. A node without other entries does
// not wait.
func (s *Spreader) persistentDifferences(ctx context.Context, link *qhwire.Link) map[qhid.Zone]bool {
	if len(s.Members.View().Entries) <= 1 {
		return s.differingZones(ctx, link)
	}
	sleep(ctx, settleDelay)
	first := s.differingZones(ctx, link)
	if len(first) == 0 {
		return nil
	}
	sleep(ctx, settleDelay)
	return intersect(first, s.differingZones(ctx, link))
}

func (s *Spreader) requestDigests(ctx context.Context, link *qhwire.Link, includeZones bool) (qhwire.DigestResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	version, _ := s.versions.latest()
	request := qhwire.DigestRequest{Version: version, MemberChecksum: s.Members.Checksum(), IncludeZones: includeZones}
	return qhwire.Request[qhwire.DigestResponse](ctx, link, qhwire.KindDigests, request)
}

// reconcileVersion brings the node with the older version to the newer one.
func (s *Spreader) reconcileVersion(ctx context.Context, link *qhwire.Link, response qhwire.DigestResponse) {
	version, digest := s.versions.latest()
	switch {
	case response.Version > version:
		s.counts.repairs.Inc()
		if err := s.pullFrom(ctx, link); err != nil {
			s.Log.Info("pull failed, anti-entropy will retry it", zap.Error(err))
		}
	case response.Version < version:
		content, err := s.versions.contentSince(response.Version)
		if err == nil {
			_ = link.Notify(ctx, qhwire.KindContent, content) // a failure closes the link
		}
	case response.DigestPrefix != qhwire.DigestPrefix(digest):
		s.counts.digestMismatches.Inc()
		s.Log.Error("peer has different content for the same version", zap.String("peer", string(response.Node)),
			zap.Uint64("version", uint64(version)), zap.String("own", string(digest)), zap.String("other", string(response.DigestPrefix)))
	}
}

// differingZones returns the availability zones whose digest differs from the
// peer's; none if the peer does not answer.
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

// repairZone merges the peer's entries of an availability zone and sends the
// peer those that are newer here.
func (s *Spreader) repairZone(ctx context.Context, link *qhwire.Link, zone qhid.Zone) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	response, err := qhwire.Request[qhwire.ZoneEntriesResponse](ctx, link, qhwire.KindZoneEntries, qhwire.ZoneEntriesRequest{Zone: zone})
	if err != nil {
		return
	}
	entries, err := qhwire.Unpack[[]qhmember.Entry](response.Entries)
	if err != nil {
		s.Log.Warn("membership entries of peer cannot be decoded", zap.String("peer", link.RemoteAddress()), zap.Error(err))
		return
	}
	s.counts.repairs.Inc()
	s.mergeEntries(entries, origin{neighbor: s.neighborOn(link), reconciled: true})
	if newer := s.newerEntries(zone, entries); len(newer) > 0 {
		_ = link.Notify(ctx, qhwire.KindMembership, qhwire.MembershipUpdate{Entries: newer}) // a failure closes the link
	}
}

// newerEntries returns the entries of an availability zone that are missing
// from or newer than the given ones.
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
