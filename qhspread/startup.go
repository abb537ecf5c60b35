package qhspread

import (
	"context"
	"time"

	"quetzalhaven.dev/qhid"
)

const (
	// startupTimeout bounds the initial synchronization with the platform and
	// with peers.
	startupTimeout = 3 * time.Second
	// startupJitter spreads the first reads of the platform when many nodes
	// start at once.
	startupJitter = 500 * time.Millisecond
	// startupPollInterval is how often the initial synchronization checks its
	// conditions.
	startupPollInterval = 20 * time.Millisecond
	// startupPeers bounds the peers from which a starting node pulls.
	startupPeers = 3
	// startupPeerWait is how long a starting node waits for its peers to have the version
	// of the head, until it loads it from the platform.
	startupPeerWait = 500 * time.Millisecond
)

// initialSync waits for a parent or a relay slot, then fetches the newest version
// from peers and reads the head from the platform. The node is ready, and puts the newest
// known version in force, when it has the version of the head or when the timeout has
// passed.
func (s *Spreader) initialSync(ctx context.Context) {
	defer close(s.ready)
	defer s.versions.release()
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	for ctx.Err() == nil && s.needsParent() {
		sleep(ctx, startupPollInterval)
	}
	s.pullFromPeers(ctx)
	sleep(ctx, jitter(startupJitter))
	head, err := s.Chain.ReadHead(ctx)
	if err != nil {
		s.pullUntilAnyVersion(ctx) // a peer's version is enough to be ready; anti-entropy finds newer ones
		return
	}
	s.platformContact.record()
	if !s.waitForVersion(ctx, head.Version) {
		_ = s.loadVersion(ctx, head) // loadVersion logs the failure; anti-entropy and the parent go on
	}
}

// waitForVersion reports whether the version, or a newer one, is known within
// startupPeerWait.
func (s *Spreader) waitForVersion(ctx context.Context, version qhid.Version) bool {
	ctx, cancel := context.WithTimeout(ctx, startupPeerWait)
	defer cancel()
	for {
		if known, _ := s.versions.latest(); known >= version {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		sleep(ctx, startupPollInterval)
	}
}

// pullUntilAnyVersion repeats pullFromPeers until the node has any version or the
// timeout has passed.
func (s *Spreader) pullUntilAnyVersion(ctx context.Context) {
	for ctx.Err() == nil {
		if known, _ := s.versions.latest(); known > 0 {
			return
		}
		s.pullFromPeers(ctx)
		sleep(ctx, startupPollInterval)
	}
}

// pullFromPeers reconciles the version with some random nodes of this availability
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
