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

// settle is how long a difference between two nodes has to stay before it is
// repaired: shorter ones are news on their way.
const settle = 500 * time.Millisecond

// neighborTurns is in how many exchanges one is with a neighbor. Most are with a
// random node, so that parents of many are not asked by all of them.
const neighborTurns = 4

// exchangeLoop compares with other nodes now and then.
func (s *Spreader) exchangeLoop(ctx context.Context) {
	period := time.Duration(s.Settings.AntiEntropyPeriod)
	for ctx.Err() == nil {
		pause(ctx, period/2+jitter(period))
		s.exchange(ctx)
	}
}

// exchange compares with a neighbor or with a random member of this
// availability zone, in turns by chance.
func (s *Spreader) exchange(ctx context.Context) {
	peers := s.list(func(n *neighbor) bool { return n.role != roleChild })
	if len(peers) > 0 && rand.IntN(neighborTurns) == 0 { //nolint:gosec // spreads load, no secret
		s.compare(ctx, peers[rand.IntN(len(peers))].link) //nolint:gosec // spreads load, no secret
		return
	}
	for _, entry := range s.sample(1) {
		if !s.compareWith(ctx, entry) && ctx.Err() == nil {
			s.suspect(entry.Node)
		}
	}
}

// compareWith compares with a node on a link of its own. It returns false where
// the node gives no answer.
func (s *Spreader) compareWith(ctx context.Context, entry qhmember.Entry) bool {
	link, err := s.transport.Dial(ctx, entry.PeerAddress)
	if err != nil {
		return false
	}
	defer link.Close()
	return s.compare(ctx, link)
}

// compare finds what this node or the peer lacks, and repairs it both ways. It
// returns false where the peer gives no answer.
func (s *Spreader) compare(ctx context.Context, link *qhwire.Link) bool {
	answer, err := s.ask(ctx, link, false)
	if err != nil {
		return false
	}
	s.even(ctx, link, answer)
	if answer.Sum == s.Members.Digest() {
		return true
	}
	for zone := range s.lasting(ctx, link) {
		s.repair(ctx, link, zone)
	}
	return true
}

// lasting returns the availability zones in which this node and the peer keep
// differing. A node that knows nothing yet takes what differs at once.
func (s *Spreader) lasting(ctx context.Context, link *qhwire.Link) map[qhid.Zone]bool {
	if len(s.Members.View().Entries) <= 1 {
		return s.differing(ctx, link)
	}
	pause(ctx, settle)
	first := s.differing(ctx, link)
	if len(first) == 0 {
		return nil
	}
	pause(ctx, settle)
	return intersect(first, s.differing(ctx, link))
}

func (s *Spreader) ask(ctx context.Context, link *qhwire.Link, zones bool) (qhwire.Compared, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	version, _ := s.content.known()
	question := qhwire.Compare{Version: version, Sum: s.Members.Digest(), Zones: zones}
	return qhwire.Call[qhwire.Compared](ctx, link, qhwire.KindCompare, question)
}

// even brings the older of two nodes to the version of the newer.
func (s *Spreader) even(ctx context.Context, link *qhwire.Link, answer qhwire.Compared) {
	version, digest := s.content.known()
	switch {
	case answer.Version > version:
		s.counts.repairs.Inc()
		if err := s.pullFrom(ctx, link); err != nil {
			s.Log.Info("pull fails, the exchange repeats it", zap.Error(err))
		}
	case answer.Version < version:
		content, err := s.content.answer(answer.Version)
		if err == nil {
			_ = link.Notify(ctx, qhwire.KindContent, content) // a failure ends the link
		}
	case answer.Digest != qhwire.ShortDigest(digest):
		s.counts.forks.Inc()
		s.Log.Error("peer has other content for the same version", zap.String("peer", string(answer.Node)),
			zap.Uint64("version", uint64(version)), zap.String("own", string(digest)), zap.String("other", string(answer.Digest)))
	}
}

// differing returns the availability zones in which the peer has other entries
// than this node; none where it gives no answer.
func (s *Spreader) differing(ctx context.Context, link *qhwire.Link) map[qhid.Zone]bool {
	answer, err := s.ask(ctx, link, true)
	if err != nil {
		return nil
	}
	own := s.Members.Digests()
	differing := make(map[qhid.Zone]bool)
	for zone, digest := range own {
		if answer.Zones[zone] != digest {
			differing[zone] = true
		}
	}
	for zone, digest := range answer.Zones {
		if own[zone] != digest {
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

// repair takes the peer's entries of an availability zone and sends it those
// that are newer here.
func (s *Spreader) repair(ctx context.Context, link *qhwire.Link, zone qhid.Zone) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	answer, err := qhwire.Call[qhwire.Entries](ctx, link, qhwire.KindZone, qhwire.Zone{Zone: zone})
	if err != nil {
		return
	}
	entries, err := qhwire.Unpack[[]qhmember.Entry](answer.Entries)
	if err != nil {
		s.Log.Warn("entries of a peer not taken", zap.String("peer", link.Remote()), zap.Error(err))
		return
	}
	s.counts.repairs.Inc()
	s.merge(entries, origin{from: s.find(link), repair: true})
	if newer := s.newer(zone, entries); len(newer) > 0 {
		_ = link.Notify(ctx, qhwire.KindNews, qhwire.News{Entries: newer}) // a failure ends the link
	}
}

// newer returns the entries of an availability zone that a peer with the given
// ones lacks.
func (s *Spreader) newer(zone qhid.Zone, entries []qhmember.Entry) []qhmember.Entry {
	theirs := make(map[qhid.Node]qhmember.Entry, len(entries))
	for _, entry := range entries {
		theirs[entry.Node] = entry
	}
	var newer []qhmember.Entry
	for _, entry := range s.Members.Zone(zone) {
		if known, ok := theirs[entry.Node]; !ok || qhmember.Compare(entry, known) > 0 {
			newer = append(newer, entry)
		}
	}
	return newer
}

func (s *Spreader) onCompare(_ context.Context, _ *qhwire.Link, question qhwire.Compare) (qhwire.Compared, error) {
	version, digest := s.content.known()
	answer := qhwire.Compared{Node: s.self, Version: version, Digest: qhwire.ShortDigest(digest), Sum: s.Members.Digest()}
	if question.Zones {
		answer.Zones = s.Members.Digests()
	}
	return answer, nil
}

func (s *Spreader) onZone(_ context.Context, _ *qhwire.Link, question qhwire.Zone) (qhwire.Entries, error) {
	packed, err := qhwire.Pack(s.Members.Zone(question.Zone))
	return qhwire.Entries{Entries: packed}, err
}
