package qhspread

import (
	"context"
	"time"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

// leavePoll is how often Leave looks whether all is sent.
const leavePoll = 10 * time.Millisecond

// Leave tells everyone that this node and its targets take no new work, gives
// up the relay slot and ends all links in good order. It returns when the news
// is sent, or when the context ends.
func (s *Spreader) Leave(ctx context.Context) {
	own := s.Members.Self()
	targets := append([]qhmember.Target(nil), own.Targets...)
	for i := range targets {
		targets[i].State = qhmember.Leaving
	}
	s.Announce(qhmember.Leaving, targets)
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	for ctx.Err() == nil && s.sending() {
		pause(ctx, leavePoll)
	}
	_ = s.keeper.Release(ctx) // it lapses all the same
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.neighbors {
		s.drop(n, "leaving")
	}
	s.setPath([]qhid.Node{s.self})
}

// sending tells whether entries wait to be sent.
func (s *Spreader) sending() bool {
	waiting := s.list(func(n *neighbor) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.entries) > 0
	})
	return len(waiting) > 0
}
