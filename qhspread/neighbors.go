package qhspread

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhwire"
)

// addNeighbor registers a neighbor and starts its sender. The caller must hold
// s.mu.
func (s *Spreader) addNeighbor(n *neighbor) {
	s.neighbors[n] = struct{}{}
	s.group.Go(func(ctx context.Context) {
		(&sender{Spreader: s, neighbor: n}).run(ctx)
		n.link.Close()
		s.handleDisconnect(ctx, n)
	})
	n.wakeSender()
}

// handleDisconnect removes a neighbor whose link has closed.
func (s *Spreader) handleDisconnect(ctx context.Context, n *neighbor) {
	s.mu.Lock()
	delete(s.neighbors, n)
	if s.parent == n {
		s.parent = nil
		s.setPath([]qhid.Node{s.self})
	}
	s.mu.Unlock()
	s.signalTopologyChange()
	if ctx.Err() != nil || n.isClosing() {
		return
	}
	s.Log.Info("link to peer closed unexpectedly", zap.String("peer", string(n.node)), zap.String("role", string(n.role)))
	if n.zone == s.zone {
		s.checkInBackground(n.node)
	}
}

// signalTopologyChange wakes attachLoop, which checks whether this node needs a
// parent or a slot.
func (s *Spreader) signalTopologyChange() {
	select {
	case s.topologyChanged <- struct{}{}:
	default:
	}
}

// setPath sets the path from the root and sends it to the children. The caller
// must hold s.mu.
func (s *Spreader) setPath(path []qhid.Node) {
	if slices.Equal(s.path, path) {
		return
	}
	s.path = path
	for n := range s.neighbors {
		if n.role == roleChild {
			n.queuePath(path)
		}
	}
}

// filterNeighbors returns the neighbors for which match returns true, in no
// particular order. match is called with s.mu held.
func (s *Spreader) filterNeighbors(match func(*neighbor) bool) []*neighbor {
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

func (s *Spreader) neighborsWithRole(role role) []*neighbor {
	return s.filterNeighbors(func(n *neighbor) bool { return n.role == role })
}

// neighborOn returns the neighbor on a link, or nil.
func (s *Spreader) neighborOn(link *qhwire.Link) *neighbor {
	found := s.filterNeighbors(func(n *neighbor) bool { return n.link == link })
	if len(found) == 0 {
		return nil
	}
	return found[0]
}

// isRoot reports whether this node has no parent. It may still be looking for one.
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

func (s *Spreader) wakeSenders() {
	for _, n := range s.filterNeighbors(func(*neighbor) bool { return true }) {
		n.wakeSender()
	}
}

// onClose handles the announcement that the peer closes the link.
func (s *Spreader) onClose(_ context.Context, link *qhwire.Link, _ qhwire.CloseNotice) {
	if n := s.neighborOn(link); n != nil {
		n.markClosing()
	}
	link.Close()
}
