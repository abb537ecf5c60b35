package qhspread

import (
	"context"
	"time"
)

const (
	// startupTimeout bounds the initial synchronization with platform and
	// peers.
	startupTimeout = 3 * time.Second
	// startupJitter spreads the first reads of the platform when many nodes
	// start at once.
	startupJitter = 500 * time.Millisecond
	// startupPollInterval is how often the initial synchronization checks its
	// conditions.
	startupPollInterval = 20 * time.Millisecond
	// startupPeers is the number of peers asked at startup.
	startupPeers = 3
)

// initialSync fetches the newest version from the platform and from peers. The
// node is ready when it has that version or when the timeout has passed.
func (s *Spreader) initialSync(ctx context.Context) {
	defer close(s.ready)
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	for ctx.Err() == nil && s.needsParent() {
		sleep(ctx, startupPollInterval)
	}
	s.pullFromPeers(ctx)
	sleep(ctx, jitter(startupJitter))
	head, err := s.Chain.ReadHead(ctx)
	if err != nil {
		s.pullUntilKnown(ctx) // the peers' newest version has to suffice; anti-entropy continues
		return
	}
	s.platformContact.record()
	for ctx.Err() == nil {
		if known, _ := s.versions.latest(); known >= head.Version {
			return
		}
		sleep(ctx, startupPollInterval)
	}
}

// pullUntilKnown repeats pullFromPeers until the node has a version or the
// timeout has passed.
func (s *Spreader) pullUntilKnown(ctx context.Context) {
	for ctx.Err() == nil {
		if known, _ := s.versions.latest(); known > 0 {
			return
		}
		s.pullFromPeers(ctx)
		sleep(ctx, startupPollInterval)
	}
}

// pullFromPeers pulls the newest version from some nodes of this availability
// zone.
func (s *Spreader) pullFromPeers(ctx context.Context) {
	for _, entry := range s.randomNodes(startupPeers) {
		link, err := s.transport.Dial(ctx, entry.PeerAddress)
		if err != nil {
			continue
		}
		if response, err := s.requestDigests(ctx, link, false); err == nil {
			s.reconcileVersion(ctx, link, response)
		}
		link.Close()
	}
}
