package qhspread

import (
	"context"
	"time"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

// leavePollInterval is how often Leave checks whether all pending entries are
// sent.
const leavePollInterval = 10 * time.Millisecond

// Leave announces that this node and its targets are leaving, so that they get no
// new calls, waits until the announcement is sent or the context is done, then
// releases the relay slot and closes all links.
func (s *Spreader) Leave(ctx context.Context) {
	own := s.Members.Self()
	targets := append([]qhmember.AnnouncedTarget(nil), own.Targets...)
	for i := range targets {
		targets[i].State = qhmember.Leaving
	}
	s.Announce(qhmember.Leaving, targets)
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	for ctx.Err() == nil && s.hasPendingEntries() {
		sleep(ctx, leavePollInterval)
	}
	_ = s.leases.Release(ctx) // if the release fails, the lease expires
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.neighbors {
		s.disconnect(n, "leaving")
	}
	s.setPath([]qhid.Node{s.self})
}

// hasPendingEntries reports whether entries are still to be sent.
func (s *Spreader) hasPendingEntries() bool {
	pending := s.filterNeighbors(func(n *neighbor) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.pending) > 0
	})
	return len(pending) > 0
}
