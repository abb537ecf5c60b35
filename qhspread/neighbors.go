package qhspread

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhwire"
)

// connect makes the other end of a link a neighbor and starts to send to it. It
// is called with the lock held.
func (s *Spreader) connect(n *neighbor) {
	s.neighbors[n] = struct{}{}
	s.group.Go(func(ctx context.Context) {
		(&sender{Spreader: s, to: n}).run(ctx)
		n.link.Close()
		s.disconnected(ctx, n)
	})
	n.poke()
}

// disconnected forgets a neighbor whose link has ended.
func (s *Spreader) disconnected(ctx context.Context, n *neighbor) {
	s.mu.Lock()
	delete(s.neighbors, n)
	if s.parent == n {
		s.parent = nil
		s.setPath([]qhid.Node{s.self})
	}
	s.mu.Unlock()
	s.nudge()
	if ctx.Err() != nil || n.hasLeft() {
		return
	}
	s.Log.Info("link lost", zap.String("peer", string(n.node)), zap.String("role", string(n.role)))
	if n.zone == s.zone {
		s.suspect(n.node)
	}
}

// nudge wakes the loops that look after parent and lease.
func (s *Spreader) nudge() {
	select {
	case s.turn <- struct{}{}:
	default:
	}
}

// setPath changes the path from the root and tells the children. It is called
// with the lock held.
func (s *Spreader) setPath(path []qhid.Node) {
	if slices.Equal(s.path, path) {
		return
	}
	s.path = path
	for n := range s.neighbors {
		if n.role == roleChild {
			n.setPath(path)
		}
	}
}

// list returns the neighbors that match, in no order.
func (s *Spreader) list(match func(*neighbor) bool) []*neighbor {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*neighbor
	for n := range s.neighbors {
		if match(n) {
			found = append(found, n)
		}
	}
	return found
}

func (s *Spreader) withRole(role role) []*neighbor {
	return s.list(func(n *neighbor) bool { return n.role == role })
}

// find returns the neighbor at the other end of a link, or nil.
func (s *Spreader) find(link *qhwire.Link) *neighbor {
	found := s.list(func(n *neighbor) bool { return n.link == link })
	if len(found) == 0 {
		return nil
	}
	return found[0]
}

// isRoot tells whether this node has no parent.
func (s *Spreader) isRoot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parent == nil
}

// depth returns the number of links to the root.
func (s *Spreader) depth() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.path) - 1
}

// pokeAll wakes all senders.
func (s *Spreader) pokeAll() {
	for _, n := range s.list(func(*neighbor) bool { return true }) {
		n.poke()
	}
}

// onBye ends a link whose other end leaves in good order.
func (s *Spreader) onBye(_ context.Context, link *qhwire.Link, _ qhwire.Bye) {
	if n := s.find(link); n != nil {
		n.setLeft()
	}
	link.Close()
}
